import * as $protobuf from "protobufjs";
import Long = require("long");

/** Namespace sailquay. */
export namespace sailquay {

    /** Namespace flow. */
    namespace flow {

        /**
         * Properties of a ReplicationMessage.
         * @deprecated Use sailquay.flow.ReplicationMessage.$Properties instead.
         */
        interface IReplicationMessage extends sailquay.flow.ReplicationMessage.$Properties {
        }

        /** Represents a ReplicationMessage. */
        class ReplicationMessage {

            /**
             * Constructs a new ReplicationMessage.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.flow.ReplicationMessage.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** ReplicationMessage heartbeat. */
            heartbeat?: (sailquay.flow.Heartbeat.$Properties|null);

            /** ReplicationMessage heartbeatAck. */
            heartbeatAck?: (sailquay.flow.HeartbeatAck.$Properties|null);

            /** ReplicationMessage records. */
            records?: (sailquay.flow.RecordBatch.$Properties|null);

            /** ReplicationMessage recordsAck. */
            recordsAck?: (sailquay.flow.RecordBatchAck.$Properties|null);

            /** ReplicationMessage assignment. */
            assignment?: (sailquay.flow.Assignment.$Properties|null);

            /** ReplicationMessage assignmentReply. */
            assignmentReply?: (sailquay.flow.AssignmentReply.$Properties|null);

            /** ReplicationMessage baseAdvance. */
            baseAdvance?: (sailquay.flow.BaseAdvance.$Properties|null);

            /** ReplicationMessage baseAdvanceAck. */
            baseAdvanceAck?: (sailquay.flow.BaseAdvanceAck.$Properties|null);

            /** ReplicationMessage body. */
            body?: ("heartbeat"|"heartbeatAck"|"records"|"recordsAck"|"assignment"|"assignmentReply"|"baseAdvance"|"baseAdvanceAck");

            /**
             * Encodes the specified ReplicationMessage message. Does not implicitly {@link sailquay.flow.ReplicationMessage.verify|verify} messages.
             * @param message ReplicationMessage message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.flow.ReplicationMessage.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a ReplicationMessage message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.flow.ReplicationMessage & sailquay.flow.ReplicationMessage.$Shape} ReplicationMessage
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.flow.ReplicationMessage & sailquay.flow.ReplicationMessage.$Shape;

            /**
             * Gets the type url for ReplicationMessage
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace ReplicationMessage {

            /** Properties of a ReplicationMessage. */
            interface $Properties {

                /** ReplicationMessage heartbeat */
                heartbeat?: (sailquay.flow.Heartbeat.$Properties|null);

                /** ReplicationMessage heartbeatAck */
                heartbeatAck?: (sailquay.flow.HeartbeatAck.$Properties|null);

                /** ReplicationMessage records */
                records?: (sailquay.flow.RecordBatch.$Properties|null);

                /** ReplicationMessage recordsAck */
                recordsAck?: (sailquay.flow.RecordBatchAck.$Properties|null);

                /** ReplicationMessage assignment */
                assignment?: (sailquay.flow.Assignment.$Properties|null);

                /** ReplicationMessage assignmentReply */
                assignmentReply?: (sailquay.flow.AssignmentReply.$Properties|null);

                /** ReplicationMessage baseAdvance */
                baseAdvance?: (sailquay.flow.BaseAdvance.$Properties|null);

                /** ReplicationMessage baseAdvanceAck */
                baseAdvanceAck?: (sailquay.flow.BaseAdvanceAck.$Properties|null);

                /** ReplicationMessage body */
                body?: ("heartbeat"|"heartbeatAck"|"records"|"recordsAck"|"assignment"|"assignmentReply"|"baseAdvance"|"baseAdvanceAck");

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Narrowed shape of a ReplicationMessage. */
            type $Shape = {
              heartbeat?: sailquay.flow.Heartbeat.$Shape|null;
              heartbeatAck?: sailquay.flow.HeartbeatAck.$Shape|null;
              records?: sailquay.flow.RecordBatch.$Shape|null;
              recordsAck?: sailquay.flow.RecordBatchAck.$Shape|null;
              assignment?: sailquay.flow.Assignment.$Shape|null;
              assignmentReply?: sailquay.flow.AssignmentReply.$Shape|null;
              baseAdvance?: sailquay.flow.BaseAdvance.$Shape|null;
              baseAdvanceAck?: sailquay.flow.BaseAdvanceAck.$Shape|null;
              $unknowns?: Uint8Array[];
            } & (
              ({ body?: undefined; heartbeat?: null; heartbeatAck?: null; records?: null; recordsAck?: null; assignment?: null; assignmentReply?: null; baseAdvance?: null; baseAdvanceAck?: null }|{ body?: "heartbeat"; heartbeat: sailquay.flow.Heartbeat.$Shape; heartbeatAck?: null; records?: null; recordsAck?: null; assignment?: null; assignmentReply?: null; baseAdvance?: null; baseAdvanceAck?: null }|{ body?: "heartbeatAck"; heartbeat?: null; heartbeatAck: sailquay.flow.HeartbeatAck.$Shape; records?: null; recordsAck?: null; assignment?: null; assignmentReply?: null; baseAdvance?: null; baseAdvanceAck?: null }|{ body?: "records"; heartbeat?: null; heartbeatAck?: null; records: sailquay.flow.RecordBatch.$Shape; recordsAck?: null; assignment?: null; assignmentReply?: null; baseAdvance?: null; baseAdvanceAck?: null }|{ body?: "recordsAck"; heartbeat?: null; heartbeatAck?: null; records?: null; recordsAck: sailquay.flow.RecordBatchAck.$Shape; assignment?: null; assignmentReply?: null; baseAdvance?: null; baseAdvanceAck?: null }|{ body?: "assignment"; heartbeat?: null; heartbeatAck?: null; records?: null; recordsAck?: null; assignment: sailquay.flow.Assignment.$Shape; assignmentReply?: null; baseAdvance?: null; baseAdvanceAck?: null }|{ body?: "assignmentReply"; heartbeat?: null; heartbeatAck?: null; records?: null; recordsAck?: null; assignment?: null; assignmentReply: sailquay.flow.AssignmentReply.$Shape; baseAdvance?: null; baseAdvanceAck?: null }|{ body?: "baseAdvance"; heartbeat?: null; heartbeatAck?: null; records?: null; recordsAck?: null; assignment?: null; assignmentReply?: null; baseAdvance: sailquay.flow.BaseAdvance.$Shape; baseAdvanceAck?: null }|{ body?: "baseAdvanceAck"; heartbeat?: null; heartbeatAck?: null; records?: null; recordsAck?: null; assignment?: null; assignmentReply?: null; baseAdvance?: null; baseAdvanceAck: sailquay.flow.BaseAdvanceAck.$Shape })
            );
        }

