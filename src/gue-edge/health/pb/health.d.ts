import * as $protobuf from "protobufjs";
import Long = require("long");

/** Namespace sailquay. */
export namespace sailquay {

    /** Namespace health. */
    namespace health {

        /** Verdict enum. */
        enum Verdict {

            /** VERDICT_NONE value */
            VERDICT_NONE = 0,

            /** VERDICT_HEALTHY value */
            VERDICT_HEALTHY = 1,

            /** VERDICT_UNHEALTHY value */
            VERDICT_UNHEALTHY = 2
        }

        /**
         * Properties of a HealthMessage.
         * @deprecated Use sailquay.health.HealthMessage.$Properties instead.
         */
        interface IHealthMessage extends sailquay.health.HealthMessage.$Properties {
        }

        /** Represents a HealthMessage. */
        class HealthMessage {

            /**
             * Constructs a new HealthMessage.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.health.HealthMessage.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** HealthMessage members. */
            members: sailquay.health.MemberVotes.$Properties[];

            /** HealthMessage digest. */
            digest: number[];

            /** HealthMessage answer. */
            answer: boolean;

            /**
             * Encodes the specified HealthMessage message. Does not implicitly {@link sailquay.health.HealthMessage.verify|verify} messages.
             * @param message HealthMessage message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.health.HealthMessage.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a HealthMessage message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.health.HealthMessage & sailquay.health.HealthMessage.$Shape} HealthMessage
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.health.HealthMessage & sailquay.health.HealthMessage.$Shape;

            /**
             * Gets the type url for HealthMessage
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace HealthMessage {

            /** Properties of a HealthMessage. */
            interface $Properties {

                /** HealthMessage members */
                members?: (sailquay.health.MemberVotes.$Properties[]|null);

                /** HealthMessage digest */
                digest?: (number[]|null);

                /** HealthMessage answer */
                answer?: (boolean|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a HealthMessage. */
            type $Shape = sailquay.health.HealthMessage.$Properties;
        }

        /**
         * Properties of a MemberVotes.
         * @deprecated Use sailquay.health.MemberVotes.$Properties instead.
         */
        interface IMemberVotes extends sailquay.health.MemberVotes.$Properties {
        }

        /** Represents a MemberVotes. */
        class MemberVotes {

            /**
             * Constructs a new MemberVotes.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.health.MemberVotes.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** MemberVotes memberId. */
            memberId: number;

            /** MemberVotes votes. */
            votes: sailquay.health.BackendVote.$Properties[];

            /**
             * Encodes the specified MemberVotes message. Does not implicitly {@link sailquay.health.MemberVotes.verify|verify} messages.
             * @param message MemberVotes message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.health.MemberVotes.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a MemberVotes message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.health.MemberVotes & sailquay.health.MemberVotes.$Shape} MemberVotes
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.health.MemberVotes & sailquay.health.MemberVotes.$Shape;

            /**
             * Gets the type url for MemberVotes
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace MemberVotes {

            /** Properties of a MemberVotes. */
            interface $Properties {

                /** MemberVotes memberId */
                memberId?: (number|null);

                /** MemberVotes votes */
                votes?: (sailquay.health.BackendVote.$Properties[]|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a MemberVotes. */
            type $Shape = sailquay.health.MemberVotes.$Properties;
        }

        /**
         * Properties of a BackendVote.
         * @deprecated Use sailquay.health.BackendVote.$Properties instead.
         */
        interface IBackendVote extends sailquay.health.BackendVote.$Properties {
        }

        /** Represents a BackendVote. */
        class BackendVote {

            /**
             * Constructs a new BackendVote.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.health.BackendVote.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** BackendVote backendId. */
            backendId: number;

            /** BackendVote version. */
            version: number;

            /** BackendVote verdict. */
            verdict: sailquay.health.Verdict;

            /** BackendVote passiveFailures. */
            passiveFailures: number;

            /** BackendVote load. */
            load?: (sailquay.health.LoadReport.$Properties|null);

            /**
             * Encodes the specified BackendVote message. Does not implicitly {@link sailquay.health.BackendVote.verify|verify} messages.
             * @param message BackendVote message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.health.BackendVote.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a BackendVote message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.health.BackendVote & sailquay.health.BackendVote.$Shape} BackendVote
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.health.BackendVote & sailquay.health.BackendVote.$Shape;

            /**
             * Gets the type url for BackendVote
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace BackendVote {

            /** Properties of a BackendVote. */
            interface $Properties {

                /** BackendVote backendId */
                backendId?: (number|null);

                /** BackendVote version */
                version?: (number|null);

                /** BackendVote verdict */
                verdict?: (sailquay.health.Verdict|null);

                /** BackendVote passiveFailures */
                passiveFailures?: (number|null);

                /** BackendVote load */
                load?: (sailquay.health.LoadReport.$Properties|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a BackendVote. */
            type $Shape = sailquay.health.BackendVote.$Properties;
        }

        /**
         * Properties of a LoadReport.
         * @deprecated Use sailquay.health.LoadReport.$Properties instead.
         */
        interface ILoadReport extends sailquay.health.LoadReport.$Properties {
        }

        /** Represents a LoadReport. */
        class LoadReport {

            /**
             * Constructs a new LoadReport.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.health.LoadReport.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** LoadReport openFlows. */
            openFlows: number;

            /** LoadReport capacity. */
            capacity: number;

            /** LoadReport ageMs. */
            ageMs: number;

            /**
             * Encodes the specified LoadReport message. Does not implicitly {@link sailquay.health.LoadReport.verify|verify} messages.
             * @param message LoadReport message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.health.LoadReport.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a LoadReport message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.health.LoadReport & sailquay.health.LoadReport.$Shape} LoadReport
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.health.LoadReport & sailquay.health.LoadReport.$Shape;

            /**
             * Gets the type url for LoadReport
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace LoadReport {

            /** Properties of a LoadReport. */
            interface $Properties {

                /** LoadReport openFlows */
                openFlows?: (number|null);

                /** LoadReport capacity */
                capacity?: (number|null);

                /** LoadReport ageMs */
                ageMs?: (number|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a LoadReport. */
            type $Shape = sailquay.health.LoadReport.$Properties;
        }
    }
}
