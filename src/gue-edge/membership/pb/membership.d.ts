import * as $protobuf from "protobufjs";
import Long = require("long");

/** Namespace sailquay. */
export namespace sailquay {

    /** Namespace membership. */
    namespace membership {

        /**
         * Properties of a MemberEntry.
         * @deprecated Use sailquay.membership.MemberEntry.$Properties instead.
         */
        interface IMemberEntry extends sailquay.membership.MemberEntry.$Properties {
        }

        /** Represents a MemberEntry. */
        class MemberEntry {

            /**
             * Constructs a new MemberEntry.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.membership.MemberEntry.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** MemberEntry id. */
            id: string;

            /** MemberEntry idHash. */
            idHash: number;

            /** MemberEntry zone. */
            zone: string;

            /** MemberEntry endpoints. */
            endpoints: Uint8Array;

            /** MemberEntry incarnation. */
            incarnation: number;

            /** MemberEntry refutation. */
            refutation: number;

            /** MemberEntry state. */
            state: number;

            /** MemberEntry accuserHash. */
            accuserHash: number;

            /**
             * Encodes the specified MemberEntry message. Does not implicitly {@link sailquay.membership.MemberEntry.verify|verify} messages.
             * @param message MemberEntry message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.membership.MemberEntry.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a MemberEntry message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.membership.MemberEntry & sailquay.membership.MemberEntry.$Shape} MemberEntry
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.membership.MemberEntry & sailquay.membership.MemberEntry.$Shape;

            /**
             * Gets the type url for MemberEntry
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace MemberEntry {

            /** Properties of a MemberEntry. */
            interface $Properties {

                /** MemberEntry id */
                id?: (string|null);

                /** MemberEntry idHash */
                idHash?: (number|null);

                /** MemberEntry zone */
                zone?: (string|null);

                /** MemberEntry endpoints */
                endpoints?: (Uint8Array|null);

                /** MemberEntry incarnation */
                incarnation?: (number|null);

                /** MemberEntry refutation */
                refutation?: (number|null);

                /** MemberEntry state */
                state?: (number|null);

                /** MemberEntry accuserHash */
                accuserHash?: (number|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a MemberEntry. */
            type $Shape = sailquay.membership.MemberEntry.$Properties;
        }

        /** MessageType enum. */
        enum MessageType {

            /** UNSPECIFIED value */
            UNSPECIFIED = 0,

            /** PING value */
            PING = 1,

            /** ACK value */
            ACK = 2,

            /** INDIRECT_PING value */
            INDIRECT_PING = 3,

            /** NEGATIVE_ACK value */
            NEGATIVE_ACK = 4,

            /** GOSSIP value */
            GOSSIP = 5,

            /** SYNC_REQUEST value */
            SYNC_REQUEST = 6,

            /** SYNC_STATE value */
            SYNC_STATE = 7,

            /** QUORUM_BASE_REQUEST value */
            QUORUM_BASE_REQUEST = 8,

            /** QUORUM_BASE value */
            QUORUM_BASE = 9
        }

        /**
         * Properties of a MembershipMessage.
         * @deprecated Use sailquay.membership.MembershipMessage.$Properties instead.
         */
        interface IMembershipMessage extends sailquay.membership.MembershipMessage.$Properties {
        }

        /** Represents a MembershipMessage. */
        class MembershipMessage {

            /**
             * Constructs a new MembershipMessage.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.membership.MembershipMessage.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** MembershipMessage type. */
            type: sailquay.membership.MessageType;

            /** MembershipMessage sequence. */
            sequence: number;

            /** MembershipMessage regionHash. */
            regionHash: number;

            /** MembershipMessage settingsVersion. */
            settingsVersion: number;

            /** MembershipMessage targetHash. */
            targetHash: number;

            /** MembershipMessage entries. */
            entries: Uint8Array[];

            /** MembershipMessage bucketDigests. */
            bucketDigests: number[];

            /** MembershipMessage wantedBuckets. */
            wantedBuckets: number;

            /** MembershipMessage baseEpoch. */
            baseEpoch: number;

            /** MembershipMessage baseMembers. */
            baseMembers: number[];

            /** MembershipMessage part. */
            part: number;

            /** MembershipMessage parts. */
            parts: number;

            /**
             * Encodes the specified MembershipMessage message. Does not implicitly {@link sailquay.membership.MembershipMessage.verify|verify} messages.
             * @param message MembershipMessage message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.membership.MembershipMessage.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a MembershipMessage message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.membership.MembershipMessage & sailquay.membership.MembershipMessage.$Shape} MembershipMessage
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.membership.MembershipMessage & sailquay.membership.MembershipMessage.$Shape;

            /**
             * Gets the type url for MembershipMessage
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace MembershipMessage {

            /** Properties of a MembershipMessage. */
            interface $Properties {

                /** MembershipMessage type */
                type?: (sailquay.membership.MessageType|null);

                /** MembershipMessage sequence */
                sequence?: (number|null);

                /** MembershipMessage regionHash */
                regionHash?: (number|null);

                /** MembershipMessage settingsVersion */
                settingsVersion?: (number|null);

                /** MembershipMessage targetHash */
                targetHash?: (number|null);

                /** MembershipMessage entries */
                entries?: (Uint8Array[]|null);

                /** MembershipMessage bucketDigests */
                bucketDigests?: (number[]|null);

                /** MembershipMessage wantedBuckets */
                wantedBuckets?: (number|null);

                /** MembershipMessage baseEpoch */
                baseEpoch?: (number|null);

                /** MembershipMessage baseMembers */
                baseMembers?: (number[]|null);

                /** MembershipMessage part */
                part?: (number|null);

                /** MembershipMessage parts */
                parts?: (number|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a MembershipMessage. */
            type $Shape = sailquay.membership.MembershipMessage.$Properties;
        }
    }
}