        /**
         * Properties of a Heartbeat.
         * @deprecated Use sailquay.flow.Heartbeat.$Properties instead.
         */
        interface IHeartbeat extends sailquay.flow.Heartbeat.$Properties {
        }

        /** Represents a Heartbeat. */
        class Heartbeat {

            /**
             * Constructs a new Heartbeat.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.flow.Heartbeat.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** Heartbeat sentAt. */
            sentAt: number;

            /** Heartbeat echo. */
            echo: number;

            /** Heartbeat shards. */
            shards: number;

            /** Heartbeat digest. */
            digest: number;

            /** Heartbeat generation. */
            generation: number;

            /**
             * Encodes the specified Heartbeat message. Does not implicitly {@link sailquay.flow.Heartbeat.verify|verify} messages.
             * @param message Heartbeat message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.flow.Heartbeat.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a Heartbeat message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.flow.Heartbeat & sailquay.flow.Heartbeat.$Shape} Heartbeat
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.flow.Heartbeat & sailquay.flow.Heartbeat.$Shape;

            /**
             * Gets the type url for Heartbeat
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace Heartbeat {

            /** Properties of a Heartbeat. */
            interface $Properties {

                /** Heartbeat sentAt */
                sentAt?: (number|null);

                /** Heartbeat echo */
                echo?: (number|null);

                /** Heartbeat shards */
                shards?: (number|null);

                /** Heartbeat digest */
                digest?: (number|null);

                /** Heartbeat generation */
                generation?: (number|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a Heartbeat. */
            type $Shape = sailquay.flow.Heartbeat.$Properties;
        }

        /**
         * Properties of a HeartbeatAck.
         * @deprecated Use sailquay.flow.HeartbeatAck.$Properties instead.
         */
        interface IHeartbeatAck extends sailquay.flow.HeartbeatAck.$Properties {
        }

        /** Represents a HeartbeatAck. */
        class HeartbeatAck {

            /**
             * Constructs a new HeartbeatAck.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.flow.HeartbeatAck.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** HeartbeatAck echo. */
            echo: number;

            /** HeartbeatAck sentAt. */
            sentAt: number;

            /** HeartbeatAck shards. */
            shards: number;

            /** HeartbeatAck digest. */
            digest: number;

            /** HeartbeatAck lapsed. */
            lapsed: boolean;

            /**
             * Encodes the specified HeartbeatAck message. Does not implicitly {@link sailquay.flow.HeartbeatAck.verify|verify} messages.
             * @param message HeartbeatAck message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.flow.HeartbeatAck.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a HeartbeatAck message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.flow.HeartbeatAck & sailquay.flow.HeartbeatAck.$Shape} HeartbeatAck
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.flow.HeartbeatAck & sailquay.flow.HeartbeatAck.$Shape;

            /**
             * Gets the type url for HeartbeatAck
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace HeartbeatAck {

            /** Properties of a HeartbeatAck. */
            interface $Properties {

                /** HeartbeatAck echo */
                echo?: (number|null);

                /** HeartbeatAck sentAt */
                sentAt?: (number|null);

                /** HeartbeatAck shards */
                shards?: (number|null);

                /** HeartbeatAck digest */
                digest?: (number|null);

                /** HeartbeatAck lapsed */
                lapsed?: (boolean|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a HeartbeatAck. */
            type $Shape = sailquay.flow.HeartbeatAck.$Properties;
        }

        /**
         * Properties of a RecordBatch.
         * @deprecated Use sailquay.flow.RecordBatch.$Properties instead.
         */
        interface IRecordBatch extends sailquay.flow.RecordBatch.$Properties {
        }

        /** Represents a RecordBatch. */
        class RecordBatch {

            /**
             * Constructs a new RecordBatch.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.flow.RecordBatch.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** RecordBatch sequence. */
            sequence: number;

            /** RecordBatch backendKeys. */
            backendKeys: number[];

            /** RecordBatch records. */
            records: Uint8Array;

            /** RecordBatch fromBackup. */
            fromBackup: boolean;

            /** RecordBatch session. */
            session: number;

            /**
             * Encodes the specified RecordBatch message. Does not implicitly {@link sailquay.flow.RecordBatch.verify|verify} messages.
             * @param message RecordBatch message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.flow.RecordBatch.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a RecordBatch message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.flow.RecordBatch & sailquay.flow.RecordBatch.$Shape} RecordBatch
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.flow.RecordBatch & sailquay.flow.RecordBatch.$Shape;

            /**
             * Gets the type url for RecordBatch
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace RecordBatch {

            /** Properties of a RecordBatch. */
            interface $Properties {

                /** RecordBatch sequence */
                sequence?: (number|null);

                /** RecordBatch backendKeys */
                backendKeys?: (number[]|null);

                /** RecordBatch records */
                records?: (Uint8Array|null);

                /** RecordBatch fromBackup */
                fromBackup?: (boolean|null);

                /** RecordBatch session */
                session?: (number|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a RecordBatch. */
            type $Shape = sailquay.flow.RecordBatch.$Properties;
        }

        /**
         * Properties of a RecordBatchAck.
         * @deprecated Use sailquay.flow.RecordBatchAck.$Properties instead.
         */
        interface IRecordBatchAck extends sailquay.flow.RecordBatchAck.$Properties {
        }

        /** Represents a RecordBatchAck. */
        class RecordBatchAck {

            /**
             * Constructs a new RecordBatchAck.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.flow.RecordBatchAck.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** RecordBatchAck sequence. */
            sequence: number;

            /** RecordBatchAck statuses. */
            statuses: Uint8Array;

            /** RecordBatchAck ownKeys. */
            ownKeys: number[];

            /** RecordBatchAck fromBackup. */
            fromBackup: boolean;

            /** RecordBatchAck session. */
            session: number;

            /**
             * Encodes the specified RecordBatchAck message. Does not implicitly {@link sailquay.flow.RecordBatchAck.verify|verify} messages.
             * @param message RecordBatchAck message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.flow.RecordBatchAck.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a RecordBatchAck message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.flow.RecordBatchAck & sailquay.flow.RecordBatchAck.$Shape} RecordBatchAck
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.flow.RecordBatchAck & sailquay.flow.RecordBatchAck.$Shape;

            /**
             * Gets the type url for RecordBatchAck
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace RecordBatchAck {

            /** Properties of a RecordBatchAck. */
            interface $Properties {

