import * as $protobuf from "protobufjs";
import Long = require("long");

/** Namespace sailquay. */
export namespace sailquay {

    /** Namespace dissemination. */
    namespace dissemination {

        /**
         * Properties of a Stamp.
         * @deprecated Use sailquay.dissemination.Stamp.$Properties instead.
         */
        interface IStamp extends sailquay.dissemination.Stamp.$Properties {
        }

        /** Represents a Stamp. */
        class Stamp {

            /**
             * Constructs a new Stamp.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.dissemination.Stamp.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** Stamp version. */
            version: number;

            /** Stamp readerToken. */
            readerToken: number;

            /** Stamp digest. */
            digest: Uint8Array;

            /** Stamp acceptedAtWallMs. */
            acceptedAtWallMs: number;

            /** Stamp nodeCount. */
            nodeCount: number;

            /**
             * Encodes the specified Stamp message. Does not implicitly {@link sailquay.dissemination.Stamp.verify|verify} messages.
             * @param message Stamp message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.dissemination.Stamp.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a Stamp message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.dissemination.Stamp & sailquay.dissemination.Stamp.$Shape} Stamp
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.dissemination.Stamp & sailquay.dissemination.Stamp.$Shape;

            /**
             * Gets the type url for Stamp
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace Stamp {

            /** Properties of a Stamp. */
            interface $Properties {

                /** Stamp version */
                version?: (number|null);

                /** Stamp readerToken */
                readerToken?: (number|null);

                /** Stamp digest */
                digest?: (Uint8Array|null);

                /** Stamp acceptedAtWallMs */
                acceptedAtWallMs?: (number|null);

                /** Stamp nodeCount */
                nodeCount?: (number|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a Stamp. */
            type $Shape = sailquay.dissemination.Stamp.$Properties;
        }

        /**
         * Properties of a NodeSet.
         * @deprecated Use sailquay.dissemination.NodeSet.$Properties instead.
         */
        interface INodeSet extends sailquay.dissemination.NodeSet.$Properties {
        }

        /** Represents a NodeSet. */
        class NodeSet {

            /**
             * Constructs a new NodeSet.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.dissemination.NodeSet.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** NodeSet nodes. */
            nodes: Uint8Array[];

            /** NodeSet removedPaths. */
            removedPaths: string[];

            /**
             * Encodes the specified NodeSet message. Does not implicitly {@link sailquay.dissemination.NodeSet.verify|verify} messages.
             * @param message NodeSet message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.dissemination.NodeSet.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a NodeSet message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.dissemination.NodeSet & sailquay.dissemination.NodeSet.$Shape} NodeSet
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.dissemination.NodeSet & sailquay.dissemination.NodeSet.$Shape;

            /**
             * Gets the type url for NodeSet
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace NodeSet {

            /** Properties of a NodeSet. */
            interface $Properties {

                /** NodeSet nodes */
                nodes?: (Uint8Array[]|null);

                /** NodeSet removedPaths */
                removedPaths?: (string[]|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a NodeSet. */
            type $Shape = sailquay.dissemination.NodeSet.$Properties;
        }

        /**
         * Properties of an Announcement.
         * @deprecated Use sailquay.dissemination.Announcement.$Properties instead.
         */
        interface IAnnouncement extends sailquay.dissemination.Announcement.$Properties {
        }

        /** Represents an Announcement. */
        class Announcement {

            /**
             * Constructs a new Announcement.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.dissemination.Announcement.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** Announcement stamp. */
            stamp?: (sailquay.dissemination.Stamp.$Properties|null);

            /** Announcement base. */
            base?: (sailquay.dissemination.Stamp.$Properties|null);

            /** Announcement delta. */
            delta: Uint8Array;

            /**
             * Encodes the specified Announcement message. Does not implicitly {@link sailquay.dissemination.Announcement.verify|verify} messages.
             * @param message Announcement message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.dissemination.Announcement.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes an Announcement message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.dissemination.Announcement & sailquay.dissemination.Announcement.$Shape} Announcement
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.dissemination.Announcement & sailquay.dissemination.Announcement.$Shape;

            /**
             * Gets the type url for Announcement
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace Announcement {

            /** Properties of an Announcement. */
            interface $Properties {

