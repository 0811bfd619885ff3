import * as $protobuf from "protobufjs";
import Long = require("long");

/** Namespace sailquay. */
export namespace sailquay {

    /** Namespace control. */
    namespace control {

        /**
         * Properties of an Envelope.
         * @deprecated Use sailquay.control.Envelope.$Properties instead.
         */
        interface IEnvelope extends sailquay.control.Envelope.$Properties {
        }

        /** Represents an Envelope. */
        class Envelope {

            /**
             * Constructs a new Envelope.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.control.Envelope.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** Envelope versionMin. */
            versionMin: number;

            /** Envelope versionMax. */
            versionMax: number;

            /** Envelope keyId. */
            keyId: number;

            /** Envelope senderId. */
            senderId: string;

            /** Envelope senderIncarnation. */
            senderIncarnation: number;

            /** Envelope sequenceLow. */
            sequenceLow: number;

            /** Envelope sequenceHigh. */
            sequenceHigh: number;

            /** Envelope wallSeconds. */
            wallSeconds: number;

            /** Envelope kind. */
            kind: number;

            /** Envelope payload. */
            payload: Uint8Array;

            /**
             * Encodes the specified Envelope message. Does not implicitly {@link sailquay.control.Envelope.verify|verify} messages.
             * @param message Envelope message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.control.Envelope.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes an Envelope message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.control.Envelope & sailquay.control.Envelope.$Shape} Envelope
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.control.Envelope & sailquay.control.Envelope.$Shape;

            /**
             * Gets the type url for Envelope
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace Envelope {

            /** Properties of an Envelope. */
            interface $Properties {

                /** Envelope versionMin */
                versionMin?: (number|null);

                /** Envelope versionMax */
                versionMax?: (number|null);

                /** Envelope keyId */
                keyId?: (number|null);

                /** Envelope senderId */
                senderId?: (string|null);

                /** Envelope senderIncarnation */
                senderIncarnation?: (number|null);

                /** Envelope sequenceLow */
                sequenceLow?: (number|null);

                /** Envelope sequenceHigh */
                sequenceHigh?: (number|null);

                /** Envelope wallSeconds */
                wallSeconds?: (number|null);

                /** Envelope kind */
                kind?: (number|null);

                /** Envelope payload */
                payload?: (Uint8Array|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of an Envelope. */
            type $Shape = sailquay.control.Envelope.$Properties;
        }
    }
}