                /** RecordBatchAck sequence */
                sequence?: (number|null);

                /** RecordBatchAck statuses */
                statuses?: (Uint8Array|null);

                /** RecordBatchAck ownKeys */
                ownKeys?: (number[]|null);

                /** RecordBatchAck fromBackup */
                fromBackup?: (boolean|null);

                /** RecordBatchAck session */
                session?: (number|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a RecordBatchAck. */
            type $Shape = sailquay.flow.RecordBatchAck.$Properties;
        }

        /**
         * Properties of an Assignment.
         * @deprecated Use sailquay.flow.Assignment.$Properties instead.
         */
        interface IAssignment extends sailquay.flow.Assignment.$Properties {
        }

        /** Represents an Assignment. */
        class Assignment {

            /**
             * Constructs a new Assignment.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.flow.Assignment.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** Assignment shards. */
            shards: Uint8Array;

            /**
             * Encodes the specified Assignment message. Does not implicitly {@link sailquay.flow.Assignment.verify|verify} messages.
             * @param message Assignment message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.flow.Assignment.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes an Assignment message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.flow.Assignment & sailquay.flow.Assignment.$Shape} Assignment
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.flow.Assignment & sailquay.flow.Assignment.$Shape;

            /**
             * Gets the type url for Assignment
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace Assignment {

            /** Properties of an Assignment. */
            interface $Properties {

                /** Assignment shards */
                shards?: (Uint8Array|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of an Assignment. */
            type $Shape = sailquay.flow.Assignment.$Properties;
        }

        /**
         * Properties of an AssignmentReply.
         * @deprecated Use sailquay.flow.AssignmentReply.$Properties instead.
         */
        interface IAssignmentReply extends sailquay.flow.AssignmentReply.$Properties {
        }

        /** Represents an AssignmentReply. */
        class AssignmentReply {

            /**
             * Constructs a new AssignmentReply.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.flow.AssignmentReply.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** AssignmentReply missing. */
            missing: Uint8Array;

            /**
             * Encodes the specified AssignmentReply message. Does not implicitly {@link sailquay.flow.AssignmentReply.verify|verify} messages.
             * @param message AssignmentReply message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.flow.AssignmentReply.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes an AssignmentReply message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.flow.AssignmentReply & sailquay.flow.AssignmentReply.$Shape} AssignmentReply
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.flow.AssignmentReply & sailquay.flow.AssignmentReply.$Shape;

            /**
             * Gets the type url for AssignmentReply
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace AssignmentReply {

            /** Properties of an AssignmentReply. */
            interface $Properties {

                /** AssignmentReply missing */
                missing?: (Uint8Array|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of an AssignmentReply. */
            type $Shape = sailquay.flow.AssignmentReply.$Properties;
        }

        /**
         * Properties of a BaseAdvance.
         * @deprecated Use sailquay.flow.BaseAdvance.$Properties instead.
         */
        interface IBaseAdvance extends sailquay.flow.BaseAdvance.$Properties {
        }

        /** Represents a BaseAdvance. */
        class BaseAdvance {

            /**
             * Constructs a new BaseAdvance.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.flow.BaseAdvance.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** BaseAdvance baseVersion. */
            baseVersion: number;

            /** BaseAdvance shards. */
            shards: Uint8Array;

            /** BaseAdvance oldestBaseVersion. */
            oldestBaseVersion: number;

            /**
             * Encodes the specified BaseAdvance message. Does not implicitly {@link sailquay.flow.BaseAdvance.verify|verify} messages.
             * @param message BaseAdvance message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.flow.BaseAdvance.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a BaseAdvance message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.flow.BaseAdvance & sailquay.flow.BaseAdvance.$Shape} BaseAdvance
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.flow.BaseAdvance & sailquay.flow.BaseAdvance.$Shape;

            /**
             * Gets the type url for BaseAdvance
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace BaseAdvance {

            /** Properties of a BaseAdvance. */
            interface $Properties {

                /** BaseAdvance baseVersion */
                baseVersion?: (number|null);

                /** BaseAdvance shards */
                shards?: (Uint8Array|null);

                /** BaseAdvance oldestBaseVersion */
                oldestBaseVersion?: (number|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a BaseAdvance. */
            type $Shape = sailquay.flow.BaseAdvance.$Properties;
        }

        /**
         * Properties of a BaseAdvanceAck.
         * @deprecated Use sailquay.flow.BaseAdvanceAck.$Properties instead.
         */
        interface IBaseAdvanceAck extends sailquay.flow.BaseAdvanceAck.$Properties {
        }

        /** Represents a BaseAdvanceAck. */
        class BaseAdvanceAck {

            /**
             * Constructs a new BaseAdvanceAck.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.flow.BaseAdvanceAck.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** BaseAdvanceAck baseVersion. */
            baseVersion: number;

            /** BaseAdvanceAck shards. */
            shards: Uint8Array;

            /**
             * Encodes the specified BaseAdvanceAck message. Does not implicitly {@link sailquay.flow.BaseAdvanceAck.verify|verify} messages.
             * @param message BaseAdvanceAck message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.flow.BaseAdvanceAck.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a BaseAdvanceAck message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.flow.BaseAdvanceAck & sailquay.flow.BaseAdvanceAck.$Shape} BaseAdvanceAck
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.flow.BaseAdvanceAck & sailquay.flow.BaseAdvanceAck.$Shape;

            /**
             * Gets the type url for BaseAdvanceAck
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace BaseAdvanceAck {

            /** Properties of a BaseAdvanceAck. */
            interface $Properties {

                /** BaseAdvanceAck baseVersion */
                baseVersion?: (number|null);

                /** BaseAdvanceAck shards */
                shards?: (Uint8Array|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a BaseAdvanceAck. */
            type $Shape = sailquay.flow.BaseAdvanceAck.$Properties;
        }

        /**
         * Properties of a HandoverMessage.
         * @deprecated Use sailquay.flow.HandoverMessage.$Properties instead.
         */
        interface IHandoverMessage extends sailquay.flow.HandoverMessage.$Properties {
        }

        /** Represents a HandoverMessage. */
        class HandoverMessage {

            /**
             * Constructs a new HandoverMessage.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.flow.HandoverMessage.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** HandoverMessage parts. */
            parts?: (sailquay.flow.ShardParts.$Properties|null);