                /** Announcement stamp */
                stamp?: (sailquay.dissemination.Stamp.$Properties|null);

                /** Announcement base */
                base?: (sailquay.dissemination.Stamp.$Properties|null);

                /** Announcement delta */
                delta?: (Uint8Array|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of an Announcement. */
            type $Shape = sailquay.dissemination.Announcement.$Properties;
        }

        /**
         * Properties of a Probe.
         * @deprecated Use sailquay.dissemination.Probe.$Properties instead.
         */
        interface IProbe extends sailquay.dissemination.Probe.$Properties {
        }

        /** Represents a Probe. */
        class Probe {

            /**
             * Constructs a new Probe.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.dissemination.Probe.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** Probe stamp. */
            stamp?: (sailquay.dissemination.Stamp.$Properties|null);

            /**
             * Encodes the specified Probe message. Does not implicitly {@link sailquay.dissemination.Probe.verify|verify} messages.
             * @param message Probe message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.dissemination.Probe.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a Probe message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.dissemination.Probe & sailquay.dissemination.Probe.$Shape} Probe
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.dissemination.Probe & sailquay.dissemination.Probe.$Shape;

            /**
             * Gets the type url for Probe
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace Probe {

            /** Properties of a Probe. */
            interface $Properties {

                /** Probe stamp */
                stamp?: (sailquay.dissemination.Stamp.$Properties|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a Probe. */
            type $Shape = sailquay.dissemination.Probe.$Properties;
        }

        /**
         * Properties of a PullRequest.
         * @deprecated Use sailquay.dissemination.PullRequest.$Properties instead.
         */
        interface IPullRequest extends sailquay.dissemination.PullRequest.$Properties {
        }

        /** Represents a PullRequest. */
        class PullRequest {

            /**
             * Constructs a new PullRequest.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.dissemination.PullRequest.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** PullRequest requestId. */
            requestId: number;

            /** PullRequest have. */
            have?: (sailquay.dissemination.Stamp.$Properties|null);

            /** PullRequest target. */
            target?: (sailquay.dissemination.Stamp.$Properties|null);

            /** PullRequest offset. */
            offset: number;

            /**
             * Encodes the specified PullRequest message. Does not implicitly {@link sailquay.dissemination.PullRequest.verify|verify} messages.
             * @param message PullRequest message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.dissemination.PullRequest.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a PullRequest message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.dissemination.PullRequest & sailquay.dissemination.PullRequest.$Shape} PullRequest
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.dissemination.PullRequest & sailquay.dissemination.PullRequest.$Shape;

            /**
             * Gets the type url for PullRequest
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace PullRequest {

            /** Properties of a PullRequest. */
            interface $Properties {

                /** PullRequest requestId */
                requestId?: (number|null);

                /** PullRequest have */
                have?: (sailquay.dissemination.Stamp.$Properties|null);

                /** PullRequest target */
                target?: (sailquay.dissemination.Stamp.$Properties|null);

                /** PullRequest offset */
                offset?: (number|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a PullRequest. */
            type $Shape = sailquay.dissemination.PullRequest.$Properties;
        }

        /**
         * Properties of a PullChunk.
         * @deprecated Use sailquay.dissemination.PullChunk.$Properties instead.
         */
        interface IPullChunk extends sailquay.dissemination.PullChunk.$Properties {
        }

        /** Represents a PullChunk. */
        class PullChunk {

            /**
             * Constructs a new PullChunk.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.dissemination.PullChunk.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** PullChunk requestId. */
            requestId: number;

            /** PullChunk base. */
            base?: (sailquay.dissemination.Stamp.$Properties|null);

            /** PullChunk target. */
            target?: (sailquay.dissemination.Stamp.$Properties|null);

            /** PullChunk offset. */
            offset: number;

            /** PullChunk totalBytes. */
            totalBytes: number;

            /** PullChunk data. */
            data: Uint8Array;

