import * as $protobuf from "protobufjs";
import Long = require("long");

/** Namespace sailquay. */
export namespace sailquay {

    /** Namespace settings. */
    namespace settings {

        /**
         * Properties of a FieldEntry.
         * @deprecated Use sailquay.settings.FieldEntry.$Properties instead.
         */
        interface IFieldEntry extends sailquay.settings.FieldEntry.$Properties {
        }

        /** Represents a FieldEntry. */
        class FieldEntry {

            /**
             * Constructs a new FieldEntry.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.settings.FieldEntry.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** FieldEntry number. */
            number: number;

            /** FieldEntry name. */
            name: string;

            /** FieldEntry text. */
            text?: (string|null);

            /** FieldEntry integer. */
            integer?: (number|null);

            /** FieldEntry decimal. */
            decimal?: (number|null);

            /** FieldEntry flag. */
            flag?: (boolean|null);

            /** FieldEntry unlimited. */
            unlimited?: (boolean|null);

            /** FieldEntry endpoint. */
            endpoint?: (Uint8Array|null);

            /** FieldEntry value. */
            value?: ("text"|"integer"|"decimal"|"flag"|"unlimited"|"endpoint");

            /**
             * Encodes the specified FieldEntry message. Does not implicitly {@link sailquay.settings.FieldEntry.verify|verify} messages.
             * @param message FieldEntry message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.settings.FieldEntry.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a FieldEntry message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.settings.FieldEntry & sailquay.settings.FieldEntry.$Shape} FieldEntry
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.settings.FieldEntry & sailquay.settings.FieldEntry.$Shape;

            /**
             * Gets the type url for FieldEntry
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace FieldEntry {

            /** Properties of a FieldEntry. */
            interface $Properties {

                /** FieldEntry number */
                number?: (number|null);

                /** FieldEntry name */
                name?: (string|null);

                /** FieldEntry text */
                text?: (string|null);

                /** FieldEntry integer */
                integer?: (number|null);

                /** FieldEntry decimal */
                decimal?: (number|null);

                /** FieldEntry flag */
                flag?: (boolean|null);

                /** FieldEntry unlimited */
                unlimited?: (boolean|null);

                /** FieldEntry endpoint */
                endpoint?: (Uint8Array|null);

                /** FieldEntry value */
                value?: ("text"|"integer"|"decimal"|"flag"|"unlimited"|"endpoint");

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Narrowed shape of a FieldEntry. */
            type $Shape = {
              number?: number|null;
              name?: string|null;
              text?: string|null;
              integer?: number|null;
              decimal?: number|null;
              flag?: boolean|null;
              unlimited?: boolean|null;
              endpoint?: Uint8Array|null;
              $unknowns?: Uint8Array[];
            } & (
              ({ value?: undefined; text?: null; integer?: null; decimal?: null; flag?: null; unlimited?: null; endpoint?: null }|{ value?: "text"; text: string; integer?: null; decimal?: null; flag?: null; unlimited?: null; endpoint?: null }|{ value?: "integer"; text?: null; integer: number; decimal?: null; flag?: null; unlimited?: null; endpoint?: null }|{ value?: "decimal"; text?: null; integer?: null; decimal: number; flag?: null; unlimited?: null; endpoint?: null }|{ value?: "flag"; text?: null; integer?: null; decimal?: null; flag: boolean; unlimited?: null; endpoint?: null }|{ value?: "unlimited"; text?: null; integer?: null; decimal?: null; flag?: null; unlimited: boolean; endpoint?: null }|{ value?: "endpoint"; text?: null; integer?: null; decimal?: null; flag?: null; unlimited?: null; endpoint: Uint8Array })
            );
        }

        /**
         * Properties of a Node.
         * @deprecated Use sailquay.settings.Node.$Properties instead.
         */
        interface INode extends sailquay.settings.Node.$Properties {
        }

        /** Represents a Node. */
        class Node {

            /**
             * Constructs a new Node.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.settings.Node.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** Node path. */
            path: string;

            /** Node kind. */
            kind: number;

            /** Node parent. */
            parent: string;

            /** Node hasParent. */
            hasParent: boolean;

            /** Node fields. */
            fields: sailquay.settings.FieldEntry.$Properties[];

            /**
             * Encodes the specified Node message. Does not implicitly {@link sailquay.settings.Node.verify|verify} messages.
             * @param message Node message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.settings.Node.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a Node message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.settings.Node & sailquay.settings.Node.$Shape} Node
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.settings.Node & sailquay.settings.Node.$Shape;

            /**
             * Gets the type url for Node
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace Node {

            /** Properties of a Node. */
            interface $Properties {

                /** Node path */
                path?: (string|null);

                /** Node kind */
                kind?: (number|null);

                /** Node parent */
                parent?: (string|null);

                /** Node hasParent */
                hasParent?: (boolean|null);

                /** Node fields */
                fields?: (sailquay.settings.FieldEntry.$Properties[]|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a Node. */
            type $Shape = {
              path?: string|null;
              kind?: number|null;
              parent?: string|null;
              hasParent?: boolean|null;
              fields?: sailquay.settings.FieldEntry.$Shape[]|null;
              $unknowns?: Uint8Array[];
            };
        }

        /**
         * Properties of a NodeChange.
         * @deprecated Use sailquay.settings.NodeChange.$Properties instead.
         */
        interface INodeChange extends sailquay.settings.NodeChange.$Properties {
        }

        /** Represents a NodeChange. */
        class NodeChange {

            /**
             * Constructs a new NodeChange.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.settings.NodeChange.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** NodeChange path. */
            path: string;

            /** NodeChange fields. */
            fields: sailquay.settings.FieldEntry.$Properties[];

            /**
             * Encodes the specified NodeChange message. Does not implicitly {@link sailquay.settings.NodeChange.verify|verify} messages.
             * @param message NodeChange message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.settings.NodeChange.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a NodeChange message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.settings.NodeChange & sailquay.settings.NodeChange.$Shape} NodeChange
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.settings.NodeChange & sailquay.settings.NodeChange.$Shape;

            /**
             * Gets the type url for NodeChange
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace NodeChange {

            /** Properties of a NodeChange. */
            interface $Properties {

                /** NodeChange path */
                path?: (string|null);

                /** NodeChange fields */
                fields?: (sailquay.settings.FieldEntry.$Properties[]|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a NodeChange. */
            type $Shape = {
              path?: string|null;
              fields?: sailquay.settings.FieldEntry.$Shape[]|null;
              $unknowns?: Uint8Array[];
            };
        }

        /**
         * Properties of a Delta.
         * @deprecated Use sailquay.settings.Delta.$Properties instead.
         */
        interface IDelta extends sailquay.settings.Delta.$Properties {
        }

        /** Represents a Delta. */
        class Delta {

            /**
             * Constructs a new Delta.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.settings.Delta.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** Delta nodes. */
            nodes: sailquay.settings.NodeChange.$Properties[];

            /**
             * Encodes the specified Delta message. Does not implicitly {@link sailquay.settings.Delta.verify|verify} messages.
             * @param message Delta message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.settings.Delta.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a Delta message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.settings.Delta & sailquay.settings.Delta.$Shape} Delta
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.settings.Delta & sailquay.settings.Delta.$Shape;

            /**
             * Gets the type url for Delta
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace Delta {

            /** Properties of a Delta. */
            interface $Properties {

                /** Delta nodes */
                nodes?: (sailquay.settings.NodeChange.$Properties[]|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a Delta. */
            type $Shape = {
              nodes?: sailquay.settings.NodeChange.$Shape[]|null;
              $unknowns?: Uint8Array[];
            };
        }
    }
}