            /** HandoverMessage acks. */
            acks?: (sailquay.flow.ShardAcks.$Properties|null);

            /** HandoverMessage catalogueRequest. */
            catalogueRequest?: (sailquay.flow.CatalogueRequest.$Properties|null);

            /** HandoverMessage catalogueReply. */
            catalogueReply?: (sailquay.flow.CatalogueReply.$Properties|null);

            /** HandoverMessage baseRequest. */
            baseRequest?: (sailquay.flow.BaseRequest.$Properties|null);

            /** HandoverMessage baseReply. */
            baseReply?: (sailquay.flow.BaseReply.$Properties|null);

            /** HandoverMessage release. */
            release?: (sailquay.flow.Release.$Properties|null);

            /** HandoverMessage releaseAck. */
            releaseAck?: (sailquay.flow.ReleaseAck.$Properties|null);

            /** HandoverMessage offer. */
            offer?: (sailquay.flow.Offer.$Properties|null);

            /** HandoverMessage claim. */
            claim?: (sailquay.flow.Claim.$Properties|null);

            /** HandoverMessage body. */
            body?: ("parts"|"acks"|"catalogueRequest"|"catalogueReply"|"baseRequest"|"baseReply"|"release"|"releaseAck"|"offer"|"claim");

            /**
             * Encodes the specified HandoverMessage message. Does not implicitly {@link sailquay.flow.HandoverMessage.verify|verify} messages.
             * @param message HandoverMessage message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.flow.HandoverMessage.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a HandoverMessage message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.flow.HandoverMessage & sailquay.flow.HandoverMessage.$Shape} HandoverMessage
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.flow.HandoverMessage & sailquay.flow.HandoverMessage.$Shape;

            /**
             * Gets the type url for HandoverMessage
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace HandoverMessage {

            /** Properties of a HandoverMessage. */
            interface $Properties {

                /** HandoverMessage parts */
                parts?: (sailquay.flow.ShardParts.$Properties|null);

                /** HandoverMessage acks */
                acks?: (sailquay.flow.ShardAcks.$Properties|null);

                /** HandoverMessage catalogueRequest */
                catalogueRequest?: (sailquay.flow.CatalogueRequest.$Properties|null);

                /** HandoverMessage catalogueReply */
                catalogueReply?: (sailquay.flow.CatalogueReply.$Properties|null);

                /** HandoverMessage baseRequest */
                baseRequest?: (sailquay.flow.BaseRequest.$Properties|null);

                /** HandoverMessage baseReply */
                baseReply?: (sailquay.flow.BaseReply.$Properties|null);

                /** HandoverMessage release */
                release?: (sailquay.flow.Release.$Properties|null);

                /** HandoverMessage releaseAck */
                releaseAck?: (sailquay.flow.ReleaseAck.$Properties|null);

                /** HandoverMessage offer */
                offer?: (sailquay.flow.Offer.$Properties|null);

                /** HandoverMessage claim */
                claim?: (sailquay.flow.Claim.$Properties|null);

                /** HandoverMessage body */
                body?: ("parts"|"acks"|"catalogueRequest"|"catalogueReply"|"baseRequest"|"baseReply"|"release"|"releaseAck"|"offer"|"claim");

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Narrowed shape of a HandoverMessage. */
            type $Shape = {
              parts?: sailquay.flow.ShardParts.$Shape|null;
              acks?: sailquay.flow.ShardAcks.$Shape|null;
              catalogueRequest?: sailquay.flow.CatalogueRequest.$Shape|null;
              catalogueReply?: sailquay.flow.CatalogueReply.$Shape|null;
              baseRequest?: sailquay.flow.BaseRequest.$Shape|null;
              baseReply?: sailquay.flow.BaseReply.$Shape|null;
              release?: sailquay.flow.Release.$Shape|null;
              releaseAck?: sailquay.flow.ReleaseAck.$Shape|null;
              offer?: sailquay.flow.Offer.$Shape|null;
              claim?: sailquay.flow.Claim.$Shape|null;
              $unknowns?: Uint8Array[];
            } & (
              ({ body?: undefined; parts?: null; acks?: null; catalogueRequest?: null; catalogueReply?: null; baseRequest?: null; baseReply?: null; release?: null; releaseAck?: null; offer?: null; claim?: null }|{ body?: "parts"; parts: sailquay.flow.ShardParts.$Shape; acks?: null; catalogueRequest?: null; catalogueReply?: null; baseRequest?: null; baseReply?: null; release?: null; releaseAck?: null; offer?: null; claim?: null }|{ body?: "acks"; parts?: null; acks: sailquay.flow.ShardAcks.$Shape; catalogueRequest?: null; catalogueReply?: null; baseRequest?: null; baseReply?: null; release?: null; releaseAck?: null; offer?: null; claim?: null }|{ body?: "catalogueRequest"; parts?: null; acks?: null; catalogueRequest: sailquay.flow.CatalogueRequest.$Shape; catalogueReply?: null; baseRequest?: null; baseReply?: null; release?: null; releaseAck?: null; offer?: null; claim?: null }|{ body?: "catalogueReply"; parts?: null; acks?: null; catalogueRequest?: null; catalogueReply: sailquay.flow.CatalogueReply.$Shape; baseRequest?: null; baseReply?: null; release?: null; releaseAck?: null; offer?: null; claim?: null }|{ body?: "baseRequest"; parts?: null; acks?: null; catalogueRequest?: null; catalogueReply?: null; baseRequest: sailquay.flow.BaseRequest.$Shape; baseReply?: null; release?: null; releaseAck?: null; offer?: null; claim?: null }|{ body?: "baseReply"; parts?: null; acks?: null; catalogueRequest?: null; catalogueReply?: null; baseRequest?: null; baseReply: sailquay.flow.BaseReply.$Shape; release?: null; releaseAck?: null; offer?: null; claim?: null }|{ body?: "release"; parts?: null; acks?: null; catalogueRequest?: null; catalogueReply?: null; baseRequest?: null; baseReply?: null; release: sailquay.flow.Release.$Shape; releaseAck?: null; offer?: null; claim?: null }|{ body?: "releaseAck"; parts?: null; acks?: null; catalogueRequest?: null; catalogueReply?: null; baseRequest?: null; baseReply?: null; release?: null; releaseAck: sailquay.flow.ReleaseAck.$Shape; offer?: null; claim?: null }|{ body?: "offer"; parts?: null; acks?: null; catalogueRequest?: null; catalogueReply?: null; baseRequest?: null; baseReply?: null; release?: null; releaseAck?: null; offer: sailquay.flow.Offer.$Shape; claim?: null }|{ body?: "claim"; parts?: null; acks?: null; catalogueRequest?: null; catalogueReply?: null; baseRequest?: null; baseReply?: null; release?: null; releaseAck?: null; offer?: null; claim: sailquay.flow.Claim.$Shape })
            );
        }