            /**
             * Encodes the specified PullChunk message. Does not implicitly {@link sailquay.dissemination.PullChunk.verify|verify} messages.
             * @param message PullChunk message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.dissemination.PullChunk.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a PullChunk message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.dissemination.PullChunk & sailquay.dissemination.PullChunk.$Shape} PullChunk
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.dissemination.PullChunk & sailquay.dissemination.PullChunk.$Shape;

            /**
             * Gets the type url for PullChunk
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace PullChunk {

            /** Properties of a PullChunk. */
            interface $Properties {

                /** PullChunk requestId */
                requestId?: (number|null);

                /** PullChunk base */
                base?: (sailquay.dissemination.Stamp.$Properties|null);

                /** PullChunk target */
                target?: (sailquay.dissemination.Stamp.$Properties|null);

                /** PullChunk offset */
                offset?: (number|null);

                /** PullChunk totalBytes */
                totalBytes?: (number|null);

                /** PullChunk data */
                data?: (Uint8Array|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a PullChunk. */
            type $Shape = sailquay.dissemination.PullChunk.$Properties;
        }

        /**
         * Properties of a Message.
         * @deprecated Use sailquay.dissemination.Message.$Properties instead.
         */
        interface IMessage extends sailquay.dissemination.Message.$Properties {
        }

        /** Represents a Message. */
        class Message {

            /**
             * Constructs a new Message.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.dissemination.Message.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** Message announcement. */
            announcement?: (sailquay.dissemination.Announcement.$Properties|null);

            /** Message probe. */
            probe?: (sailquay.dissemination.Probe.$Properties|null);

            /** Message pullRequest. */
            pullRequest?: (sailquay.dissemination.PullRequest.$Properties|null);

            /** Message pullChunk. */
            pullChunk?: (sailquay.dissemination.PullChunk.$Properties|null);

            /** Message body. */
            body?: ("announcement"|"probe"|"pullRequest"|"pullChunk");

            /**
             * Encodes the specified Message message. Does not implicitly {@link sailquay.dissemination.Message.verify|verify} messages.
             * @param message Message message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.dissemination.Message.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a Message message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.dissemination.Message & sailquay.dissemination.Message.$Shape} Message
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.dissemination.Message & sailquay.dissemination.Message.$Shape;

            /**
             * Gets the type url for Message
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace Message {

            /** Properties of a Message. */
            interface $Properties {

                /** Message announcement */
                announcement?: (sailquay.dissemination.Announcement.$Properties|null);

                /** Message probe */
                probe?: (sailquay.dissemination.Probe.$Properties|null);

                /** Message pullRequest */
                pullRequest?: (sailquay.dissemination.PullRequest.$Properties|null);

                /** Message pullChunk */
                pullChunk?: (sailquay.dissemination.PullChunk.$Properties|null);

                /** Message body */
                body?: ("announcement"|"probe"|"pullRequest"|"pullChunk");

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Narrowed shape of a Message. */
            type $Shape = {
              announcement?: sailquay.dissemination.Announcement.$Shape|null;
              probe?: sailquay.dissemination.Probe.$Shape|null;
              pullRequest?: sailquay.dissemination.PullRequest.$Shape|null;
              pullChunk?: sailquay.dissemination.PullChunk.$Shape|null;
              $unknowns?: Uint8Array[];
            } & (
              ({ body?: undefined; announcement?: null; probe?: null; pullRequest?: null; pullChunk?: null }|{ body?: "announcement"; announcement: sailquay.dissemination.Announcement.$Shape; probe?: null; pullRequest?: null; pullChunk?: null }|{ body?: "probe"; announcement?: null; probe: sailquay.dissemination.Probe.$Shape; pullRequest?: null; pullChunk?: null }|{ body?: "pullRequest"; announcement?: null; probe?: null; pullRequest: sailquay.dissemination.PullRequest.$Shape; pullChunk?: null }|{ body?: "pullChunk"; announcement?: null; probe?: null; pullRequest?: null; pullChunk: sailquay.dissemination.PullChunk.$Shape })
            );
        }
    }
}