        /** ShardPurpose enum. */
        enum ShardPurpose {

            /** REPLICA value */
            REPLICA = 0,

            /** TRANSFER value */
            TRANSFER = 1,

            /** RECOVERY value */
            RECOVERY = 2
        }

        /**
         * Properties of a ShardPart.
         * @deprecated Use sailquay.flow.ShardPart.$Properties instead.
         */
        interface IShardPart extends sailquay.flow.ShardPart.$Properties {
        }

        /** Represents a ShardPart. */
        class ShardPart {

            /**
             * Constructs a new ShardPart.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.flow.ShardPart.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** ShardPart shard. */
            shard: number;

            /** ShardPart epoch. */
            epoch: number;

            /** ShardPart purpose. */
            purpose: sailquay.flow.ShardPurpose;

            /** ShardPart transferId. */
            transferId: number;

            /** ShardPart part. */
            part: number;

            /** ShardPart partCount. */
            partCount: number;

            /** ShardPart baseVersion. */
            baseVersion: number;

            /** ShardPart oldestBaseVersion. */
            oldestBaseVersion: number;

            /** ShardPart complete. */
            complete: boolean;

            /** ShardPart trusted. */
            trusted: boolean;

            /** ShardPart backendKeys. */
            backendKeys: number[];

            /** ShardPart records. */
            records: Uint8Array;

            /** ShardPart learningMs. */
            learningMs: number;

            /** ShardPart generation. */
            generation: number;

            /**
             * Encodes the specified ShardPart message. Does not implicitly {@link sailquay.flow.ShardPart.verify|verify} messages.
             * @param message ShardPart message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.flow.ShardPart.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a ShardPart message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.flow.ShardPart & sailquay.flow.ShardPart.$Shape} ShardPart
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.flow.ShardPart & sailquay.flow.ShardPart.$Shape;

            /**
             * Gets the type url for ShardPart
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace ShardPart {

            /** Properties of a ShardPart. */
            interface $Properties {

                /** ShardPart shard */
                shard?: (number|null);

                /** ShardPart epoch */
                epoch?: (number|null);

                /** ShardPart purpose */
                purpose?: (sailquay.flow.ShardPurpose|null);

                /** ShardPart transferId */
                transferId?: (number|null);

                /** ShardPart part */
                part?: (number|null);

                /** ShardPart partCount */
                partCount?: (number|null);

                /** ShardPart baseVersion */
                baseVersion?: (number|null);

                /** ShardPart oldestBaseVersion */
                oldestBaseVersion?: (number|null);

                /** ShardPart complete */
                complete?: (boolean|null);

                /** ShardPart trusted */
                trusted?: (boolean|null);

                /** ShardPart backendKeys */
                backendKeys?: (number[]|null);

                /** ShardPart records */
                records?: (Uint8Array|null);

                /** ShardPart learningMs */
                learningMs?: (number|null);

                /** ShardPart generation */
                generation?: (number|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a ShardPart. */
            type $Shape = sailquay.flow.ShardPart.$Properties;
        }

        /**
         * Properties of a ShardGroup.
         * @deprecated Use sailquay.flow.ShardGroup.$Properties instead.
         */
        interface IShardGroup extends sailquay.flow.ShardGroup.$Properties {
        }

        /** Represents a ShardGroup. */
        class ShardGroup {

            /**
             * Constructs a new ShardGroup.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.flow.ShardGroup.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** ShardGroup header. */
            header?: (sailquay.flow.ShardPart.$Properties|null);

            /** ShardGroup shards. */
            shards: Uint8Array;

            /** ShardGroup firstTransferId. */
            firstTransferId: number;

            /** ShardGroup transferOffsets. */
            transferOffsets: Uint8Array;

            /** ShardGroup recordCounts. */
            recordCounts: Uint8Array;

            /** ShardGroup backendKeys. */
            backendKeys: number[];

            /** ShardGroup records. */
            records: Uint8Array;

            /**
             * Encodes the specified ShardGroup message. Does not implicitly {@link sailquay.flow.ShardGroup.verify|verify} messages.
             * @param message ShardGroup message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.flow.ShardGroup.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a ShardGroup message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.flow.ShardGroup & sailquay.flow.ShardGroup.$Shape} ShardGroup
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.flow.ShardGroup & sailquay.flow.ShardGroup.$Shape;

            /**
             * Gets the type url for ShardGroup
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace ShardGroup {

            /** Properties of a ShardGroup. */
            interface $Properties {

                /** ShardGroup header */
                header?: (sailquay.flow.ShardPart.$Properties|null);

                /** ShardGroup shards */
                shards?: (Uint8Array|null);

                /** ShardGroup firstTransferId */
                firstTransferId?: (number|null);

                /** ShardGroup transferOffsets */
                transferOffsets?: (Uint8Array|null);

                /** ShardGroup recordCounts */
                recordCounts?: (Uint8Array|null);

                /** ShardGroup backendKeys */
                backendKeys?: (number[]|null);

                /** ShardGroup records */
                records?: (Uint8Array|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a ShardGroup. */
            type $Shape = sailquay.flow.ShardGroup.$Properties;
        }

        /**
         * Properties of a ShardParts.
         * @deprecated Use sailquay.flow.ShardParts.$Properties instead.
         */
        interface IShardParts extends sailquay.flow.ShardParts.$Properties {
        }

        /** Represents a ShardParts. */
        class ShardParts {

            /**
             * Constructs a new ShardParts.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.flow.ShardParts.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** ShardParts parts. */
            parts: sailquay.flow.ShardPart.$Properties[];

            /** ShardParts groups. */
            groups: sailquay.flow.ShardGroup.$Properties[];

            /**
             * Encodes the specified ShardParts message. Does not implicitly {@link sailquay.flow.ShardParts.verify|verify} messages.
             * @param message ShardParts message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.flow.ShardParts.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a ShardParts message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.flow.ShardParts & sailquay.flow.ShardParts.$Shape} ShardParts
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.flow.ShardParts & sailquay.flow.ShardParts.$Shape;

            /**
             * Gets the type url for ShardParts
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace ShardParts {

            /** Properties of a ShardParts. */
            interface $Properties {

                /** ShardParts parts */
                parts?: (sailquay.flow.ShardPart.$Properties[]|null);

                /** ShardParts groups */
                groups?: (sailquay.flow.ShardGroup.$Properties[]|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a ShardParts. */
            type $Shape = sailquay.flow.ShardParts.$Properties;
        }

        /** ShardStatus enum. */
        enum ShardStatus {

            /** RECEIVED value */
            RECEIVED = 0,

            /** DONE value */
            DONE = 1,

            /** REFUSED value */
            REFUSED = 2
        }

        /**
         * Properties of a ShardAck.
         * @deprecated Use sailquay.flow.ShardAck.$Properties instead.
         */
        interface IShardAck extends sailquay.flow.ShardAck.$Properties {
        }

        /** Represents a ShardAck. */
        class ShardAck {

            /**
             * Constructs a new ShardAck.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.flow.ShardAck.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** ShardAck shard. */
            shard: number;

            /** ShardAck transferId. */
            transferId: number;

            /** ShardAck part. */
            part: number;

            /** ShardAck status. */
            status: sailquay.flow.ShardStatus;

            /**
             * Encodes the specified ShardAck message. Does not implicitly {@link sailquay.flow.ShardAck.verify|verify} messages.
             * @param message ShardAck message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.flow.ShardAck.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a ShardAck message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.flow.ShardAck & sailquay.flow.ShardAck.$Shape} ShardAck
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.flow.ShardAck & sailquay.flow.ShardAck.$Shape;

            /**
             * Gets the type url for ShardAck
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace ShardAck {

            /** Properties of a ShardAck. */
            interface $Properties {

                /** ShardAck shard */
                shard?: (number|null);

                /** ShardAck transferId */
                transferId?: (number|null);

                /** ShardAck part */
                part?: (number|null);

                /** ShardAck status */
                status?: (sailquay.flow.ShardStatus|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a ShardAck. */
            type $Shape = sailquay.flow.ShardAck.$Properties;
        }

        /**
         * Properties of a ShardAckGroup.
         * @deprecated Use sailquay.flow.ShardAckGroup.$Properties instead.
         */
        interface IShardAckGroup extends sailquay.flow.ShardAckGroup.$Properties {
        }

        /** Represents a ShardAckGroup. */
        class ShardAckGroup {

            /**
             * Constructs a new ShardAckGroup.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.flow.ShardAckGroup.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** ShardAckGroup status. */
            status: sailquay.flow.ShardStatus;

            /** ShardAckGroup firstTransferId. */
            firstTransferId: number;

            /** ShardAckGroup transferOffsets. */
            transferOffsets: Uint8Array;

            /**
             * Encodes the specified ShardAckGroup message. Does not implicitly {@link sailquay.flow.ShardAckGroup.verify|verify} messages.
             * @param message ShardAckGroup message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.flow.ShardAckGroup.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a ShardAckGroup message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.flow.ShardAckGroup & sailquay.flow.ShardAckGroup.$Shape} ShardAckGroup
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.flow.ShardAckGroup & sailquay.flow.ShardAckGroup.$Shape;

            /**
             * Gets the type url for ShardAckGroup
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace ShardAckGroup {

            /** Properties of a ShardAckGroup. */
            interface $Properties {

                /** ShardAckGroup status */
                status?: (sailquay.flow.ShardStatus|null);

                /** ShardAckGroup firstTransferId */
                firstTransferId?: (number|null);

                /** ShardAckGroup transferOffsets */
                transferOffsets?: (Uint8Array|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a ShardAckGroup. */
            type $Shape = sailquay.flow.ShardAckGroup.$Properties;
        }

        /**
         * Properties of a ShardAcks.
         * @deprecated Use sailquay.flow.ShardAcks.$Properties instead.
         */
        interface IShardAcks extends sailquay.flow.ShardAcks.$Properties {
        }

        /** Represents a ShardAcks. */
        class ShardAcks {

            /**
             * Constructs a new ShardAcks.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.flow.ShardAcks.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** ShardAcks acks. */
            acks: sailquay.flow.ShardAck.$Properties[];

            /** ShardAcks groups. */
            groups: sailquay.flow.ShardAckGroup.$Properties[];

            /**
             * Encodes the specified ShardAcks message. Does not implicitly {@link sailquay.flow.ShardAcks.verify|verify} messages.
             * @param message ShardAcks message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.flow.ShardAcks.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a ShardAcks message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.flow.ShardAcks & sailquay.flow.ShardAcks.$Shape} ShardAcks
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.flow.ShardAcks & sailquay.flow.ShardAcks.$Shape;

            /**
             * Gets the type url for ShardAcks
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace ShardAcks {

            /** Properties of a ShardAcks. */
            interface $Properties {

                /** ShardAcks acks */
                acks?: (sailquay.flow.ShardAck.$Properties[]|null);

                /** ShardAcks groups */
                groups?: (sailquay.flow.ShardAckGroup.$Properties[]|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a ShardAcks. */
            type $Shape = sailquay.flow.ShardAcks.$Properties;
        }

        /**
         * Properties of a CatalogueRequest.
         * @deprecated Use sailquay.flow.CatalogueRequest.$Properties instead.
         */
        interface ICatalogueRequest extends sailquay.flow.CatalogueRequest.$Properties {
        }

        /** Represents a CatalogueRequest. */
        class CatalogueRequest {

            /**
             * Constructs a new CatalogueRequest.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.flow.CatalogueRequest.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** CatalogueRequest backendKeys. */
            backendKeys: number[];

            /**
             * Encodes the specified CatalogueRequest message. Does not implicitly {@link sailquay.flow.CatalogueRequest.verify|verify} messages.
             * @param message CatalogueRequest message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.flow.CatalogueRequest.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a CatalogueRequest message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.flow.CatalogueRequest & sailquay.flow.CatalogueRequest.$Shape} CatalogueRequest
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.flow.CatalogueRequest & sailquay.flow.CatalogueRequest.$Shape;

            /**
             * Gets the type url for CatalogueRequest
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace CatalogueRequest {

            /** Properties of a CatalogueRequest. */
            interface $Properties {

                /** CatalogueRequest backendKeys */
                backendKeys?: (number[]|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a CatalogueRequest. */
            type $Shape = sailquay.flow.CatalogueRequest.$Properties;
        }

        /**
         * Properties of a CatalogueEntry.
         * @deprecated Use sailquay.flow.CatalogueEntry.$Properties instead.
         */
        interface ICatalogueEntry extends sailquay.flow.CatalogueEntry.$Properties {
        }

        /** Represents a CatalogueEntry. */
        class CatalogueEntry {

            /**
             * Constructs a new CatalogueEntry.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.flow.CatalogueEntry.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** CatalogueEntry id. */
            id: number;

            /** CatalogueEntry serviceId. */
            serviceId: number;

            /** CatalogueEntry host. */
            host: string;

            /** CatalogueEntry port. */
            port: number;

            /** CatalogueEntry idleTimeoutMs. */
            idleTimeoutMs: number;

            /** CatalogueEntry serviceAddresses. */
            serviceAddresses: number[];

            /** CatalogueEntry servicePorts. */
            servicePorts: number[];

            /**
             * Encodes the specified CatalogueEntry message. Does not implicitly {@link sailquay.flow.CatalogueEntry.verify|verify} messages.
             * @param message CatalogueEntry message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.flow.CatalogueEntry.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a CatalogueEntry message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.flow.CatalogueEntry & sailquay.flow.CatalogueEntry.$Shape} CatalogueEntry
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.flow.CatalogueEntry & sailquay.flow.CatalogueEntry.$Shape;

            /**
             * Gets the type url for CatalogueEntry
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace CatalogueEntry {

            /** Properties of a CatalogueEntry. */
            interface $Properties {

                /** CatalogueEntry id */
                id?: (number|null);

                /** CatalogueEntry serviceId */
                serviceId?: (number|null);

                /** CatalogueEntry host */
                host?: (string|null);

                /** CatalogueEntry port */
                port?: (number|null);

                /** CatalogueEntry idleTimeoutMs */
                idleTimeoutMs?: (number|null);

                /** CatalogueEntry serviceAddresses */
                serviceAddresses?: (number[]|null);

                /** CatalogueEntry servicePorts */
                servicePorts?: (number[]|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a CatalogueEntry. */
            type $Shape = sailquay.flow.CatalogueEntry.$Properties;
        }

        /**
         * Properties of a CatalogueReply.
         * @deprecated Use sailquay.flow.CatalogueReply.$Properties instead.
         */
        interface ICatalogueReply extends sailquay.flow.CatalogueReply.$Properties {
        }

        /** Represents a CatalogueReply. */
        class CatalogueReply {

            /**
             * Constructs a new CatalogueReply.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.flow.CatalogueReply.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** CatalogueReply entries. */
            entries: sailquay.flow.CatalogueEntry.$Properties[];

            /**
             * Encodes the specified CatalogueReply message. Does not implicitly {@link sailquay.flow.CatalogueReply.verify|verify} messages.
             * @param message CatalogueReply message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.flow.CatalogueReply.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a CatalogueReply message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.flow.CatalogueReply & sailquay.flow.CatalogueReply.$Shape} CatalogueReply
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.flow.CatalogueReply & sailquay.flow.CatalogueReply.$Shape;

            /**
             * Gets the type url for CatalogueReply
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace CatalogueReply {

            /** Properties of a CatalogueReply. */
            interface $Properties {

                /** CatalogueReply entries */
                entries?: (sailquay.flow.CatalogueEntry.$Properties[]|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a CatalogueReply. */
            type $Shape = sailquay.flow.CatalogueReply.$Properties;
        }

        /**
         * Properties of a BaseRequest.
         * @deprecated Use sailquay.flow.BaseRequest.$Properties instead.
         */
        interface IBaseRequest extends sailquay.flow.BaseRequest.$Properties {
        }

        /** Represents a BaseRequest. */
        class BaseRequest {

            /**
             * Constructs a new BaseRequest.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.flow.BaseRequest.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** BaseRequest baseVersion. */
            baseVersion: number;

            /** BaseRequest knownVersions. */
            knownVersions: number[];

            /**
             * Encodes the specified BaseRequest message. Does not implicitly {@link sailquay.flow.BaseRequest.verify|verify} messages.
             * @param message BaseRequest message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.flow.BaseRequest.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a BaseRequest message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.flow.BaseRequest & sailquay.flow.BaseRequest.$Shape} BaseRequest
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.flow.BaseRequest & sailquay.flow.BaseRequest.$Shape;

            /**
             * Gets the type url for BaseRequest
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace BaseRequest {

            /** Properties of a BaseRequest. */
            interface $Properties {

                /** BaseRequest baseVersion */
                baseVersion?: (number|null);

                /** BaseRequest knownVersions */
                knownVersions?: (number[]|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a BaseRequest. */
            type $Shape = sailquay.flow.BaseRequest.$Properties;
        }

        /**
         * Properties of a BaseBackend.
         * @deprecated Use sailquay.flow.BaseBackend.$Properties instead.
         */
        interface IBaseBackend extends sailquay.flow.BaseBackend.$Properties {
        }

        /** Represents a BaseBackend. */
        class BaseBackend {

            /**
             * Constructs a new BaseBackend.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.flow.BaseBackend.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** BaseBackend id. */
            id: number;

            /** BaseBackend host. */
            host: string;

            /** BaseBackend port. */
            port: number;

            /** BaseBackend weight. */
            weight: number;

            /**
             * Encodes the specified BaseBackend message. Does not implicitly {@link sailquay.flow.BaseBackend.verify|verify} messages.
             * @param message BaseBackend message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.flow.BaseBackend.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a BaseBackend message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.flow.BaseBackend & sailquay.flow.BaseBackend.$Shape} BaseBackend
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.flow.BaseBackend & sailquay.flow.BaseBackend.$Shape;

            /**
             * Gets the type url for BaseBackend
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace BaseBackend {

            /** Properties of a BaseBackend. */
            interface $Properties {

                /** BaseBackend id */
                id?: (number|null);

                /** BaseBackend host */
                host?: (string|null);

                /** BaseBackend port */
                port?: (number|null);

                /** BaseBackend weight */
                weight?: (number|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a BaseBackend. */
            type $Shape = sailquay.flow.BaseBackend.$Properties;
        }

        /**
         * Properties of a BaseService.
         * @deprecated Use sailquay.flow.BaseService.$Properties instead.
         */
        interface IBaseService extends sailquay.flow.BaseService.$Properties {
        }

        /** Represents a BaseService. */
        class BaseService {

            /**
             * Constructs a new BaseService.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.flow.BaseService.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** BaseService id. */
            id: number;

            /** BaseService backends. */
            backends: sailquay.flow.BaseBackend.$Properties[];

            /**
             * Encodes the specified BaseService message. Does not implicitly {@link sailquay.flow.BaseService.verify|verify} messages.
             * @param message BaseService message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.flow.BaseService.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a BaseService message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.flow.BaseService & sailquay.flow.BaseService.$Shape} BaseService
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.flow.BaseService & sailquay.flow.BaseService.$Shape;

            /**
             * Gets the type url for BaseService
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace BaseService {

            /** Properties of a BaseService. */
            interface $Properties {

                /** BaseService id */
                id?: (number|null);

                /** BaseService backends */
                backends?: (sailquay.flow.BaseBackend.$Properties[]|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a BaseService. */
            type $Shape = sailquay.flow.BaseService.$Properties;
        }

        /**
         * Properties of a BaseReply.
         * @deprecated Use sailquay.flow.BaseReply.$Properties instead.
         */
        interface IBaseReply extends sailquay.flow.BaseReply.$Properties {
        }

        /** Represents a BaseReply. */
        class BaseReply {

            /**
             * Constructs a new BaseReply.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.flow.BaseReply.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** BaseReply baseVersion. */
            baseVersion: number;

            /** BaseReply differenceFrom. */
            differenceFrom: number;

            /** BaseReply part. */
            part: number;

            /** BaseReply partCount. */
            partCount: number;

            /** BaseReply services. */
            services: sailquay.flow.BaseService.$Properties[];

            /** BaseReply removedServiceIds. */
            removedServiceIds: number[];

            /**
             * Encodes the specified BaseReply message. Does not implicitly {@link sailquay.flow.BaseReply.verify|verify} messages.
             * @param message BaseReply message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.flow.BaseReply.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a BaseReply message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.flow.BaseReply & sailquay.flow.BaseReply.$Shape} BaseReply
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.flow.BaseReply & sailquay.flow.BaseReply.$Shape;

            /**
             * Gets the type url for BaseReply
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace BaseReply {

            /** Properties of a BaseReply. */
            interface $Properties {

                /** BaseReply baseVersion */
                baseVersion?: (number|null);

                /** BaseReply differenceFrom */
                differenceFrom?: (number|null);

                /** BaseReply part */
                part?: (number|null);

                /** BaseReply partCount */
                partCount?: (number|null);

                /** BaseReply services */
                services?: (sailquay.flow.BaseService.$Properties[]|null);

                /** BaseReply removedServiceIds */
                removedServiceIds?: (number[]|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a BaseReply. */
            type $Shape = sailquay.flow.BaseReply.$Properties;
        }

        /**
         * Properties of a Release.
         * @deprecated Use sailquay.flow.Release.$Properties instead.
         */
        interface IRelease extends sailquay.flow.Release.$Properties {
        }

        /** Represents a Release. */
        class Release {

            /**
             * Constructs a new Release.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.flow.Release.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** Release shards. */
            shards: Uint8Array;

            /**
             * Encodes the specified Release message. Does not implicitly {@link sailquay.flow.Release.verify|verify} messages.
             * @param message Release message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.flow.Release.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a Release message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.flow.Release & sailquay.flow.Release.$Shape} Release
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.flow.Release & sailquay.flow.Release.$Shape;

            /**
             * Gets the type url for Release
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace Release {

            /** Properties of a Release. */
            interface $Properties {

                /** Release shards */
                shards?: (Uint8Array|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a Release. */
            type $Shape = sailquay.flow.Release.$Properties;
        }

        /**
         * Properties of a ReleaseAck.
         * @deprecated Use sailquay.flow.ReleaseAck.$Properties instead.
         */
        interface IReleaseAck extends sailquay.flow.ReleaseAck.$Properties {
        }

        /** Represents a ReleaseAck. */
        class ReleaseAck {

            /**
             * Constructs a new ReleaseAck.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.flow.ReleaseAck.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** ReleaseAck shards. */
            shards: Uint8Array;

            /**
             * Encodes the specified ReleaseAck message. Does not implicitly {@link sailquay.flow.ReleaseAck.verify|verify} messages.
             * @param message ReleaseAck message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.flow.ReleaseAck.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a ReleaseAck message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.flow.ReleaseAck & sailquay.flow.ReleaseAck.$Shape} ReleaseAck
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.flow.ReleaseAck & sailquay.flow.ReleaseAck.$Shape;

            /**
             * Gets the type url for ReleaseAck
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace ReleaseAck {

            /** Properties of a ReleaseAck. */
            interface $Properties {

                /** ReleaseAck shards */
                shards?: (Uint8Array|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a ReleaseAck. */
            type $Shape = sailquay.flow.ReleaseAck.$Properties;
        }

        /**
         * Properties of an Offer.
         * @deprecated Use sailquay.flow.Offer.$Properties instead.
         */
        interface IOffer extends sailquay.flow.Offer.$Properties {
        }

        /** Represents an Offer. */
        class Offer {

            /**
             * Constructs a new Offer.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.flow.Offer.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** Offer shards. */
            shards: Uint8Array;

            /**
             * Encodes the specified Offer message. Does not implicitly {@link sailquay.flow.Offer.verify|verify} messages.
             * @param message Offer message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.flow.Offer.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes an Offer message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.flow.Offer & sailquay.flow.Offer.$Shape} Offer
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.flow.Offer & sailquay.flow.Offer.$Shape;

            /**
             * Gets the type url for Offer
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace Offer {

            /** Properties of an Offer. */
            interface $Properties {

                /** Offer shards */
                shards?: (Uint8Array|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of an Offer. */
            type $Shape = sailquay.flow.Offer.$Properties;
        }

        /**
         * Properties of a Claim.
         * @deprecated Use sailquay.flow.Claim.$Properties instead.
         */
        interface IClaim extends sailquay.flow.Claim.$Properties {
        }

        /** Represents a Claim. */
        class Claim {

            /**
             * Constructs a new Claim.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.flow.Claim.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** Claim shards. */
            shards: Uint8Array;

            /**
             * Encodes the specified Claim message. Does not implicitly {@link sailquay.flow.Claim.verify|verify} messages.
             * @param message Claim message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.flow.Claim.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a Claim message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.flow.Claim & sailquay.flow.Claim.$Shape} Claim
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.flow.Claim & sailquay.flow.Claim.$Shape;

            /**
             * Gets the type url for Claim
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace Claim {

            /** Properties of a Claim. */
            interface $Properties {

                /** Claim shards */
                shards?: (Uint8Array|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a Claim. */
            type $Shape = sailquay.flow.Claim.$Properties;
        }
    }
}
