/*eslint-disable block-scoped-var, id-length, no-control-regex, no-magic-numbers, no-mixed-operators, no-prototype-builtins, no-redeclare, no-shadow, no-var, sort-vars, default-case, jsdoc/require-param*/
import $protobuf from "protobufjs/minimal.js";

// Common aliases
const $Reader = $protobuf.Reader, $Writer = $protobuf.Writer, $util = $protobuf.util;
const $Object = $util.global.Object, $undefined = $util.global.undefined, $Error = $util.global.Error, $RangeError = $util.global.RangeError;

// Exported root namespace
const $root = $protobuf.roots["flow"] || ($protobuf.roots["flow"] = {});

export const sailquay = $root.sailquay = (() => {

    /**
     * Namespace sailquay.
     * @exports sailquay
     * @namespace
     */
    const sailquay = {};

    sailquay.flow = (function() {

        /**
         * Namespace flow.
         * @memberof sailquay
         * @namespace
         */
        const flow = {};

        flow.ReplicationMessage = (function() {

            /**
             * Properties of a ReplicationMessage.
             * @typedef {Object} sailquay.flow.ReplicationMessage.$Properties
             * @property {sailquay.flow.Heartbeat.$Properties|null} [heartbeat] ReplicationMessage heartbeat
             * @property {sailquay.flow.HeartbeatAck.$Properties|null} [heartbeatAck] ReplicationMessage heartbeatAck
             * @property {sailquay.flow.RecordBatch.$Properties|null} [records] ReplicationMessage records
             * @property {sailquay.flow.RecordBatchAck.$Properties|null} [recordsAck] ReplicationMessage recordsAck
             * @property {sailquay.flow.Assignment.$Properties|null} [assignment] ReplicationMessage assignment
             * @property {sailquay.flow.AssignmentReply.$Properties|null} [assignmentReply] ReplicationMessage assignmentReply
             * @property {sailquay.flow.BaseAdvance.$Properties|null} [baseAdvance] ReplicationMessage baseAdvance
             * @property {sailquay.flow.BaseAdvanceAck.$Properties|null} [baseAdvanceAck] ReplicationMessage baseAdvanceAck
             * @property {"heartbeat"|"heartbeatAck"|"records"|"recordsAck"|"assignment"|"assignmentReply"|"baseAdvance"|"baseAdvanceAck"} [body] ReplicationMessage body
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a ReplicationMessage.
             * @memberof sailquay.flow
             * @interface IReplicationMessage
             * @augments sailquay.flow.ReplicationMessage.$Properties
             * @deprecated Use sailquay.flow.ReplicationMessage.$Properties instead.
             */

            /**
             * Narrowed shape of a ReplicationMessage.
             * @typedef {{
             *   heartbeat?: sailquay.flow.Heartbeat.$Shape|null;
             *   heartbeatAck?: sailquay.flow.HeartbeatAck.$Shape|null;
             *   records?: sailquay.flow.RecordBatch.$Shape|null;
             *   recordsAck?: sailquay.flow.RecordBatchAck.$Shape|null;
             *   assignment?: sailquay.flow.Assignment.$Shape|null;
             *   assignmentReply?: sailquay.flow.AssignmentReply.$Shape|null;
             *   baseAdvance?: sailquay.flow.BaseAdvance.$Shape|null;
             *   baseAdvanceAck?: sailquay.flow.BaseAdvanceAck.$Shape|null;
             *   $unknowns?: Array.<Uint8Array>;
             * } & (
             *   ({ body?: undefined; heartbeat?: null; heartbeatAck?: null; records?: null; recordsAck?: null; assignment?: null; assignmentReply?: null; baseAdvance?: null; baseAdvanceAck?: null }|{ body?: "heartbeat"; heartbeat: sailquay.flow.Heartbeat.$Shape; heartbeatAck?: null; records?: null; recordsAck?: null; assignment?: null; assignmentReply?: null; baseAdvance?: null; baseAdvanceAck?: null }|{ body?: "heartbeatAck"; heartbeat?: null; heartbeatAck: sailquay.flow.HeartbeatAck.$Shape; records?: null; recordsAck?: null; assignment?: null; assignmentReply?: null; baseAdvance?: null; baseAdvanceAck?: null }|{ body?: "records"; heartbeat?: null; heartbeatAck?: null; records: sailquay.flow.RecordBatch.$Shape; recordsAck?: null; assignment?: null; assignmentReply?: null; baseAdvance?: null; baseAdvanceAck?: null }|{ body?: "recordsAck"; heartbeat?: null; heartbeatAck?: null; records?: null; recordsAck: sailquay.flow.RecordBatchAck.$Shape; assignment?: null; assignmentReply?: null; baseAdvance?: null; baseAdvanceAck?: null }|{ body?: "assignment"; heartbeat?: null; heartbeatAck?: null; records?: null; recordsAck?: null; assignment: sailquay.flow.Assignment.$Shape; assignmentReply?: null; baseAdvance?: null; baseAdvanceAck?: null }|{ body?: "assignmentReply"; heartbeat?: null; heartbeatAck?: null; records?: null; recordsAck?: null; assignment?: null; assignmentReply: sailquay.flow.AssignmentReply.$Shape; baseAdvance?: null; baseAdvanceAck?: null }|{ body?: "baseAdvance"; heartbeat?: null; heartbeatAck?: null; records?: null; recordsAck?: null; assignment?: null; assignmentReply?: null; baseAdvance: sailquay.flow.BaseAdvance.$Shape; baseAdvanceAck?: null }|{ body?: "baseAdvanceAck"; heartbeat?: null; heartbeatAck?: null; records?: null; recordsAck?: null; assignment?: null; assignmentReply?: null; baseAdvance?: null; baseAdvanceAck: sailquay.flow.BaseAdvanceAck.$Shape })
             * )} sailquay.flow.ReplicationMessage.$Shape
             */

            /**
             * Constructs a new ReplicationMessage.
             * @memberof sailquay.flow
             * @classdesc Represents a ReplicationMessage.
             * @constructor
             * @param {sailquay.flow.ReplicationMessage.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const ReplicationMessage = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * ReplicationMessage heartbeat.
             * @member {sailquay.flow.Heartbeat.$Properties|null|undefined} heartbeat
             * @memberof sailquay.flow.ReplicationMessage
             * @instance
             */
            ReplicationMessage.prototype.heartbeat = null;

            /**
             * ReplicationMessage heartbeatAck.
             * @member {sailquay.flow.HeartbeatAck.$Properties|null|undefined} heartbeatAck
             * @memberof sailquay.flow.ReplicationMessage
             * @instance
             */
            ReplicationMessage.prototype.heartbeatAck = null;

            /**
             * ReplicationMessage records.
             * @member {sailquay.flow.RecordBatch.$Properties|null|undefined} records
             * @memberof sailquay.flow.ReplicationMessage
             * @instance
             */
            ReplicationMessage.prototype.records = null;

            /**
             * ReplicationMessage recordsAck.
             * @member {sailquay.flow.RecordBatchAck.$Properties|null|undefined} recordsAck
             * @memberof sailquay.flow.ReplicationMessage
             * @instance
             */
            ReplicationMessage.prototype.recordsAck = null;

            /**
             * ReplicationMessage assignment.
             * @member {sailquay.flow.Assignment.$Properties|null|undefined} assignment
             * @memberof sailquay.flow.ReplicationMessage
             * @instance
             */
            ReplicationMessage.prototype.assignment = null;

            /**
             * ReplicationMessage assignmentReply.
             * @member {sailquay.flow.AssignmentReply.$Properties|null|undefined} assignmentReply
             * @memberof sailquay.flow.ReplicationMessage
             * @instance
             */
            ReplicationMessage.prototype.assignmentReply = null;

            /**
             * ReplicationMessage baseAdvance.
             * @member {sailquay.flow.BaseAdvance.$Properties|null|undefined} baseAdvance
             * @memberof sailquay.flow.ReplicationMessage
             * @instance
             */
            ReplicationMessage.prototype.baseAdvance = null;

            /**
             * ReplicationMessage baseAdvanceAck.
             * @member {sailquay.flow.BaseAdvanceAck.$Properties|null|undefined} baseAdvanceAck
             * @memberof sailquay.flow.ReplicationMessage
             * @instance
             */
            ReplicationMessage.prototype.baseAdvanceAck = null;

            // OneOf field names bound to virtual getters and setters
            let $oneOfFields;

            /**
             * ReplicationMessage body.
             * @member {"heartbeat"|"heartbeatAck"|"records"|"recordsAck"|"assignment"|"assignmentReply"|"baseAdvance"|"baseAdvanceAck"|undefined} body
             * @memberof sailquay.flow.ReplicationMessage
             * @instance
             */
            $Object.defineProperty(ReplicationMessage.prototype, "body", {
                get: $util.oneOfGetter($oneOfFields = ["heartbeat", "heartbeatAck", "records", "recordsAck", "assignment", "assignmentReply", "baseAdvance", "baseAdvanceAck"]),
                set: $util.oneOfSetter($oneOfFields)
            });

            /**
             * Encodes the specified ReplicationMessage message. Does not implicitly {@link sailquay.flow.ReplicationMessage.verify|verify} messages.
             * @function encode
             * @memberof sailquay.flow.ReplicationMessage
             * @static
             * @param {sailquay.flow.ReplicationMessage.$Properties} message ReplicationMessage message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            ReplicationMessage.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.heartbeat != null && $Object.hasOwnProperty.call(message, "heartbeat"))
                    $root.sailquay.flow.Heartbeat.encode(message.heartbeat, writer.uint32(/* id 1, wireType 2 =*/10).fork(), _depth + 1).ldelim();
                if (message.heartbeatAck != null && $Object.hasOwnProperty.call(message, "heartbeatAck"))
                    $root.sailquay.flow.HeartbeatAck.encode(message.heartbeatAck, writer.uint32(/* id 2, wireType 2 =*/18).fork(), _depth + 1).ldelim();
                if (message.records != null && $Object.hasOwnProperty.call(message, "records"))
                    $root.sailquay.flow.RecordBatch.encode(message.records, writer.uint32(/* id 3, wireType 2 =*/26).fork(), _depth + 1).ldelim();
                if (message.recordsAck != null && $Object.hasOwnProperty.call(message, "recordsAck"))
                    $root.sailquay.flow.RecordBatchAck.encode(message.recordsAck, writer.uint32(/* id 4, wireType 2 =*/34).fork(), _depth + 1).ldelim();
                if (message.assignment != null && $Object.hasOwnProperty.call(message, "assignment"))
                    $root.sailquay.flow.Assignment.encode(message.assignment, writer.uint32(/* id 5, wireType 2 =*/42).fork(), _depth + 1).ldelim();
                if (message.assignmentReply != null && $Object.hasOwnProperty.call(message, "assignmentReply"))
                    $root.sailquay.flow.AssignmentReply.encode(message.assignmentReply, writer.uint32(/* id 6, wireType 2 =*/50).fork(), _depth + 1).ldelim();
                if (message.baseAdvance != null && $Object.hasOwnProperty.call(message, "baseAdvance"))
                    $root.sailquay.flow.BaseAdvance.encode(message.baseAdvance, writer.uint32(/* id 7, wireType 2 =*/58).fork(), _depth + 1).ldelim();
                if (message.baseAdvanceAck != null && $Object.hasOwnProperty.call(message, "baseAdvanceAck"))
                    $root.sailquay.flow.BaseAdvanceAck.encode(message.baseAdvanceAck, writer.uint32(/* id 8, wireType 2 =*/66).fork(), _depth + 1).ldelim();
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a ReplicationMessage message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.flow.ReplicationMessage
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.flow.ReplicationMessage & sailquay.flow.ReplicationMessage.$Shape} ReplicationMessage
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            ReplicationMessage.decode = function (reader, length, _end, _depth, _target) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $Reader.recursionLimit)
                    throw $Error("max depth exceeded");
                let end, message;
                if (length === $undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw $RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = _target || new $root.sailquay.flow.ReplicationMessage();
                while (reader.pos < end) {
                    let start = reader.pos;
                    let tag = reader.tag();
                    if (tag === _end) {
                        _end = $undefined;
                        break;
                    }
                    let wireType = tag & 7;
                    switch (tag >>>= 3) {
                    case 1: {
                            if (wireType !== 2)
                                break;
                            message.heartbeat = $root.sailquay.flow.Heartbeat.decode(reader, reader.size(), $undefined, _depth + 1, message.heartbeat);
                            message.body = "heartbeat";
                            continue;
                        }
                    case 2: {
                            if (wireType !== 2)
                                break;
                            message.heartbeatAck = $root.sailquay.flow.HeartbeatAck.decode(reader, reader.size(), $undefined, _depth + 1, message.heartbeatAck);
                            message.body = "heartbeatAck";
                            continue;
                        }
                    case 3: {
                            if (wireType !== 2)
                                break;
                            message.records = $root.sailquay.flow.RecordBatch.decode(reader, reader.size(), $undefined, _depth + 1, message.records);
                            message.body = "records";
                            continue;
                        }
                    case 4: {
                            if (wireType !== 2)
                                break;
                            message.recordsAck = $root.sailquay.flow.RecordBatchAck.decode(reader, reader.size(), $undefined, _depth + 1, message.recordsAck);
                            message.body = "recordsAck";
                            continue;
                        }
                    case 5: {
                            if (wireType !== 2)
                                break;
                            message.assignment = $root.sailquay.flow.Assignment.decode(reader, reader.size(), $undefined, _depth + 1, message.assignment);
                            message.body = "assignment";
                            continue;
                        }
                    case 6: {
                            if (wireType !== 2)
                                break;
                            message.assignmentReply = $root.sailquay.flow.AssignmentReply.decode(reader, reader.size(), $undefined, _depth + 1, message.assignmentReply);
                            message.body = "assignmentReply";
                            continue;
                        }
                    case 7: {
                            if (wireType !== 2)
                                break;
                            message.baseAdvance = $root.sailquay.flow.BaseAdvance.decode(reader, reader.size(), $undefined, _depth + 1, message.baseAdvance);
                            message.body = "baseAdvance";
                            continue;
                        }
                    case 8: {
                            if (wireType !== 2)
                                break;
                            message.baseAdvanceAck = $root.sailquay.flow.BaseAdvanceAck.decode(reader, reader.size(), $undefined, _depth + 1, message.baseAdvanceAck);
                            message.body = "baseAdvanceAck";
                            continue;
                        }
                    }
                    reader.skipType(wireType, _depth, tag);
                    if (!reader.discardUnknown) {
                        $util.makeProp(message, "$unknowns", false);
                        (message.$unknowns || (message.$unknowns = [])).push(reader.raw(start, reader.pos));
                    }
                }
                if (length !== $undefined) {
                    if (reader.pos !== end)
                        throw $RangeError("index out of range");
                    reader.len = length;
                }
                if (_end !== $undefined)
                    throw $Error("missing end group");
                return message;
            };

            /**
             * Gets the type url for ReplicationMessage
             * @function getTypeUrl
             * @memberof sailquay.flow.ReplicationMessage
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            ReplicationMessage.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.flow.ReplicationMessage";
            };

            return ReplicationMessage;
        })();

        flow.Heartbeat = (function() {

            /**
             * Properties of a Heartbeat.
             * @typedef {Object} sailquay.flow.Heartbeat.$Properties
             * @property {number|null} [sentAt] Heartbeat sentAt
             * @property {number|null} [echo] Heartbeat echo
             * @property {number|null} [shards] Heartbeat shards
             * @property {number|null} [digest] Heartbeat digest
             * @property {number|null} [generation] Heartbeat generation
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a Heartbeat.
             * @memberof sailquay.flow
             * @interface IHeartbeat
             * @augments sailquay.flow.Heartbeat.$Properties
             * @deprecated Use sailquay.flow.Heartbeat.$Properties instead.
             */

            /**
             * Shape of a Heartbeat.
             * @typedef {sailquay.flow.Heartbeat.$Properties} sailquay.flow.Heartbeat.$Shape
             */

            /**
             * Constructs a new Heartbeat.
             * @memberof sailquay.flow
             * @classdesc Represents a Heartbeat.
             * @constructor
             * @param {sailquay.flow.Heartbeat.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const Heartbeat = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * Heartbeat sentAt.
             * @member {number} sentAt
             * @memberof sailquay.flow.Heartbeat
             * @instance
             */
            Heartbeat.prototype.sentAt = 0;

            /**
             * Heartbeat echo.
             * @member {number} echo
             * @memberof sailquay.flow.Heartbeat
             * @instance
             */
            Heartbeat.prototype.echo = 0;

            /**
             * Heartbeat shards.
             * @member {number} shards
             * @memberof sailquay.flow.Heartbeat
             * @instance
             */
            Heartbeat.prototype.shards = 0;

            /**
             * Heartbeat digest.
             * @member {number} digest
             * @memberof sailquay.flow.Heartbeat
             * @instance
             */
            Heartbeat.prototype.digest = 0;

            /**
             * Heartbeat generation.
             * @member {number} generation
             * @memberof sailquay.flow.Heartbeat
             * @instance
             */
            Heartbeat.prototype.generation = 0;

            /**
             * Encodes the specified Heartbeat message. Does not implicitly {@link sailquay.flow.Heartbeat.verify|verify} messages.
             * @function encode
             * @memberof sailquay.flow.Heartbeat
             * @static
             * @param {sailquay.flow.Heartbeat.$Properties} message Heartbeat message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            Heartbeat.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.sentAt != null && $Object.hasOwnProperty.call(message, "sentAt") && !$Object.is(message.sentAt, 0))
                    writer.uint32(/* id 1, wireType 1 =*/9).double(message.sentAt);
                if (message.echo != null && $Object.hasOwnProperty.call(message, "echo") && !$Object.is(message.echo, 0))
                    writer.uint32(/* id 2, wireType 1 =*/17).double(message.echo);
                if (message.shards != null && $Object.hasOwnProperty.call(message, "shards") && message.shards !== 0)
                    writer.uint32(/* id 3, wireType 0 =*/24).uint32(message.shards);
                if (message.digest != null && $Object.hasOwnProperty.call(message, "digest") && message.digest !== 0)
                    writer.uint32(/* id 4, wireType 5 =*/37).fixed32(message.digest);
                if (message.generation != null && $Object.hasOwnProperty.call(message, "generation") && message.generation !== 0)
                    writer.uint32(/* id 5, wireType 0 =*/40).uint32(message.generation);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a Heartbeat message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.flow.Heartbeat
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.flow.Heartbeat & sailquay.flow.Heartbeat.$Shape} Heartbeat
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            Heartbeat.decode = function (reader, length, _end, _depth, _target) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $Reader.recursionLimit)
                    throw $Error("max depth exceeded");
                let end, message, value;
                if (length === $undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw $RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = _target || new $root.sailquay.flow.Heartbeat();
                while (reader.pos < end) {
                    let start = reader.pos;
                    let tag = reader.tag();
                    if (tag === _end) {
                        _end = $undefined;
                        break;
                    }
                    let wireType = tag & 7;
                    switch (tag >>>= 3) {
                    case 1: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.sentAt = value;
                            else
                                delete message.sentAt;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.echo = value;
                            else
                                delete message.echo;
                            continue;
                        }
                    case 3: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.shards = value;
                            else
                                delete message.shards;
                            continue;
                        }
                    case 4: {
                            if (wireType !== 5)
                                break;
                            if (value = reader.fixed32())
                                message.digest = value;
                            else
                                delete message.digest;
                            continue;
                        }
                    case 5: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.generation = value;
                            else
                                delete message.generation;
                            continue;
                        }
                    }
                    reader.skipType(wireType, _depth, tag);
                    if (!reader.discardUnknown) {
                        $util.makeProp(message, "$unknowns", false);
                        (message.$unknowns || (message.$unknowns = [])).push(reader.raw(start, reader.pos));
                    }
                }
                if (length !== $undefined) {
                    if (reader.pos !== end)
                        throw $RangeError("index out of range");
                    reader.len = length;
                }
                if (_end !== $undefined)
                    throw $Error("missing end group");
                return message;
            };

            /**
             * Gets the type url for Heartbeat
             * @function getTypeUrl
             * @memberof sailquay.flow.Heartbeat
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            Heartbeat.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.flow.Heartbeat";
            };

            return Heartbeat;
        })();

        flow.HeartbeatAck = (function() {

            /**
             * Properties of a HeartbeatAck.
             * @typedef {Object} sailquay.flow.HeartbeatAck.$Properties
             * @property {number|null} [echo] HeartbeatAck echo
             * @property {number|null} [sentAt] HeartbeatAck sentAt
             * @property {number|null} [shards] HeartbeatAck shards
             * @property {number|null} [digest] HeartbeatAck digest
             * @property {boolean|null} [lapsed] HeartbeatAck lapsed
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a HeartbeatAck.
             * @memberof sailquay.flow
             * @interface IHeartbeatAck
             * @augments sailquay.flow.HeartbeatAck.$Properties
             * @deprecated Use sailquay.flow.HeartbeatAck.$Properties instead.
             */

            /**
             * Shape of a HeartbeatAck.
             * @typedef {sailquay.flow.HeartbeatAck.$Properties} sailquay.flow.HeartbeatAck.$Shape
             */

            /**
             * Constructs a new HeartbeatAck.
             * @memberof sailquay.flow
             * @classdesc Represents a HeartbeatAck.
             * @constructor
             * @param {sailquay.flow.HeartbeatAck.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const HeartbeatAck = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * HeartbeatAck echo.
             * @member {number} echo
             * @memberof sailquay.flow.HeartbeatAck
             * @instance
             */
            HeartbeatAck.prototype.echo = 0;

            /**
             * HeartbeatAck sentAt.
             * @member {number} sentAt
             * @memberof sailquay.flow.HeartbeatAck
             * @instance
             */
            HeartbeatAck.prototype.sentAt = 0;

            /**
             * HeartbeatAck shards.
             * @member {number} shards
             * @memberof sailquay.flow.HeartbeatAck
             * @instance
             */
            HeartbeatAck.prototype.shards = 0;

            /**
             * HeartbeatAck digest.
             * @member {number} digest
             * @memberof sailquay.flow.HeartbeatAck
             * @instance
             */
            HeartbeatAck.prototype.digest = 0;

            /**
             * HeartbeatAck lapsed.
             * @member {boolean} lapsed
             * @memberof sailquay.flow.HeartbeatAck
             * @instance
             */
            HeartbeatAck.prototype.lapsed = false;

            /**
             * Encodes the specified HeartbeatAck message. Does not implicitly {@link sailquay.flow.HeartbeatAck.verify|verify} messages.
             * @function encode
             * @memberof sailquay.flow.HeartbeatAck
             * @static
             * @param {sailquay.flow.HeartbeatAck.$Properties} message HeartbeatAck message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            HeartbeatAck.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.echo != null && $Object.hasOwnProperty.call(message, "echo") && !$Object.is(message.echo, 0))
                    writer.uint32(/* id 1, wireType 1 =*/9).double(message.echo);
                if (message.sentAt != null && $Object.hasOwnProperty.call(message, "sentAt") && !$Object.is(message.sentAt, 0))
                    writer.uint32(/* id 2, wireType 1 =*/17).double(message.sentAt);
                if (message.shards != null && $Object.hasOwnProperty.call(message, "shards") && message.shards !== 0)
                    writer.uint32(/* id 3, wireType 0 =*/24).uint32(message.shards);
                if (message.digest != null && $Object.hasOwnProperty.call(message, "digest") && message.digest !== 0)
                    writer.uint32(/* id 4, wireType 5 =*/37).fixed32(message.digest);
                if (message.lapsed != null && $Object.hasOwnProperty.call(message, "lapsed") && message.lapsed !== false)
                    writer.uint32(/* id 5, wireType 0 =*/40).bool(message.lapsed);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a HeartbeatAck message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.flow.HeartbeatAck
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.flow.HeartbeatAck & sailquay.flow.HeartbeatAck.$Shape} HeartbeatAck
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            HeartbeatAck.decode = function (reader, length, _end, _depth, _target) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $Reader.recursionLimit)
                    throw $Error("max depth exceeded");
                let end, message, value;
                if (length === $undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw $RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = _target || new $root.sailquay.flow.HeartbeatAck();
                while (reader.pos < end) {
                    let start = reader.pos;
                    let tag = reader.tag();
                    if (tag === _end) {
                        _end = $undefined;
                        break;
                    }
                    let wireType = tag & 7;
                    switch (tag >>>= 3) {
                    case 1: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.echo = value;
                            else
                                delete message.echo;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.sentAt = value;
                            else
                                delete message.sentAt;
                            continue;
                        }
                    case 3: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.shards = value;
                            else
                                delete message.shards;
                            continue;
                        }
                    case 4: {
                            if (wireType !== 5)
                                break;
                            if (value = reader.fixed32())
                                message.digest = value;
                            else
                                delete message.digest;
                            continue;
                        }
                    case 5: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.bool())
                                message.lapsed = value;
                            else
                                delete message.lapsed;
                            continue;
                        }
                    }
                    reader.skipType(wireType, _depth, tag);
                    if (!reader.discardUnknown) {
                        $util.makeProp(message, "$unknowns", false);
                        (message.$unknowns || (message.$unknowns = [])).push(reader.raw(start, reader.pos));
                    }
                }
                if (length !== $undefined) {
                    if (reader.pos !== end)
                        throw $RangeError("index out of range");
                    reader.len = length;
                }
                if (_end !== $undefined)
                    throw $Error("missing end group");
                return message;
            };

            /**
             * Gets the type url for HeartbeatAck
             * @function getTypeUrl
             * @memberof sailquay.flow.HeartbeatAck
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            HeartbeatAck.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.flow.HeartbeatAck";
            };

            return HeartbeatAck;
        })();

        flow.RecordBatch = (function() {

            /**
             * Properties of a RecordBatch.
             * @typedef {Object} sailquay.flow.RecordBatch.$Properties
             * @property {number|null} [sequence] RecordBatch sequence
             * @property {Array.<number>|null} [backendKeys] RecordBatch backendKeys
             * @property {Uint8Array|null} [records] RecordBatch records
             * @property {boolean|null} [fromBackup] RecordBatch fromBackup
             * @property {number|null} [session] RecordBatch session
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a RecordBatch.
             * @memberof sailquay.flow
             * @interface IRecordBatch
             * @augments sailquay.flow.RecordBatch.$Properties
             * @deprecated Use sailquay.flow.RecordBatch.$Properties instead.
             */

            /**
             * Shape of a RecordBatch.
             * @typedef {sailquay.flow.RecordBatch.$Properties} sailquay.flow.RecordBatch.$Shape
             */

            /**
             * Constructs a new RecordBatch.
             * @memberof sailquay.flow
             * @classdesc Represents a RecordBatch.
             * @constructor
             * @param {sailquay.flow.RecordBatch.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const RecordBatch = function (properties) {
                this.backendKeys = [];
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * RecordBatch sequence.
             * @member {number} sequence
             * @memberof sailquay.flow.RecordBatch
             * @instance
             */
            RecordBatch.prototype.sequence = 0;

            /**
             * RecordBatch backendKeys.
             * @member {Array.<number>} backendKeys
             * @memberof sailquay.flow.RecordBatch
             * @instance
             */
            RecordBatch.prototype.backendKeys = $util.emptyArray;

            /**
             * RecordBatch records.
             * @member {Uint8Array} records
             * @memberof sailquay.flow.RecordBatch
             * @instance
             */
            RecordBatch.prototype.records = $util.newBuffer([]);

            /**
             * RecordBatch fromBackup.
             * @member {boolean} fromBackup
             * @memberof sailquay.flow.RecordBatch
             * @instance
             */
            RecordBatch.prototype.fromBackup = false;

            /**
             * RecordBatch session.
             * @member {number} session
             * @memberof sailquay.flow.RecordBatch
             * @instance
             */
            RecordBatch.prototype.session = 0;

            /**
             * Encodes the specified RecordBatch message. Does not implicitly {@link sailquay.flow.RecordBatch.verify|verify} messages.
             * @function encode
             * @memberof sailquay.flow.RecordBatch
             * @static
             * @param {sailquay.flow.RecordBatch.$Properties} message RecordBatch message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            RecordBatch.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.sequence != null && $Object.hasOwnProperty.call(message, "sequence") && message.sequence !== 0)
                    writer.uint32(/* id 1, wireType 0 =*/8).uint32(message.sequence);
                if (message.backendKeys != null && message.backendKeys.length)
                    writer.uint32(/* id 2, wireType 2 =*/18).fixed32s(message.backendKeys);
                if (message.records != null && $Object.hasOwnProperty.call(message, "records") && message.records.length)
                    writer.uint32(/* id 3, wireType 2 =*/26).bytes(message.records);
                if (message.fromBackup != null && $Object.hasOwnProperty.call(message, "fromBackup") && message.fromBackup !== false)
                    writer.uint32(/* id 4, wireType 0 =*/32).bool(message.fromBackup);
                if (message.session != null && $Object.hasOwnProperty.call(message, "session") && message.session !== 0)
                    writer.uint32(/* id 5, wireType 5 =*/45).fixed32(message.session);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a RecordBatch message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.flow.RecordBatch
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.flow.RecordBatch & sailquay.flow.RecordBatch.$Shape} RecordBatch
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            RecordBatch.decode = function (reader, length, _end, _depth, _target) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $Reader.recursionLimit)
                    throw $Error("max depth exceeded");
                let end, message, value;
                if (length === $undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw $RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = _target || new $root.sailquay.flow.RecordBatch();
                while (reader.pos < end) {
                    let start = reader.pos;
                    let tag = reader.tag();
                    if (tag === _end) {
                        _end = $undefined;
                        break;
                    }
                    let wireType = tag & 7;
                    switch (tag >>>= 3) {
                    case 1: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.sequence = value;
                            else
                                delete message.sequence;
                            continue;
                        }
                    case 2: {
                            if (wireType === 2) {
                                if (!(message.backendKeys && message.backendKeys.length))
                                    message.backendKeys = [];
                                reader.fixed32s(message.backendKeys);
                                continue;
                            }
                            if (wireType !== 5)
                                break;
                            if (!(message.backendKeys && message.backendKeys.length))
                                message.backendKeys = [];
                            message.backendKeys.push(reader.fixed32());
                            continue;
                        }
                    case 3: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.bytes()).length)
                                message.records = value;
                            else
                                delete message.records;
                            continue;
                        }
                    case 4: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.bool())
                                message.fromBackup = value;
                            else
                                delete message.fromBackup;
                            continue;
                        }
                    case 5: {
                            if (wireType !== 5)
                                break;
                            if (value = reader.fixed32())
                                message.session = value;
                            else
                                delete message.session;
                            continue;
                        }
                    }
                    reader.skipType(wireType, _depth, tag);
                    if (!reader.discardUnknown) {
                        $util.makeProp(message, "$unknowns", false);
                        (message.$unknowns || (message.$unknowns = [])).push(reader.raw(start, reader.pos));
                    }
                }
                if (length !== $undefined) {
                    if (reader.pos !== end)
                        throw $RangeError("index out of range");
                    reader.len = length;
                }
                if (_end !== $undefined)
                    throw $Error("missing end group");
                return message;
            };

            /**
             * Gets the type url for RecordBatch
             * @function getTypeUrl
             * @memberof sailquay.flow.RecordBatch
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            RecordBatch.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.flow.RecordBatch";
            };

            return RecordBatch;
        })();

        flow.RecordBatchAck = (function() {

            /**
             * Properties of a RecordBatchAck.
             * @typedef {Object} sailquay.flow.RecordBatchAck.$Properties
             * @property {number|null} [sequence] RecordBatchAck sequence
             * @property {Uint8Array|null} [statuses] RecordBatchAck statuses
             * @property {Array.<number>|null} [ownKeys] RecordBatchAck ownKeys
             * @property {boolean|null} [fromBackup] RecordBatchAck fromBackup
             * @property {number|null} [session] RecordBatchAck session
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a RecordBatchAck.
             * @memberof sailquay.flow
             * @interface IRecordBatchAck
             * @augments sailquay.flow.RecordBatchAck.$Properties
             * @deprecated Use sailquay.flow.RecordBatchAck.$Properties instead.
             */

            /**
             * Shape of a RecordBatchAck.
             * @typedef {sailquay.flow.RecordBatchAck.$Properties} sailquay.flow.RecordBatchAck.$Shape
             */

            /**
             * Constructs a new RecordBatchAck.
             * @memberof sailquay.flow
             * @classdesc Represents a RecordBatchAck.
             * @constructor
             * @param {sailquay.flow.RecordBatchAck.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const RecordBatchAck = function (properties) {
                this.ownKeys = [];
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * RecordBatchAck sequence.
             * @member {number} sequence
             * @memberof sailquay.flow.RecordBatchAck
             * @instance
             */
            RecordBatchAck.prototype.sequence = 0;

            /**
             * RecordBatchAck statuses.
             * @member {Uint8Array} statuses
             * @memberof sailquay.flow.RecordBatchAck
             * @instance
             */
            RecordBatchAck.prototype.statuses = $util.newBuffer([]);

            /**
             * RecordBatchAck ownKeys.
             * @member {Array.<number>} ownKeys
             * @memberof sailquay.flow.RecordBatchAck
             * @instance
             */
            RecordBatchAck.prototype.ownKeys = $util.emptyArray;

            /**
             * RecordBatchAck fromBackup.
             * @member {boolean} fromBackup
             * @memberof sailquay.flow.RecordBatchAck
             * @instance
             */
            RecordBatchAck.prototype.fromBackup = false;

            /**
             * RecordBatchAck session.
             * @member {number} session
             * @memberof sailquay.flow.RecordBatchAck
             * @instance
             */
            RecordBatchAck.prototype.session = 0;

            /**
             * Encodes the specified RecordBatchAck message. Does not implicitly {@link sailquay.flow.RecordBatchAck.verify|verify} messages.
             * @function encode
             * @memberof sailquay.flow.RecordBatchAck
             * @static
             * @param {sailquay.flow.RecordBatchAck.$Properties} message RecordBatchAck message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            RecordBatchAck.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.sequence != null && $Object.hasOwnProperty.call(message, "sequence") && message.sequence !== 0)
                    writer.uint32(/* id 1, wireType 0 =*/8).uint32(message.sequence);
                if (message.statuses != null && $Object.hasOwnProperty.call(message, "statuses") && message.statuses.length)
                    writer.uint32(/* id 2, wireType 2 =*/18).bytes(message.statuses);
                if (message.ownKeys != null && message.ownKeys.length)
                    writer.uint32(/* id 3, wireType 2 =*/26).fixed32s(message.ownKeys);
                if (message.fromBackup != null && $Object.hasOwnProperty.call(message, "fromBackup") && message.fromBackup !== false)
                    writer.uint32(/* id 4, wireType 0 =*/32).bool(message.fromBackup);
                if (message.session != null && $Object.hasOwnProperty.call(message, "session") && message.session !== 0)
                    writer.uint32(/* id 5, wireType 5 =*/45).fixed32(message.session);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a RecordBatchAck message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.flow.RecordBatchAck
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.flow.RecordBatchAck & sailquay.flow.RecordBatchAck.$Shape} RecordBatchAck
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            RecordBatchAck.decode = function (reader, length, _end, _depth, _target) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $Reader.recursionLimit)
                    throw $Error("max depth exceeded");
                let end, message, value;
                if (length === $undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw $RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = _target || new $root.sailquay.flow.RecordBatchAck();
                while (reader.pos < end) {
                    let start = reader.pos;
                    let tag = reader.tag();
                    if (tag === _end) {
                        _end = $undefined;
                        break;
                    }
                    let wireType = tag & 7;
                    switch (tag >>>= 3) {
                    case 1: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.sequence = value;
                            else
                                delete message.sequence;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.bytes()).length)
                                message.statuses = value;
                            else
                                delete message.statuses;
                            continue;
                        }
                    case 3: {
                            if (wireType === 2) {
                                if (!(message.ownKeys && message.ownKeys.length))
                                    message.ownKeys = [];
                                reader.fixed32s(message.ownKeys);
                                continue;
                            }
                            if (wireType !== 5)
                                break;
                            if (!(message.ownKeys && message.ownKeys.length))
                                message.ownKeys = [];
                            message.ownKeys.push(reader.fixed32());
                            continue;
                        }
                    case 4: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.bool())
                                message.fromBackup = value;
                            else
                                delete message.fromBackup;
                            continue;
                        }
                    case 5: {
                            if (wireType !== 5)
                                break;
                            if (value = reader.fixed32())
                                message.session = value;
                            else
                                delete message.session;
                            continue;
                        }
                    }
                    reader.skipType(wireType, _depth, tag);
                    if (!reader.discardUnknown) {
                        $util.makeProp(message, "$unknowns", false);
                        (message.$unknowns || (message.$unknowns = [])).push(reader.raw(start, reader.pos));
                    }
                }
                if (length !== $undefined) {
                    if (reader.pos !== end)
                        throw $RangeError("index out of range");
                    reader.len = length;
                }
                if (_end !== $undefined)
                    throw $Error("missing end group");
                return message;
            };

            /**
             * Gets the type url for RecordBatchAck
             * @function getTypeUrl
             * @memberof sailquay.flow.RecordBatchAck
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            RecordBatchAck.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.flow.RecordBatchAck";
            };

            return RecordBatchAck;
        })();

        flow.Assignment = (function() {

            /**
             * Properties of an Assignment.
             * @typedef {Object} sailquay.flow.Assignment.$Properties
             * @property {Uint8Array|null} [shards] Assignment shards
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of an Assignment.
             * @memberof sailquay.flow
             * @interface IAssignment
             * @augments sailquay.flow.Assignment.$Properties
             * @deprecated Use sailquay.flow.Assignment.$Properties instead.
             */

            /**
             * Shape of an Assignment.
             * @typedef {sailquay.flow.Assignment.$Properties} sailquay.flow.Assignment.$Shape
             */

            /**
             * Constructs a new Assignment.
             * @memberof sailquay.flow
             * @classdesc Represents an Assignment.
             * @constructor
             * @param {sailquay.flow.Assignment.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const Assignment = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * Assignment shards.
             * @member {Uint8Array} shards
             * @memberof sailquay.flow.Assignment
             * @instance
             */
            Assignment.prototype.shards = $util.newBuffer([]);

            /**
             * Encodes the specified Assignment message. Does not implicitly {@link sailquay.flow.Assignment.verify|verify} messages.
             * @function encode
             * @memberof sailquay.flow.Assignment
             * @static
             * @param {sailquay.flow.Assignment.$Properties} message Assignment message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            Assignment.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.shards != null && $Object.hasOwnProperty.call(message, "shards") && message.shards.length)
                    writer.uint32(/* id 1, wireType 2 =*/10).bytes(message.shards);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes an Assignment message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.flow.Assignment
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.flow.Assignment & sailquay.flow.Assignment.$Shape} Assignment
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            Assignment.decode = function (reader, length, _end, _depth, _target) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $Reader.recursionLimit)
                    throw $Error("max depth exceeded");
                let end, message, value;
                if (length === $undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw $RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = _target || new $root.sailquay.flow.Assignment();
                while (reader.pos < end) {
                    let start = reader.pos;
                    let tag = reader.tag();
                    if (tag === _end) {
                        _end = $undefined;
                        break;
                    }
                    let wireType = tag & 7;
                    switch (tag >>>= 3) {
                    case 1: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.bytes()).length)
                                message.shards = value;
                            else
                                delete message.shards;
                            continue;
                        }
                    }
                    reader.skipType(wireType, _depth, tag);
                    if (!reader.discardUnknown) {
                        $util.makeProp(message, "$unknowns", false);
                        (message.$unknowns || (message.$unknowns = [])).push(reader.raw(start, reader.pos));
                    }
                }
                if (length !== $undefined) {
                    if (reader.pos !== end)
                        throw $RangeError("index out of range");
                    reader.len = length;
                }
                if (_end !== $undefined)
                    throw $Error("missing end group");
                return message;
            };

            /**
             * Gets the type url for Assignment
             * @function getTypeUrl
             * @memberof sailquay.flow.Assignment
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            Assignment.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.flow.Assignment";
            };

            return Assignment;
        })();

        flow.AssignmentReply = (function() {

            /**
             * Properties of an AssignmentReply.
             * @typedef {Object} sailquay.flow.AssignmentReply.$Properties
             * @property {Uint8Array|null} [missing] AssignmentReply missing
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of an AssignmentReply.
             * @memberof sailquay.flow
             * @interface IAssignmentReply
             * @augments sailquay.flow.AssignmentReply.$Properties
             * @deprecated Use sailquay.flow.AssignmentReply.$Properties instead.
             */

            /**
             * Shape of an AssignmentReply.
             * @typedef {sailquay.flow.AssignmentReply.$Properties} sailquay.flow.AssignmentReply.$Shape
             */

            /**
             * Constructs a new AssignmentReply.
             * @memberof sailquay.flow
             * @classdesc Represents an AssignmentReply.
             * @constructor
             * @param {sailquay.flow.AssignmentReply.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const AssignmentReply = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * AssignmentReply missing.
             * @member {Uint8Array} missing
             * @memberof sailquay.flow.AssignmentReply
             * @instance
             */
            AssignmentReply.prototype.missing = $util.newBuffer([]);

            /**
             * Encodes the specified AssignmentReply message. Does not implicitly {@link sailquay.flow.AssignmentReply.verify|verify} messages.
             * @function encode
             * @memberof sailquay.flow.AssignmentReply
             * @static
             * @param {sailquay.flow.AssignmentReply.$Properties} message AssignmentReply message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            AssignmentReply.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.missing != null && $Object.hasOwnProperty.call(message, "missing") && message.missing.length)
                    writer.uint32(/* id 1, wireType 2 =*/10).bytes(message.missing);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes an AssignmentReply message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.flow.AssignmentReply
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.flow.AssignmentReply & sailquay.flow.AssignmentReply.$Shape} AssignmentReply
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            AssignmentReply.decode = function (reader, length, _end, _depth, _target) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $Reader.recursionLimit)
                    throw $Error("max depth exceeded");
                let end, message, value;
                if (length === $undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw $RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = _target || new $root.sailquay.flow.AssignmentReply();
                while (reader.pos < end) {
                    let start = reader.pos;
                    let tag = reader.tag();
                    if (tag === _end) {
                        _end = $undefined;
                        break;
                    }
                    let wireType = tag & 7;
                    switch (tag >>>= 3) {
                    case 1: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.bytes()).length)
                                message.missing = value;
                            else
                                delete message.missing;
                            continue;
                        }
                    }
                    reader.skipType(wireType, _depth, tag);
                    if (!reader.discardUnknown) {
                        $util.makeProp(message, "$unknowns", false);
                        (message.$unknowns || (message.$unknowns = [])).push(reader.raw(start, reader.pos));
                    }
                }
                if (length !== $undefined) {
                    if (reader.pos !== end)
                        throw $RangeError("index out of range");
                    reader.len = length;
                }
                if (_end !== $undefined)
                    throw $Error("missing end group");
                return message;
            };

            /**
             * Gets the type url for AssignmentReply
             * @function getTypeUrl
             * @memberof sailquay.flow.AssignmentReply
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            AssignmentReply.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.flow.AssignmentReply";
            };

            return AssignmentReply;
        })();

        flow.BaseAdvance = (function() {

            /**
             * Properties of a BaseAdvance.
             * @typedef {Object} sailquay.flow.BaseAdvance.$Properties
             * @property {number|null} [baseVersion] BaseAdvance baseVersion
             * @property {Uint8Array|null} [shards] BaseAdvance shards
             * @property {number|null} [oldestBaseVersion] BaseAdvance oldestBaseVersion
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a BaseAdvance.
             * @memberof sailquay.flow
             * @interface IBaseAdvance
             * @augments sailquay.flow.BaseAdvance.$Properties
             * @deprecated Use sailquay.flow.BaseAdvance.$Properties instead.
             */

            /**
             * Shape of a BaseAdvance.
             * @typedef {sailquay.flow.BaseAdvance.$Properties} sailquay.flow.BaseAdvance.$Shape
             */

            /**
             * Constructs a new BaseAdvance.
             * @memberof sailquay.flow
             * @classdesc Represents a BaseAdvance.
             * @constructor
             * @param {sailquay.flow.BaseAdvance.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const BaseAdvance = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * BaseAdvance baseVersion.
             * @member {number} baseVersion
             * @memberof sailquay.flow.BaseAdvance
             * @instance
             */
            BaseAdvance.prototype.baseVersion = 0;

            /**
             * BaseAdvance shards.
             * @member {Uint8Array} shards
             * @memberof sailquay.flow.BaseAdvance
             * @instance
             */
            BaseAdvance.prototype.shards = $util.newBuffer([]);

            /**
             * BaseAdvance oldestBaseVersion.
             * @member {number} oldestBaseVersion
             * @memberof sailquay.flow.BaseAdvance
             * @instance
             */
            BaseAdvance.prototype.oldestBaseVersion = 0;

            /**
             * Encodes the specified BaseAdvance message. Does not implicitly {@link sailquay.flow.BaseAdvance.verify|verify} messages.
             * @function encode
             * @memberof sailquay.flow.BaseAdvance
             * @static
             * @param {sailquay.flow.BaseAdvance.$Properties} message BaseAdvance message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            BaseAdvance.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.baseVersion != null && $Object.hasOwnProperty.call(message, "baseVersion") && !$Object.is(message.baseVersion, 0))
                    writer.uint32(/* id 1, wireType 1 =*/9).double(message.baseVersion);
                if (message.shards != null && $Object.hasOwnProperty.call(message, "shards") && message.shards.length)
                    writer.uint32(/* id 2, wireType 2 =*/18).bytes(message.shards);
                if (message.oldestBaseVersion != null && $Object.hasOwnProperty.call(message, "oldestBaseVersion") && !$Object.is(message.oldestBaseVersion, 0))
                    writer.uint32(/* id 3, wireType 1 =*/25).double(message.oldestBaseVersion);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a BaseAdvance message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.flow.BaseAdvance
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.flow.BaseAdvance & sailquay.flow.BaseAdvance.$Shape} BaseAdvance
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            BaseAdvance.decode = function (reader, length, _end, _depth, _target) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $Reader.recursionLimit)
                    throw $Error("max depth exceeded");
                let end, message, value;
                if (length === $undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw $RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = _target || new $root.sailquay.flow.BaseAdvance();
                while (reader.pos < end) {
                    let start = reader.pos;
                    let tag = reader.tag();
                    if (tag === _end) {
                        _end = $undefined;
                        break;
                    }
                    let wireType = tag & 7;
                    switch (tag >>>= 3) {
                    case 1: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.baseVersion = value;
                            else
                                delete message.baseVersion;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.bytes()).length)
                                message.shards = value;
                            else
                                delete message.shards;
                            continue;
                        }
                    case 3: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.oldestBaseVersion = value;
                            else
                                delete message.oldestBaseVersion;
                            continue;
                        }
                    }
                    reader.skipType(wireType, _depth, tag);
                    if (!reader.discardUnknown) {
                        $util.makeProp(message, "$unknowns", false);
                        (message.$unknowns || (message.$unknowns = [])).push(reader.raw(start, reader.pos));
                    }
                }
                if (length !== $undefined) {
                    if (reader.pos !== end)
                        throw $RangeError("index out of range");
                    reader.len = length;
                }
                if (_end !== $undefined)
                    throw $Error("missing end group");
                return message;
            };

            /**
             * Gets the type url for BaseAdvance
             * @function getTypeUrl
             * @memberof sailquay.flow.BaseAdvance
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            BaseAdvance.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.flow.BaseAdvance";
            };

            return BaseAdvance;
        })();

        flow.BaseAdvanceAck = (function() {

            /**
             * Properties of a BaseAdvanceAck.
             * @typedef {Object} sailquay.flow.BaseAdvanceAck.$Properties
             * @property {number|null} [baseVersion] BaseAdvanceAck baseVersion
             * @property {Uint8Array|null} [shards] BaseAdvanceAck shards
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a BaseAdvanceAck.
             * @memberof sailquay.flow
             * @interface IBaseAdvanceAck
             * @augments sailquay.flow.BaseAdvanceAck.$Properties
             * @deprecated Use sailquay.flow.BaseAdvanceAck.$Properties instead.
             */

            /**
             * Shape of a BaseAdvanceAck.
             * @typedef {sailquay.flow.BaseAdvanceAck.$Properties} sailquay.flow.BaseAdvanceAck.$Shape
             */

            /**
             * Constructs a new BaseAdvanceAck.
             * @memberof sailquay.flow
             * @classdesc Represents a BaseAdvanceAck.
             * @constructor
             * @param {sailquay.flow.BaseAdvanceAck.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const BaseAdvanceAck = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * BaseAdvanceAck baseVersion.
             * @member {number} baseVersion
             * @memberof sailquay.flow.BaseAdvanceAck
             * @instance
             */
            BaseAdvanceAck.prototype.baseVersion = 0;

            /**
             * BaseAdvanceAck shards.
             * @member {Uint8Array} shards
             * @memberof sailquay.flow.BaseAdvanceAck
             * @instance
             */
            BaseAdvanceAck.prototype.shards = $util.newBuffer([]);

            /**
             * Encodes the specified BaseAdvanceAck message. Does not implicitly {@link sailquay.flow.BaseAdvanceAck.verify|verify} messages.
             * @function encode
             * @memberof sailquay.flow.BaseAdvanceAck
             * @static
             * @param {sailquay.flow.BaseAdvanceAck.$Properties} message BaseAdvanceAck message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            BaseAdvanceAck.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.baseVersion != null && $Object.hasOwnProperty.call(message, "baseVersion") && !$Object.is(message.baseVersion, 0))
                    writer.uint32(/* id 1, wireType 1 =*/9).double(message.baseVersion);
                if (message.shards != null && $Object.hasOwnProperty.call(message, "shards") && message.shards.length)
                    writer.uint32(/* id 2, wireType 2 =*/18).bytes(message.shards);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a BaseAdvanceAck message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.flow.BaseAdvanceAck
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.flow.BaseAdvanceAck & sailquay.flow.BaseAdvanceAck.$Shape} BaseAdvanceAck
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            BaseAdvanceAck.decode = function (reader, length, _end, _depth, _target) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $Reader.recursionLimit)
                    throw $Error("max depth exceeded");
                let end, message, value;
                if (length === $undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw $RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = _target || new $root.sailquay.flow.BaseAdvanceAck();
                while (reader.pos < end) {
                    let start = reader.pos;
                    let tag = reader.tag();
                    if (tag === _end) {
                        _end = $undefined;
                        break;
                    }
                    let wireType = tag & 7;
                    switch (tag >>>= 3) {
                    case 1: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.baseVersion = value;
                            else
                                delete message.baseVersion;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.bytes()).length)
                                message.shards = value;
                            else
                                delete message.shards;
                            continue;
                        }
                    }
                    reader.skipType(wireType, _depth, tag);
                    if (!reader.discardUnknown) {
                        $util.makeProp(message, "$unknowns", false);
                        (message.$unknowns || (message.$unknowns = [])).push(reader.raw(start, reader.pos));
                    }
                }
                if (length !== $undefined) {
                    if (reader.pos !== end)
                        throw $RangeError("index out of range");
                    reader.len = length;
                }
                if (_end !== $undefined)
                    throw $Error("missing end group");
                return message;
            };

            /**
             * Gets the type url for BaseAdvanceAck
             * @function getTypeUrl
             * @memberof sailquay.flow.BaseAdvanceAck
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            BaseAdvanceAck.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.flow.BaseAdvanceAck";
            };

            return BaseAdvanceAck;
        })();

        flow.HandoverMessage = (function() {

            /**
             * Properties of a HandoverMessage.
             * @typedef {Object} sailquay.flow.HandoverMessage.$Properties
             * @property {sailquay.flow.ShardParts.$Properties|null} [parts] HandoverMessage parts
             * @property {sailquay.flow.ShardAcks.$Properties|null} [acks] HandoverMessage acks
             * @property {sailquay.flow.CatalogueRequest.$Properties|null} [catalogueRequest] HandoverMessage catalogueRequest
             * @property {sailquay.flow.CatalogueReply.$Properties|null} [catalogueReply] HandoverMessage catalogueReply
             * @property {sailquay.flow.BaseRequest.$Properties|null} [baseRequest] HandoverMessage baseRequest
             * @property {sailquay.flow.BaseReply.$Properties|null} [baseReply] HandoverMessage baseReply
             * @property {sailquay.flow.Release.$Properties|null} [release] HandoverMessage release
             * @property {sailquay.flow.ReleaseAck.$Properties|null} [releaseAck] HandoverMessage releaseAck
             * @property {sailquay.flow.Offer.$Properties|null} [offer] HandoverMessage offer
             * @property {sailquay.flow.Claim.$Properties|null} [claim] HandoverMessage claim
             * @property {"parts"|"acks"|"catalogueRequest"|"catalogueReply"|"baseRequest"|"baseReply"|"release"|"releaseAck"|"offer"|"claim"} [body] HandoverMessage body
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a HandoverMessage.
             * @memberof sailquay.flow
             * @interface IHandoverMessage
             * @augments sailquay.flow.HandoverMessage.$Properties
             * @deprecated Use sailquay.flow.HandoverMessage.$Properties instead.
             */

            /**
             * Narrowed shape of a HandoverMessage.
             * @typedef {{
             *   parts?: sailquay.flow.ShardParts.$Shape|null;
             *   acks?: sailquay.flow.ShardAcks.$Shape|null;
             *   catalogueRequest?: sailquay.flow.CatalogueRequest.$Shape|null;
             *   catalogueReply?: sailquay.flow.CatalogueReply.$Shape|null;
             *   baseRequest?: sailquay.flow.BaseRequest.$Shape|null;
             *   baseReply?: sailquay.flow.BaseReply.$Shape|null;
             *   release?: sailquay.flow.Release.$Shape|null;
             *   releaseAck?: sailquay.flow.ReleaseAck.$Shape|null;
             *   offer?: sailquay.flow.Offer.$Shape|null;
             *   claim?: sailquay.flow.Claim.$Shape|null;
             *   $unknowns?: Array.<Uint8Array>;
             * } & (
             *   ({ body?: undefined; parts?: null; acks?: null; catalogueRequest?: null; catalogueReply?: null; baseRequest?: null; baseReply?: null; release?: null; releaseAck?: null; offer?: null; claim?: null }|{ body?: "parts"; parts: sailquay.flow.ShardParts.$Shape; acks?: null; catalogueRequest?: null; catalogueReply?: null; baseRequest?: null; baseReply?: null; release?: null; releaseAck?: null; offer?: null; claim?: null }|{ body?: "acks"; parts?: null; acks: sailquay.flow.ShardAcks.$Shape; catalogueRequest?: null; catalogueReply?: null; baseRequest?: null; baseReply?: null; release?: null; releaseAck?: null; offer?: null; claim?: null }|{ body?: "catalogueRequest"; parts?: null; acks?: null; catalogueRequest: sailquay.flow.CatalogueRequest.$Shape; catalogueReply?: null; baseRequest?: null; baseReply?: null; release?: null; releaseAck?: null; offer?: null; claim?: null }|{ body?: "catalogueReply"; parts?: null; acks?: null; catalogueRequest?: null; catalogueReply: sailquay.flow.CatalogueReply.$Shape; baseRequest?: null; baseReply?: null; release?: null; releaseAck?: null; offer?: null; claim?: null }|{ body?: "baseRequest"; parts?: null; acks?: null; catalogueRequest?: null; catalogueReply?: null; baseRequest: sailquay.flow.BaseRequest.$Shape; baseReply?: null; release?: null; releaseAck?: null; offer?: null; claim?: null }|{ body?: "baseReply"; parts?: null; acks?: null; catalogueRequest?: null; catalogueReply?: null; baseRequest?: null; baseReply: sailquay.flow.BaseReply.$Shape; release?: null; releaseAck?: null; offer?: null; claim?: null }|{ body?: "release"; parts?: null; acks?: null; catalogueRequest?: null; catalogueReply?: null; baseRequest?: null; baseReply?: null; release: sailquay.flow.Release.$Shape; releaseAck?: null; offer?: null; claim?: null }|{ body?: "releaseAck"; parts?: null; acks?: null; catalogueRequest?: null; catalogueReply?: null; baseRequest?: null; baseReply?: null; release?: null; releaseAck: sailquay.flow.ReleaseAck.$Shape; offer?: null; claim?: null }|{ body?: "offer"; parts?: null; acks?: null; catalogueRequest?: null; catalogueReply?: null; baseRequest?: null; baseReply?: null; release?: null; releaseAck?: null; offer: sailquay.flow.Offer.$Shape; claim?: null }|{ body?: "claim"; parts?: null; acks?: null; catalogueRequest?: null; catalogueReply?: null; baseRequest?: null; baseReply?: null; release?: null; releaseAck?: null; offer?: null; claim: sailquay.flow.Claim.$Shape })
             * )} sailquay.flow.HandoverMessage.$Shape
             */

            /**
             * Constructs a new HandoverMessage.
             * @memberof sailquay.flow
             * @classdesc Represents a HandoverMessage.
             * @constructor
             * @param {sailquay.flow.HandoverMessage.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const HandoverMessage = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * HandoverMessage parts.
             * @member {sailquay.flow.ShardParts.$Properties|null|undefined} parts
             * @memberof sailquay.flow.HandoverMessage
             * @instance
             */
            HandoverMessage.prototype.parts = null;

            /**
             * HandoverMessage acks.
             * @member {sailquay.flow.ShardAcks.$Properties|null|undefined} acks
             * @memberof sailquay.flow.HandoverMessage
             * @instance
             */
            HandoverMessage.prototype.acks = null;

            /**
             * HandoverMessage catalogueRequest.
             * @member {sailquay.flow.CatalogueRequest.$Properties|null|undefined} catalogueRequest
             * @memberof sailquay.flow.HandoverMessage
             * @instance
             */
            HandoverMessage.prototype.catalogueRequest = null;

            /**
             * HandoverMessage catalogueReply.
             * @member {sailquay.flow.CatalogueReply.$Properties|null|undefined} catalogueReply
             * @memberof sailquay.flow.HandoverMessage
             * @instance
             */
            HandoverMessage.prototype.catalogueReply = null;

            /**
             * HandoverMessage baseRequest.
             * @member {sailquay.flow.BaseRequest.$Properties|null|undefined} baseRequest
             * @memberof sailquay.flow.HandoverMessage
             * @instance
             */
            HandoverMessage.prototype.baseRequest = null;

            /**
             * HandoverMessage baseReply.
             * @member {sailquay.flow.BaseReply.$Properties|null|undefined} baseReply
             * @memberof sailquay.flow.HandoverMessage
             * @instance
             */
            HandoverMessage.prototype.baseReply = null;

            /**
             * HandoverMessage release.
             * @member {sailquay.flow.Release.$Properties|null|undefined} release
             * @memberof sailquay.flow.HandoverMessage
             * @instance
             */
            HandoverMessage.prototype.release = null;

            /**
             * HandoverMessage releaseAck.
             * @member {sailquay.flow.ReleaseAck.$Properties|null|undefined} releaseAck
             * @memberof sailquay.flow.HandoverMessage
             * @instance
             */
            HandoverMessage.prototype.releaseAck = null;

            /**
             * HandoverMessage offer.
             * @member {sailquay.flow.Offer.$Properties|null|undefined} offer
             * @memberof sailquay.flow.HandoverMessage
             * @instance
             */
            HandoverMessage.prototype.offer = null;

            /**
             * HandoverMessage claim.
             * @member {sailquay.flow.Claim.$Properties|null|undefined} claim
             * @memberof sailquay.flow.HandoverMessage
             * @instance
             */
            HandoverMessage.prototype.claim = null;

            // OneOf field names bound to virtual getters and setters
            let $oneOfFields;

            /**
             * HandoverMessage body.
             * @member {"parts"|"acks"|"catalogueRequest"|"catalogueReply"|"baseRequest"|"baseReply"|"release"|"releaseAck"|"offer"|"claim"|undefined} body
             * @memberof sailquay.flow.HandoverMessage
             * @instance
             */
            $Object.defineProperty(HandoverMessage.prototype, "body", {
                get: $util.oneOfGetter($oneOfFields = ["parts", "acks", "catalogueRequest", "catalogueReply", "baseRequest", "baseReply", "release", "releaseAck", "offer", "claim"]),
                set: $util.oneOfSetter($oneOfFields)
            });

            /**
             * Encodes the specified HandoverMessage message. Does not implicitly {@link sailquay.flow.HandoverMessage.verify|verify} messages.
             * @function encode
             * @memberof sailquay.flow.HandoverMessage
             * @static
             * @param {sailquay.flow.HandoverMessage.$Properties} message HandoverMessage message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            HandoverMessage.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.parts != null && $Object.hasOwnProperty.call(message, "parts"))
                    $root.sailquay.flow.ShardParts.encode(message.parts, writer.uint32(/* id 1, wireType 2 =*/10).fork(), _depth + 1).ldelim();
                if (message.acks != null && $Object.hasOwnProperty.call(message, "acks"))
                    $root.sailquay.flow.ShardAcks.encode(message.acks, writer.uint32(/* id 2, wireType 2 =*/18).fork(), _depth + 1).ldelim();
                if (message.catalogueRequest != null && $Object.hasOwnProperty.call(message, "catalogueRequest"))
                    $root.sailquay.flow.CatalogueRequest.encode(message.catalogueRequest, writer.uint32(/* id 3, wireType 2 =*/26).fork(), _depth + 1).ldelim();
                if (message.catalogueReply != null && $Object.hasOwnProperty.call(message, "catalogueReply"))
                    $root.sailquay.flow.CatalogueReply.encode(message.catalogueReply, writer.uint32(/* id 4, wireType 2 =*/34).fork(), _depth + 1).ldelim();
                if (message.baseRequest != null && $Object.hasOwnProperty.call(message, "baseRequest"))
                    $root.sailquay.flow.BaseRequest.encode(message.baseRequest, writer.uint32(/* id 5, wireType 2 =*/42).fork(), _depth + 1).ldelim();
                if (message.baseReply != null && $Object.hasOwnProperty.call(message, "baseReply"))
                    $root.sailquay.flow.BaseReply.encode(message.baseReply, writer.uint32(/* id 6, wireType 2 =*/50).fork(), _depth + 1).ldelim();
                if (message.release != null && $Object.hasOwnProperty.call(message, "release"))
                    $root.sailquay.flow.Release.encode(message.release, writer.uint32(/* id 7, wireType 2 =*/58).fork(), _depth + 1).ldelim();
                if (message.releaseAck != null && $Object.hasOwnProperty.call(message, "releaseAck"))
                    $root.sailquay.flow.ReleaseAck.encode(message.releaseAck, writer.uint32(/* id 8, wireType 2 =*/66).fork(), _depth + 1).ldelim();
                if (message.offer != null && $Object.hasOwnProperty.call(message, "offer"))
                    $root.sailquay.flow.Offer.encode(message.offer, writer.uint32(/* id 9, wireType 2 =*/74).fork(), _depth + 1).ldelim();
                if (message.claim != null && $Object.hasOwnProperty.call(message, "claim"))
                    $root.sailquay.flow.Claim.encode(message.claim, writer.uint32(/* id 10, wireType 2 =*/82).fork(), _depth + 1).ldelim();
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a HandoverMessage message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.flow.HandoverMessage
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.flow.HandoverMessage & sailquay.flow.HandoverMessage.$Shape} HandoverMessage
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            HandoverMessage.decode = function (reader, length, _end, _depth, _target) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $Reader.recursionLimit)
                    throw $Error("max depth exceeded");
                let end, message;
                if (length === $undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw $RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = _target || new $root.sailquay.flow.HandoverMessage();
                while (reader.pos < end) {
                    let start = reader.pos;
                    let tag = reader.tag();
                    if (tag === _end) {
                        _end = $undefined;
                        break;
                    }
                    let wireType = tag & 7;
                    switch (tag >>>= 3) {
                    case 1: {
                            if (wireType !== 2)
                                break;
                            message.parts = $root.sailquay.flow.ShardParts.decode(reader, reader.size(), $undefined, _depth + 1, message.parts);
                            message.body = "parts";
                            continue;
                        }
                    case 2: {
                            if (wireType !== 2)
                                break;
                            message.acks = $root.sailquay.flow.ShardAcks.decode(reader, reader.size(), $undefined, _depth + 1, message.acks);
                            message.body = "acks";
                            continue;
                        }
                    case 3: {
                            if (wireType !== 2)
                                break;
                            message.catalogueRequest = $root.sailquay.flow.CatalogueRequest.decode(reader, reader.size(), $undefined, _depth + 1, message.catalogueRequest);
                            message.body = "catalogueRequest";
                            continue;
                        }
                    case 4: {
                            if (wireType !== 2)
                                break;
                            message.catalogueReply = $root.sailquay.flow.CatalogueReply.decode(reader, reader.size(), $undefined, _depth + 1, message.catalogueReply);
                            message.body = "catalogueReply";
                            continue;
                        }
                    case 5: {
                            if (wireType !== 2)
                                break;
                            message.baseRequest = $root.sailquay.flow.BaseRequest.decode(reader, reader.size(), $undefined, _depth + 1, message.baseRequest);
                            message.body = "baseRequest";
                            continue;
                        }
                    case 6: {
                            if (wireType !== 2)
                                break;
                            message.baseReply = $root.sailquay.flow.BaseReply.decode(reader, reader.size(), $undefined, _depth + 1, message.baseReply);
                            message.body = "baseReply";
                            continue;
                        }
                    case 7: {
                            if (wireType !== 2)
                                break;
                            message.release = $root.sailquay.flow.Release.decode(reader, reader.size(), $undefined, _depth + 1, message.release);
                            message.body = "release";
                            continue;
                        }
                    case 8: {
                            if (wireType !== 2)
                                break;
                            message.releaseAck = $root.sailquay.flow.ReleaseAck.decode(reader, reader.size(), $undefined, _depth + 1, message.releaseAck);
                            message.body = "releaseAck";
                            continue;
                        }
                    case 9: {
                            if (wireType !== 2)
                                break;
                            message.offer = $root.sailquay.flow.Offer.decode(reader, reader.size(), $undefined, _depth + 1, message.offer);
                            message.body = "offer";
                            continue;
                        }
                    case 10: {
                            if (wireType !== 2)
                                break;
                            message.claim = $root.sailquay.flow.Claim.decode(reader, reader.size(), $undefined, _depth + 1, message.claim);
                            message.body = "claim";
                            continue;
                        }
                    }
                    reader.skipType(wireType, _depth, tag);
                    if (!reader.discardUnknown) {
                        $util.makeProp(message, "$unknowns", false);
                        (message.$unknowns || (message.$unknowns = [])).push(reader.raw(start, reader.pos));
                    }
                }
                if (length !== $undefined) {
                    if (reader.pos !== end)
                        throw $RangeError("index out of range");
                    reader.len = length;
                }
                if (_end !== $undefined)
                    throw $Error("missing end group");
                return message;
            };

            /**
             * Gets the type url for HandoverMessage
             * @function getTypeUrl
             * @memberof sailquay.flow.HandoverMessage
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            HandoverMessage.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.flow.HandoverMessage";
            };

            return HandoverMessage;
        })();

        /**
         * ShardPurpose enum.
         * @name sailquay.flow.ShardPurpose
         * @enum {number}
         * @property {number} REPLICA=0 REPLICA value
         * @property {number} TRANSFER=1 TRANSFER value
         * @property {number} RECOVERY=2 RECOVERY value
         */
        flow.ShardPurpose = (function() {
            const valuesById = $Object.create(null), values = $Object.create(valuesById);
            values[valuesById[0] = "REPLICA"] = 0;
            values[valuesById[1] = "TRANSFER"] = 1;
            values[valuesById[2] = "RECOVERY"] = 2;
            return values;
        })();

        flow.ShardPart = (function() {

            /**
             * Properties of a ShardPart.
             * @typedef {Object} sailquay.flow.ShardPart.$Properties
             * @property {number|null} [shard] ShardPart shard
             * @property {number|null} [epoch] ShardPart epoch
             * @property {sailquay.flow.ShardPurpose|null} [purpose] ShardPart purpose
             * @property {number|null} [transferId] ShardPart transferId
             * @property {number|null} [part] ShardPart part
             * @property {number|null} [partCount] ShardPart partCount
             * @property {number|null} [baseVersion] ShardPart baseVersion
             * @property {number|null} [oldestBaseVersion] ShardPart oldestBaseVersion
             * @property {boolean|null} [complete] ShardPart complete
             * @property {boolean|null} [trusted] ShardPart trusted
             * @property {Array.<number>|null} [backendKeys] ShardPart backendKeys
             * @property {Uint8Array|null} [records] ShardPart records
             * @property {number|null} [learningMs] ShardPart learningMs
             * @property {number|null} [generation] ShardPart generation
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a ShardPart.
             * @memberof sailquay.flow
             * @interface IShardPart
             * @augments sailquay.flow.ShardPart.$Properties
             * @deprecated Use sailquay.flow.ShardPart.$Properties instead.
             */

            /**
             * Shape of a ShardPart.
             * @typedef {sailquay.flow.ShardPart.$Properties} sailquay.flow.ShardPart.$Shape
             */

            /**
             * Constructs a new ShardPart.
             * @memberof sailquay.flow
             * @classdesc Represents a ShardPart.
             * @constructor
             * @param {sailquay.flow.ShardPart.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const ShardPart = function (properties) {
                this.backendKeys = [];
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * ShardPart shard.
             * @member {number} shard
             * @memberof sailquay.flow.ShardPart
             * @instance
             */
            ShardPart.prototype.shard = 0;

            /**
             * ShardPart epoch.
             * @member {number} epoch
             * @memberof sailquay.flow.ShardPart
             * @instance
             */
            ShardPart.prototype.epoch = 0;

            /**
             * ShardPart purpose.
             * @member {sailquay.flow.ShardPurpose} purpose
             * @memberof sailquay.flow.ShardPart
             * @instance
             */
            ShardPart.prototype.purpose = 0;

            /**
             * ShardPart transferId.
             * @member {number} transferId
             * @memberof sailquay.flow.ShardPart
             * @instance
             */
            ShardPart.prototype.transferId = 0;

            /**
             * ShardPart part.
             * @member {number} part
             * @memberof sailquay.flow.ShardPart
             * @instance
             */
            ShardPart.prototype.part = 0;

            /**
             * ShardPart partCount.
             * @member {number} partCount
             * @memberof sailquay.flow.ShardPart
             * @instance
             */
            ShardPart.prototype.partCount = 0;

            /**
             * ShardPart baseVersion.
             * @member {number} baseVersion
             * @memberof sailquay.flow.ShardPart
             * @instance
             */
            ShardPart.prototype.baseVersion = 0;

            /**
             * ShardPart oldestBaseVersion.
             * @member {number} oldestBaseVersion
             * @memberof sailquay.flow.ShardPart
             * @instance
             */
            ShardPart.prototype.oldestBaseVersion = 0;

            /**
             * ShardPart complete.
             * @member {boolean} complete
             * @memberof sailquay.flow.ShardPart
             * @instance
             */
            ShardPart.prototype.complete = false;

            /**
             * ShardPart trusted.
             * @member {boolean} trusted
             * @memberof sailquay.flow.ShardPart
             * @instance
             */
            ShardPart.prototype.trusted = false;

            /**
             * ShardPart backendKeys.
             * @member {Array.<number>} backendKeys
             * @memberof sailquay.flow.ShardPart
             * @instance
             */
            ShardPart.prototype.backendKeys = $util.emptyArray;

            /**
             * ShardPart records.
             * @member {Uint8Array} records
             * @memberof sailquay.flow.ShardPart
             * @instance
             */
            ShardPart.prototype.records = $util.newBuffer([]);

            /**
             * ShardPart learningMs.
             * @member {number} learningMs
             * @memberof sailquay.flow.ShardPart
             * @instance
             */
            ShardPart.prototype.learningMs = 0;

            /**
             * ShardPart generation.
             * @member {number} generation
             * @memberof sailquay.flow.ShardPart
             * @instance
             */
            ShardPart.prototype.generation = 0;

            /**
             * Encodes the specified ShardPart message. Does not implicitly {@link sailquay.flow.ShardPart.verify|verify} messages.
             * @function encode
             * @memberof sailquay.flow.ShardPart
             * @static
             * @param {sailquay.flow.ShardPart.$Properties} message ShardPart message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            ShardPart.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.shard != null && $Object.hasOwnProperty.call(message, "shard") && message.shard !== 0)
                    writer.uint32(/* id 1, wireType 0 =*/8).uint32(message.shard);
                if (message.epoch != null && $Object.hasOwnProperty.call(message, "epoch") && message.epoch !== 0)
                    writer.uint32(/* id 2, wireType 5 =*/21).fixed32(message.epoch);
                if (message.purpose != null && $Object.hasOwnProperty.call(message, "purpose") && message.purpose !== 0)
                    writer.uint32(/* id 3, wireType 0 =*/24).int32(message.purpose);
                if (message.transferId != null && $Object.hasOwnProperty.call(message, "transferId") && message.transferId !== 0)
                    writer.uint32(/* id 4, wireType 5 =*/37).fixed32(message.transferId);
                if (message.part != null && $Object.hasOwnProperty.call(message, "part") && message.part !== 0)
                    writer.uint32(/* id 5, wireType 0 =*/40).uint32(message.part);
                if (message.partCount != null && $Object.hasOwnProperty.call(message, "partCount") && message.partCount !== 0)
                    writer.uint32(/* id 6, wireType 0 =*/48).uint32(message.partCount);
                if (message.baseVersion != null && $Object.hasOwnProperty.call(message, "baseVersion") && !$Object.is(message.baseVersion, 0))
                    writer.uint32(/* id 7, wireType 1 =*/57).double(message.baseVersion);
                if (message.oldestBaseVersion != null && $Object.hasOwnProperty.call(message, "oldestBaseVersion") && !$Object.is(message.oldestBaseVersion, 0))
                    writer.uint32(/* id 8, wireType 1 =*/65).double(message.oldestBaseVersion);
                if (message.complete != null && $Object.hasOwnProperty.call(message, "complete") && message.complete !== false)
                    writer.uint32(/* id 9, wireType 0 =*/72).bool(message.complete);
                if (message.trusted != null && $Object.hasOwnProperty.call(message, "trusted") && message.trusted !== false)
                    writer.uint32(/* id 10, wireType 0 =*/80).bool(message.trusted);
                if (message.backendKeys != null && message.backendKeys.length)
                    writer.uint32(/* id 11, wireType 2 =*/90).fixed32s(message.backendKeys);
                if (message.records != null && $Object.hasOwnProperty.call(message, "records") && message.records.length)
                    writer.uint32(/* id 12, wireType 2 =*/98).bytes(message.records);
                if (message.learningMs != null && $Object.hasOwnProperty.call(message, "learningMs") && !$Object.is(message.learningMs, 0))
                    writer.uint32(/* id 13, wireType 1 =*/105).double(message.learningMs);
                if (message.generation != null && $Object.hasOwnProperty.call(message, "generation") && message.generation !== 0)
                    writer.uint32(/* id 14, wireType 0 =*/112).uint32(message.generation);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a ShardPart message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.flow.ShardPart
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.flow.ShardPart & sailquay.flow.ShardPart.$Shape} ShardPart
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            ShardPart.decode = function (reader, length, _end, _depth, _target) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $Reader.recursionLimit)
                    throw $Error("max depth exceeded");
                let end, message, value;
                if (length === $undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw $RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = _target || new $root.sailquay.flow.ShardPart();
                while (reader.pos < end) {
                    let start = reader.pos;
                    let tag = reader.tag();
                    if (tag === _end) {
                        _end = $undefined;
                        break;
                    }
                    let wireType = tag & 7;
                    switch (tag >>>= 3) {
                    case 1: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.shard = value;
                            else
                                delete message.shard;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 5)
                                break;
                            if (value = reader.fixed32())
                                message.epoch = value;
                            else
                                delete message.epoch;
                            continue;
                        }
                    case 3: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.int32())
                                message.purpose = value;
                            else
                                delete message.purpose;
                            continue;
                        }
                    case 4: {
                            if (wireType !== 5)
                                break;
                            if (value = reader.fixed32())
                                message.transferId = value;
                            else
                                delete message.transferId;
                            continue;
                        }
                    case 5: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.part = value;
                            else
                                delete message.part;
                            continue;
                        }
                    case 6: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.partCount = value;
                            else
                                delete message.partCount;
                            continue;
                        }
                    case 7: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.baseVersion = value;
                            else
                                delete message.baseVersion;
                            continue;
                        }
                    case 8: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.oldestBaseVersion = value;
                            else
                                delete message.oldestBaseVersion;
                            continue;
                        }
                    case 9: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.bool())
                                message.complete = value;
                            else
                                delete message.complete;
                            continue;
                        }
                    case 10: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.bool())
                                message.trusted = value;
                            else
                                delete message.trusted;
                            continue;
                        }
                    case 11: {
                            if (wireType === 2) {
                                if (!(message.backendKeys && message.backendKeys.length))
                                    message.backendKeys = [];
                                reader.fixed32s(message.backendKeys);
                                continue;
                            }
                            if (wireType !== 5)
                                break;
                            if (!(message.backendKeys && message.backendKeys.length))
                                message.backendKeys = [];
                            message.backendKeys.push(reader.fixed32());
                            continue;
                        }
                    case 12: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.bytes()).length)
                                message.records = value;
                            else
                                delete message.records;
                            continue;
                        }
                    case 13: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.learningMs = value;
                            else
                                delete message.learningMs;
                            continue;
                        }
                    case 14: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.generation = value;
                            else
                                delete message.generation;
                            continue;
                        }
                    }
                    reader.skipType(wireType, _depth, tag);
                    if (!reader.discardUnknown) {
                        $util.makeProp(message, "$unknowns", false);
                        (message.$unknowns || (message.$unknowns = [])).push(reader.raw(start, reader.pos));
                    }
                }
                if (length !== $undefined) {
                    if (reader.pos !== end)
                        throw $RangeError("index out of range");
                    reader.len = length;
                }
                if (_end !== $undefined)
                    throw $Error("missing end group");
                return message;
            };

            /**
             * Gets the type url for ShardPart
             * @function getTypeUrl
             * @memberof sailquay.flow.ShardPart
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            ShardPart.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.flow.ShardPart";
            };

            return ShardPart;
        })();

        flow.ShardGroup = (function() {

            /**
             * Properties of a ShardGroup.
             * @typedef {Object} sailquay.flow.ShardGroup.$Properties
             * @property {sailquay.flow.ShardPart.$Properties|null} [header] ShardGroup header
             * @property {Uint8Array|null} [shards] ShardGroup shards
             * @property {number|null} [firstTransferId] ShardGroup firstTransferId
             * @property {Uint8Array|null} [transferOffsets] ShardGroup transferOffsets
             * @property {Uint8Array|null} [recordCounts] ShardGroup recordCounts
             * @property {Array.<number>|null} [backendKeys] ShardGroup backendKeys
             * @property {Uint8Array|null} [records] ShardGroup records
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a ShardGroup.
             * @memberof sailquay.flow
             * @interface IShardGroup
             * @augments sailquay.flow.ShardGroup.$Properties
             * @deprecated Use sailquay.flow.ShardGroup.$Properties instead.
             */

            /**
             * Shape of a ShardGroup.
             * @typedef {sailquay.flow.ShardGroup.$Properties} sailquay.flow.ShardGroup.$Shape
             */

            /**
             * Constructs a new ShardGroup.
             * @memberof sailquay.flow
             * @classdesc Represents a ShardGroup.
             * @constructor
             * @param {sailquay.flow.ShardGroup.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const ShardGroup = function (properties) {
                this.backendKeys = [];
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * ShardGroup header.
             * @member {sailquay.flow.ShardPart.$Properties|null|undefined} header
             * @memberof sailquay.flow.ShardGroup
             * @instance
             */
            ShardGroup.prototype.header = null;

            /**
             * ShardGroup shards.
             * @member {Uint8Array} shards
             * @memberof sailquay.flow.ShardGroup
             * @instance
             */
            ShardGroup.prototype.shards = $util.newBuffer([]);

            /**
             * ShardGroup firstTransferId.
             * @member {number} firstTransferId
             * @memberof sailquay.flow.ShardGroup
             * @instance
             */
            ShardGroup.prototype.firstTransferId = 0;

            /**
             * ShardGroup transferOffsets.
             * @member {Uint8Array} transferOffsets
             * @memberof sailquay.flow.ShardGroup
             * @instance
             */
            ShardGroup.prototype.transferOffsets = $util.newBuffer([]);

            /**
             * ShardGroup recordCounts.
             * @member {Uint8Array} recordCounts
             * @memberof sailquay.flow.ShardGroup
             * @instance
             */
            ShardGroup.prototype.recordCounts = $util.newBuffer([]);

            /**
             * ShardGroup backendKeys.
             * @member {Array.<number>} backendKeys
             * @memberof sailquay.flow.ShardGroup
             * @instance
             */
            ShardGroup.prototype.backendKeys = $util.emptyArray;

            /**
             * ShardGroup records.
             * @member {Uint8Array} records
             * @memberof sailquay.flow.ShardGroup
             * @instance
             */
            ShardGroup.prototype.records = $util.newBuffer([]);

            /**
             * Encodes the specified ShardGroup message. Does not implicitly {@link sailquay.flow.ShardGroup.verify|verify} messages.
             * @function encode
             * @memberof sailquay.flow.ShardGroup
             * @static
             * @param {sailquay.flow.ShardGroup.$Properties} message ShardGroup message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            ShardGroup.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.header != null && $Object.hasOwnProperty.call(message, "header"))
                    $root.sailquay.flow.ShardPart.encode(message.header, writer.uint32(/* id 1, wireType 2 =*/10).fork(), _depth + 1).ldelim();
                if (message.shards != null && $Object.hasOwnProperty.call(message, "shards") && message.shards.length)
                    writer.uint32(/* id 2, wireType 2 =*/18).bytes(message.shards);
                if (message.firstTransferId != null && $Object.hasOwnProperty.call(message, "firstTransferId") && message.firstTransferId !== 0)
                    writer.uint32(/* id 3, wireType 5 =*/29).fixed32(message.firstTransferId);
                if (message.transferOffsets != null && $Object.hasOwnProperty.call(message, "transferOffsets") && message.transferOffsets.length)
                    writer.uint32(/* id 4, wireType 2 =*/34).bytes(message.transferOffsets);
                if (message.recordCounts != null && $Object.hasOwnProperty.call(message, "recordCounts") && message.recordCounts.length)
                    writer.uint32(/* id 5, wireType 2 =*/42).bytes(message.recordCounts);
                if (message.backendKeys != null && message.backendKeys.length)
                    writer.uint32(/* id 6, wireType 2 =*/50).fixed32s(message.backendKeys);
                if (message.records != null && $Object.hasOwnProperty.call(message, "records") && message.records.length)
                    writer.uint32(/* id 7, wireType 2 =*/58).bytes(message.records);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a ShardGroup message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.flow.ShardGroup
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.flow.ShardGroup & sailquay.flow.ShardGroup.$Shape} ShardGroup
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            ShardGroup.decode = function (reader, length, _end, _depth, _target) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $Reader.recursionLimit)
                    throw $Error("max depth exceeded");
                let end, message, value;
                if (length === $undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw $RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = _target || new $root.sailquay.flow.ShardGroup();
                while (reader.pos < end) {
                    let start = reader.pos;
                    let tag = reader.tag();
                    if (tag === _end) {
                        _end = $undefined;
                        break;
                    }
                    let wireType = tag & 7;
                    switch (tag >>>= 3) {
                    case 1: {
                            if (wireType !== 2)
                                break;
                            message.header = $root.sailquay.flow.ShardPart.decode(reader, reader.size(), $undefined, _depth + 1, message.header);
                            continue;
                        }
                    case 2: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.bytes()).length)
                                message.shards = value;
                            else
                                delete message.shards;
                            continue;
                        }
                    case 3: {
                            if (wireType !== 5)
                                break;
                            if (value = reader.fixed32())
                                message.firstTransferId = value;
                            else
                                delete message.firstTransferId;
                            continue;
                        }
                    case 4: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.bytes()).length)
                                message.transferOffsets = value;
                            else
                                delete message.transferOffsets;
                            continue;
                        }
                    case 5: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.bytes()).length)
                                message.recordCounts = value;
                            else
                                delete message.recordCounts;
                            continue;
                        }
                    case 6: {
                            if (wireType === 2) {
                                if (!(message.backendKeys && message.backendKeys.length))
                                    message.backendKeys = [];
                                reader.fixed32s(message.backendKeys);
                                continue;
                            }
                            if (wireType !== 5)
                                break;
                            if (!(message.backendKeys && message.backendKeys.length))
                                message.backendKeys = [];
                            message.backendKeys.push(reader.fixed32());
                            continue;
                        }
                    case 7: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.bytes()).length)
                                message.records = value;
                            else
                                delete message.records;
                            continue;
                        }
                    }
                    reader.skipType(wireType, _depth, tag);
                    if (!reader.discardUnknown) {
                        $util.makeProp(message, "$unknowns", false);
                        (message.$unknowns || (message.$unknowns = [])).push(reader.raw(start, reader.pos));
                    }
                }
                if (length !== $undefined) {
                    if (reader.pos !== end)
                        throw $RangeError("index out of range");
                    reader.len = length;
                }
                if (_end !== $undefined)
                    throw $Error("missing end group");
                return message;
            };

            /**
             * Gets the type url for ShardGroup
             * @function getTypeUrl
             * @memberof sailquay.flow.ShardGroup
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            ShardGroup.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.flow.ShardGroup";
            };

            return ShardGroup;
        })();

        flow.ShardParts = (function() {

            /**
             * Properties of a ShardParts.
             * @typedef {Object} sailquay.flow.ShardParts.$Properties
             * @property {Array.<sailquay.flow.ShardPart.$Properties>|null} [parts] ShardParts parts
             * @property {Array.<sailquay.flow.ShardGroup.$Properties>|null} [groups] ShardParts groups
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a ShardParts.
             * @memberof sailquay.flow
             * @interface IShardParts
             * @augments sailquay.flow.ShardParts.$Properties
             * @deprecated Use sailquay.flow.ShardParts.$Properties instead.
             */

            /**
             * Shape of a ShardParts.
             * @typedef {sailquay.flow.ShardParts.$Properties} sailquay.flow.ShardParts.$Shape
             */

            /**
             * Constructs a new ShardParts.
             * @memberof sailquay.flow
             * @classdesc Represents a ShardParts.
             * @constructor
             * @param {sailquay.flow.ShardParts.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const ShardParts = function (properties) {
                this.parts = [];
                this.groups = [];
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * ShardParts parts.
             * @member {Array.<sailquay.flow.ShardPart.$Properties>} parts
             * @memberof sailquay.flow.ShardParts
             * @instance
             */
            ShardParts.prototype.parts = $util.emptyArray;

            /**
             * ShardParts groups.
             * @member {Array.<sailquay.flow.ShardGroup.$Properties>} groups
             * @memberof sailquay.flow.ShardParts
             * @instance
             */
            ShardParts.prototype.groups = $util.emptyArray;

            /**
             * Encodes the specified ShardParts message. Does not implicitly {@link sailquay.flow.ShardParts.verify|verify} messages.
             * @function encode
             * @memberof sailquay.flow.ShardParts
             * @static
             * @param {sailquay.flow.ShardParts.$Properties} message ShardParts message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            ShardParts.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.parts != null && message.parts.length)
                    for (let i = 0; i < message.parts.length; ++i)
                        $root.sailquay.flow.ShardPart.encode(message.parts[i], writer.uint32(/* id 1, wireType 2 =*/10).fork(), _depth + 1).ldelim();
                if (message.groups != null && message.groups.length)
                    for (let i = 0; i < message.groups.length; ++i)
                        $root.sailquay.flow.ShardGroup.encode(message.groups[i], writer.uint32(/* id 2, wireType 2 =*/18).fork(), _depth + 1).ldelim();
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a ShardParts message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.flow.ShardParts
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.flow.ShardParts & sailquay.flow.ShardParts.$Shape} ShardParts
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            ShardParts.decode = function (reader, length, _end, _depth, _target) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $Reader.recursionLimit)
                    throw $Error("max depth exceeded");
                let end, message;
                if (length === $undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw $RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = _target || new $root.sailquay.flow.ShardParts();
                while (reader.pos < end) {
                    let start = reader.pos;
                    let tag = reader.tag();
                    if (tag === _end) {
                        _end = $undefined;
                        break;
                    }
                    let wireType = tag & 7;
                    switch (tag >>>= 3) {
                    case 1: {
                            if (wireType !== 2)
                                break;
                            if (!(message.parts && message.parts.length))
                                message.parts = [];
                            message.parts.push($root.sailquay.flow.ShardPart.decode(reader, reader.size(), $undefined, _depth + 1));
                            continue;
                        }
                    case 2: {
                            if (wireType !== 2)
                                break;
                            if (!(message.groups && message.groups.length))
                                message.groups = [];
                            message.groups.push($root.sailquay.flow.ShardGroup.decode(reader, reader.size(), $undefined, _depth + 1));
                            continue;
                        }
                    }
                    reader.skipType(wireType, _depth, tag);
                    if (!reader.discardUnknown) {
                        $util.makeProp(message, "$unknowns", false);
                        (message.$unknowns || (message.$unknowns = [])).push(reader.raw(start, reader.pos));
                    }
                }
                if (length !== $undefined) {
                    if (reader.pos !== end)
                        throw $RangeError("index out of range");
                    reader.len = length;
                }
                if (_end !== $undefined)
                    throw $Error("missing end group");
                return message;
            };

            /**
             * Gets the type url for ShardParts
             * @function getTypeUrl
             * @memberof sailquay.flow.ShardParts
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            ShardParts.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.flow.ShardParts";
            };

            return ShardParts;
        })();

        /**
         * ShardStatus enum.
         * @name sailquay.flow.ShardStatus
         * @enum {number}
         * @property {number} RECEIVED=0 RECEIVED value
         * @property {number} DONE=1 DONE value
         * @property {number} REFUSED=2 REFUSED value
         */
        flow.ShardStatus = (function() {
            const valuesById = $Object.create(null), values = $Object.create(valuesById);
            values[valuesById[0] = "RECEIVED"] = 0;
            values[valuesById[1] = "DONE"] = 1;
            values[valuesById[2] = "REFUSED"] = 2;
            return values;
        })();

        flow.ShardAck = (function() {

            /**
             * Properties of a ShardAck.
             * @typedef {Object} sailquay.flow.ShardAck.$Properties
             * @property {number|null} [shard] ShardAck shard
             * @property {number|null} [transferId] ShardAck transferId
             * @property {number|null} [part] ShardAck part
             * @property {sailquay.flow.ShardStatus|null} [status] ShardAck status
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a ShardAck.
             * @memberof sailquay.flow
             * @interface IShardAck
             * @augments sailquay.flow.ShardAck.$Properties
             * @deprecated Use sailquay.flow.ShardAck.$Properties instead.
             */

            /**
             * Shape of a ShardAck.
             * @typedef {sailquay.flow.ShardAck.$Properties} sailquay.flow.ShardAck.$Shape
             */

            /**
             * Constructs a new ShardAck.
             * @memberof sailquay.flow
             * @classdesc Represents a ShardAck.
             * @constructor
             * @param {sailquay.flow.ShardAck.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const ShardAck = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * ShardAck shard.
             * @member {number} shard
             * @memberof sailquay.flow.ShardAck
             * @instance
             */
            ShardAck.prototype.shard = 0;

            /**
             * ShardAck transferId.
             * @member {number} transferId
             * @memberof sailquay.flow.ShardAck
             * @instance
             */
            ShardAck.prototype.transferId = 0;

            /**
             * ShardAck part.
             * @member {number} part
             * @memberof sailquay.flow.ShardAck
             * @instance
             */
            ShardAck.prototype.part = 0;

            /**
             * ShardAck status.
             * @member {sailquay.flow.ShardStatus} status
             * @memberof sailquay.flow.ShardAck
             * @instance
             */
            ShardAck.prototype.status = 0;

            /**
             * Encodes the specified ShardAck message. Does not implicitly {@link sailquay.flow.ShardAck.verify|verify} messages.
             * @function encode
             * @memberof sailquay.flow.ShardAck
             * @static
             * @param {sailquay.flow.ShardAck.$Properties} message ShardAck message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            ShardAck.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.shard != null && $Object.hasOwnProperty.call(message, "shard") && message.shard !== 0)
                    writer.uint32(/* id 1, wireType 0 =*/8).uint32(message.shard);
                if (message.transferId != null && $Object.hasOwnProperty.call(message, "transferId") && message.transferId !== 0)
                    writer.uint32(/* id 2, wireType 5 =*/21).fixed32(message.transferId);
                if (message.part != null && $Object.hasOwnProperty.call(message, "part") && message.part !== 0)
                    writer.uint32(/* id 3, wireType 0 =*/24).uint32(message.part);
                if (message.status != null && $Object.hasOwnProperty.call(message, "status") && message.status !== 0)
                    writer.uint32(/* id 4, wireType 0 =*/32).int32(message.status);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a ShardAck message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.flow.ShardAck
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.flow.ShardAck & sailquay.flow.ShardAck.$Shape} ShardAck
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            ShardAck.decode = function (reader, length, _end, _depth, _target) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $Reader.recursionLimit)
                    throw $Error("max depth exceeded");
                let end, message, value;
                if (length === $undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw $RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = _target || new $root.sailquay.flow.ShardAck();
                while (reader.pos < end) {
                    let start = reader.pos;
                    let tag = reader.tag();
                    if (tag === _end) {
                        _end = $undefined;
                        break;
                    }
                    let wireType = tag & 7;
                    switch (tag >>>= 3) {
                    case 1: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.shard = value;
                            else
                                delete message.shard;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 5)
                                break;
                            if (value = reader.fixed32())
                                message.transferId = value;
                            else
                                delete message.transferId;
                            continue;
                        }
                    case 3: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.part = value;
                            else
                                delete message.part;
                            continue;
                        }
                    case 4: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.int32())
                                message.status = value;
                            else
                                delete message.status;
                            continue;
                        }
                    }
                    reader.skipType(wireType, _depth, tag);
                    if (!reader.discardUnknown) {
                        $util.makeProp(message, "$unknowns", false);
                        (message.$unknowns || (message.$unknowns = [])).push(reader.raw(start, reader.pos));
                    }
                }
                if (length !== $undefined) {
                    if (reader.pos !== end)
                        throw $RangeError("index out of range");
                    reader.len = length;
                }
                if (_end !== $undefined)
                    throw $Error("missing end group");
                return message;
            };

            /**
             * Gets the type url for ShardAck
             * @function getTypeUrl
             * @memberof sailquay.flow.ShardAck
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            ShardAck.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.flow.ShardAck";
            };

            return ShardAck;
        })();

        flow.ShardAckGroup = (function() {

            /**
             * Properties of a ShardAckGroup.
             * @typedef {Object} sailquay.flow.ShardAckGroup.$Properties
             * @property {sailquay.flow.ShardStatus|null} [status] ShardAckGroup status
             * @property {number|null} [firstTransferId] ShardAckGroup firstTransferId
             * @property {Uint8Array|null} [transferOffsets] ShardAckGroup transferOffsets
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a ShardAckGroup.
             * @memberof sailquay.flow
             * @interface IShardAckGroup
             * @augments sailquay.flow.ShardAckGroup.$Properties
             * @deprecated Use sailquay.flow.ShardAckGroup.$Properties instead.
             */

            /**
             * Shape of a ShardAckGroup.
             * @typedef {sailquay.flow.ShardAckGroup.$Properties} sailquay.flow.ShardAckGroup.$Shape
             */

            /**
             * Constructs a new ShardAckGroup.
             * @memberof sailquay.flow
             * @classdesc Represents a ShardAckGroup.
             * @constructor
             * @param {sailquay.flow.ShardAckGroup.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const ShardAckGroup = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * ShardAckGroup status.
             * @member {sailquay.flow.ShardStatus} status
             * @memberof sailquay.flow.ShardAckGroup
             * @instance
             */
            ShardAckGroup.prototype.status = 0;

            /**
             * ShardAckGroup firstTransferId.
             * @member {number} firstTransferId
             * @memberof sailquay.flow.ShardAckGroup
             * @instance
             */
            ShardAckGroup.prototype.firstTransferId = 0;

            /**
             * ShardAckGroup transferOffsets.
             * @member {Uint8Array} transferOffsets
             * @memberof sailquay.flow.ShardAckGroup
             * @instance
             */
            ShardAckGroup.prototype.transferOffsets = $util.newBuffer([]);

            /**
             * Encodes the specified ShardAckGroup message. Does not implicitly {@link sailquay.flow.ShardAckGroup.verify|verify} messages.
             * @function encode
             * @memberof sailquay.flow.ShardAckGroup
             * @static
             * @param {sailquay.flow.ShardAckGroup.$Properties} message ShardAckGroup message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            ShardAckGroup.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.status != null && $Object.hasOwnProperty.call(message, "status") && message.status !== 0)
                    writer.uint32(/* id 1, wireType 0 =*/8).int32(message.status);
                if (message.firstTransferId != null && $Object.hasOwnProperty.call(message, "firstTransferId") && message.firstTransferId !== 0)
                    writer.uint32(/* id 2, wireType 5 =*/21).fixed32(message.firstTransferId);
                if (message.transferOffsets != null && $Object.hasOwnProperty.call(message, "transferOffsets") && message.transferOffsets.length)
                    writer.uint32(/* id 3, wireType 2 =*/26).bytes(message.transferOffsets);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a ShardAckGroup message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.flow.ShardAckGroup
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.flow.ShardAckGroup & sailquay.flow.ShardAckGroup.$Shape} ShardAckGroup
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            ShardAckGroup.decode = function (reader, length, _end, _depth, _target) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $Reader.recursionLimit)
                    throw $Error("max depth exceeded");
                let end, message, value;
                if (length === $undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw $RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = _target || new $root.sailquay.flow.ShardAckGroup();
                while (reader.pos < end) {
                    let start = reader.pos;
                    let tag = reader.tag();
                    if (tag === _end) {
                        _end = $undefined;
                        break;
                    }
                    let wireType = tag & 7;
                    switch (tag >>>= 3) {
                    case 1: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.int32())
                                message.status = value;
                            else
                                delete message.status;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 5)
                                break;
                            if (value = reader.fixed32())
                                message.firstTransferId = value;
                            else
                                delete message.firstTransferId;
                            continue;
                        }
                    case 3: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.bytes()).length)
                                message.transferOffsets = value;
                            else
                                delete message.transferOffsets;
                            continue;
                        }
                    }
                    reader.skipType(wireType, _depth, tag);
                    if (!reader.discardUnknown) {
                        $util.makeProp(message, "$unknowns", false);
                        (message.$unknowns || (message.$unknowns = [])).push(reader.raw(start, reader.pos));
                    }
                }
                if (length !== $undefined) {
                    if (reader.pos !== end)
                        throw $RangeError("index out of range");
                    reader.len = length;
                }
                if (_end !== $undefined)
                    throw $Error("missing end group");
                return message;
            };

            /**
             * Gets the type url for ShardAckGroup
             * @function getTypeUrl
             * @memberof sailquay.flow.ShardAckGroup
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            ShardAckGroup.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.flow.ShardAckGroup";
            };

            return ShardAckGroup;
        })();

        flow.ShardAcks = (function() {

            /**
             * Properties of a ShardAcks.
             * @typedef {Object} sailquay.flow.ShardAcks.$Properties
             * @property {Array.<sailquay.flow.ShardAck.$Properties>|null} [acks] ShardAcks acks
             * @property {Array.<sailquay.flow.ShardAckGroup.$Properties>|null} [groups] ShardAcks groups
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a ShardAcks.
             * @memberof sailquay.flow
             * @interface IShardAcks
             * @augments sailquay.flow.ShardAcks.$Properties
             * @deprecated Use sailquay.flow.ShardAcks.$Properties instead.
             */

            /**
             * Shape of a ShardAcks.
             * @typedef {sailquay.flow.ShardAcks.$Properties} sailquay.flow.ShardAcks.$Shape
             */

            /**
             * Constructs a new ShardAcks.
             * @memberof sailquay.flow
             * @classdesc Represents a ShardAcks.
             * @constructor
             * @param {sailquay.flow.ShardAcks.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const ShardAcks = function (properties) {
                this.acks = [];
                this.groups = [];
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * ShardAcks acks.
             * @member {Array.<sailquay.flow.ShardAck.$Properties>} acks
             * @memberof sailquay.flow.ShardAcks
             * @instance
             */
            ShardAcks.prototype.acks = $util.emptyArray;

            /**
             * ShardAcks groups.
             * @member {Array.<sailquay.flow.ShardAckGroup.$Properties>} groups
             * @memberof sailquay.flow.ShardAcks
             * @instance
             */
            ShardAcks.prototype.groups = $util.emptyArray;

            /**
             * Encodes the specified ShardAcks message. Does not implicitly {@link sailquay.flow.ShardAcks.verify|verify} messages.
             * @function encode
             * @memberof sailquay.flow.ShardAcks
             * @static
             * @param {sailquay.flow.ShardAcks.$Properties} message ShardAcks message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            ShardAcks.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.acks != null && message.acks.length)
                    for (let i = 0; i < message.acks.length; ++i)
                        $root.sailquay.flow.ShardAck.encode(message.acks[i], writer.uint32(/* id 1, wireType 2 =*/10).fork(), _depth + 1).ldelim();
                if (message.groups != null && message.groups.length)
                    for (let i = 0; i < message.groups.length; ++i)
                        $root.sailquay.flow.ShardAckGroup.encode(message.groups[i], writer.uint32(/* id 2, wireType 2 =*/18).fork(), _depth + 1).ldelim();
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a ShardAcks message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.flow.ShardAcks
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.flow.ShardAcks & sailquay.flow.ShardAcks.$Shape} ShardAcks
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            ShardAcks.decode = function (reader, length, _end, _depth, _target) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $Reader.recursionLimit)
                    throw $Error("max depth exceeded");
                let end, message;
                if (length === $undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw $RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = _target || new $root.sailquay.flow.ShardAcks();
                while (reader.pos < end) {
                    let start = reader.pos;
                    let tag = reader.tag();
                    if (tag === _end) {
                        _end = $undefined;
                        break;
                    }
                    let wireType = tag & 7;
                    switch (tag >>>= 3) {
                    case 1: {
                            if (wireType !== 2)
                                break;
                            if (!(message.acks && message.acks.length))
                                message.acks = [];
                            message.acks.push($root.sailquay.flow.ShardAck.decode(reader, reader.size(), $undefined, _depth + 1));
                            continue;
                        }
                    case 2: {
                            if (wireType !== 2)
                                break;
                            if (!(message.groups && message.groups.length))
                                message.groups = [];
                            message.groups.push($root.sailquay.flow.ShardAckGroup.decode(reader, reader.size(), $undefined, _depth + 1));
                            continue;
                        }
                    }
                    reader.skipType(wireType, _depth, tag);
                    if (!reader.discardUnknown) {
                        $util.makeProp(message, "$unknowns", false);
                        (message.$unknowns || (message.$unknowns = [])).push(reader.raw(start, reader.pos));
                    }
                }
                if (length !== $undefined) {
                    if (reader.pos !== end)
                        throw $RangeError("index out of range");
                    reader.len = length;
                }
                if (_end !== $undefined)
                    throw $Error("missing end group");
                return message;
            };

            /**
             * Gets the type url for ShardAcks
             * @function getTypeUrl
             * @memberof sailquay.flow.ShardAcks
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            ShardAcks.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.flow.ShardAcks";
            };

            return ShardAcks;
        })();

        flow.CatalogueRequest = (function() {

            /**
             * Properties of a CatalogueRequest.
             * @typedef {Object} sailquay.flow.CatalogueRequest.$Properties
             * @property {Array.<number>|null} [backendKeys] CatalogueRequest backendKeys
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a CatalogueRequest.
             * @memberof sailquay.flow
             * @interface ICatalogueRequest
             * @augments sailquay.flow.CatalogueRequest.$Properties
             * @deprecated Use sailquay.flow.CatalogueRequest.$Properties instead.
             */

            /**
             * Shape of a CatalogueRequest.
             * @typedef {sailquay.flow.CatalogueRequest.$Properties} sailquay.flow.CatalogueRequest.$Shape
             */

            /**
             * Constructs a new CatalogueRequest.
             * @memberof sailquay.flow
             * @classdesc Represents a CatalogueRequest.
             * @constructor
             * @param {sailquay.flow.CatalogueRequest.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const CatalogueRequest = function (properties) {
                this.backendKeys = [];
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * CatalogueRequest backendKeys.
             * @member {Array.<number>} backendKeys
             * @memberof sailquay.flow.CatalogueRequest
             * @instance
             */
            CatalogueRequest.prototype.backendKeys = $util.emptyArray;

            /**
             * Encodes the specified CatalogueRequest message. Does not implicitly {@link sailquay.flow.CatalogueRequest.verify|verify} messages.
             * @function encode
             * @memberof sailquay.flow.CatalogueRequest
             * @static
             * @param {sailquay.flow.CatalogueRequest.$Properties} message CatalogueRequest message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            CatalogueRequest.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.backendKeys != null && message.backendKeys.length)
                    writer.uint32(/* id 1, wireType 2 =*/10).fixed32s(message.backendKeys);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a CatalogueRequest message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.flow.CatalogueRequest
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.flow.CatalogueRequest & sailquay.flow.CatalogueRequest.$Shape} CatalogueRequest
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            CatalogueRequest.decode = function (reader, length, _end, _depth, _target) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $Reader.recursionLimit)
                    throw $Error("max depth exceeded");
                let end, message;
                if (length === $undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw $RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = _target || new $root.sailquay.flow.CatalogueRequest();
                while (reader.pos < end) {
                    let start = reader.pos;
                    let tag = reader.tag();
                    if (tag === _end) {
                        _end = $undefined;
                        break;
                    }
                    let wireType = tag & 7;
                    switch (tag >>>= 3) {
                    case 1: {
                            if (wireType === 2) {
                                if (!(message.backendKeys && message.backendKeys.length))
                                    message.backendKeys = [];
                                reader.fixed32s(message.backendKeys);
                                continue;
                            }
                            if (wireType !== 5)
                                break;
                            if (!(message.backendKeys && message.backendKeys.length))
                                message.backendKeys = [];
                            message.backendKeys.push(reader.fixed32());
                            continue;
                        }
                    }
                    reader.skipType(wireType, _depth, tag);
                    if (!reader.discardUnknown) {
                        $util.makeProp(message, "$unknowns", false);
                        (message.$unknowns || (message.$unknowns = [])).push(reader.raw(start, reader.pos));
                    }
                }
                if (length !== $undefined) {
                    if (reader.pos !== end)
                        throw $RangeError("index out of range");
                    reader.len = length;
                }
                if (_end !== $undefined)
                    throw $Error("missing end group");
                return message;
            };

            /**
             * Gets the type url for CatalogueRequest
             * @function getTypeUrl
             * @memberof sailquay.flow.CatalogueRequest
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            CatalogueRequest.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.flow.CatalogueRequest";
            };

            return CatalogueRequest;
        })();

        flow.CatalogueEntry = (function() {

            /**
             * Properties of a CatalogueEntry.
             * @typedef {Object} sailquay.flow.CatalogueEntry.$Properties
             * @property {number|null} [id] CatalogueEntry id
             * @property {number|null} [serviceId] CatalogueEntry serviceId
             * @property {string|null} [host] CatalogueEntry host
             * @property {number|null} [port] CatalogueEntry port
             * @property {number|null} [idleTimeoutMs] CatalogueEntry idleTimeoutMs
             * @property {Array.<number>|null} [serviceAddresses] CatalogueEntry serviceAddresses
             * @property {Array.<number>|null} [servicePorts] CatalogueEntry servicePorts
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a CatalogueEntry.
             * @memberof sailquay.flow
             * @interface ICatalogueEntry
             * @augments sailquay.flow.CatalogueEntry.$Properties
             * @deprecated Use sailquay.flow.CatalogueEntry.$Properties instead.
             */

            /**
             * Shape of a CatalogueEntry.
             * @typedef {sailquay.flow.CatalogueEntry.$Properties} sailquay.flow.CatalogueEntry.$Shape
             */

            /**
             * Constructs a new CatalogueEntry.
             * @memberof sailquay.flow
             * @classdesc Represents a CatalogueEntry.
             * @constructor
             * @param {sailquay.flow.CatalogueEntry.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const CatalogueEntry = function (properties) {
                this.serviceAddresses = [];
                this.servicePorts = [];
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * CatalogueEntry id.
             * @member {number} id
             * @memberof sailquay.flow.CatalogueEntry
             * @instance
             */
            CatalogueEntry.prototype.id = 0;

            /**
             * CatalogueEntry serviceId.
             * @member {number} serviceId
             * @memberof sailquay.flow.CatalogueEntry
             * @instance
             */
            CatalogueEntry.prototype.serviceId = 0;

            /**
             * CatalogueEntry host.
             * @member {string} host
             * @memberof sailquay.flow.CatalogueEntry
             * @instance
             */
            CatalogueEntry.prototype.host = "";

            /**
             * CatalogueEntry port.
             * @member {number} port
             * @memberof sailquay.flow.CatalogueEntry
             * @instance
             */
            CatalogueEntry.prototype.port = 0;

            /**
             * CatalogueEntry idleTimeoutMs.
             * @member {number} idleTimeoutMs
             * @memberof sailquay.flow.CatalogueEntry
             * @instance
             */
            CatalogueEntry.prototype.idleTimeoutMs = 0;

            /**
             * CatalogueEntry serviceAddresses.
             * @member {Array.<number>} serviceAddresses
             * @memberof sailquay.flow.CatalogueEntry
             * @instance
             */
            CatalogueEntry.prototype.serviceAddresses = $util.emptyArray;

            /**
             * CatalogueEntry servicePorts.
             * @member {Array.<number>} servicePorts
             * @memberof sailquay.flow.CatalogueEntry
             * @instance
             */
            CatalogueEntry.prototype.servicePorts = $util.emptyArray;

            /**
             * Encodes the specified CatalogueEntry message. Does not implicitly {@link sailquay.flow.CatalogueEntry.verify|verify} messages.
             * @function encode
             * @memberof sailquay.flow.CatalogueEntry
             * @static
             * @param {sailquay.flow.CatalogueEntry.$Properties} message CatalogueEntry message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            CatalogueEntry.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.id != null && $Object.hasOwnProperty.call(message, "id") && message.id !== 0)
                    writer.uint32(/* id 1, wireType 5 =*/13).fixed32(message.id);
                if (message.serviceId != null && $Object.hasOwnProperty.call(message, "serviceId") && message.serviceId !== 0)
                    writer.uint32(/* id 2, wireType 5 =*/21).fixed32(message.serviceId);
                if (message.host != null && $Object.hasOwnProperty.call(message, "host") && message.host !== "")
                    writer.uint32(/* id 3, wireType 2 =*/26).string(message.host);
                if (message.port != null && $Object.hasOwnProperty.call(message, "port") && message.port !== 0)
                    writer.uint32(/* id 4, wireType 0 =*/32).uint32(message.port);
                if (message.idleTimeoutMs != null && $Object.hasOwnProperty.call(message, "idleTimeoutMs") && !$Object.is(message.idleTimeoutMs, 0))
                    writer.uint32(/* id 5, wireType 1 =*/41).double(message.idleTimeoutMs);
                if (message.serviceAddresses != null && message.serviceAddresses.length)
                    writer.uint32(/* id 6, wireType 2 =*/50).fixed32s(message.serviceAddresses);
                if (message.servicePorts != null && message.servicePorts.length)
                    writer.uint32(/* id 7, wireType 2 =*/58).uint32s(message.servicePorts);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a CatalogueEntry message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.flow.CatalogueEntry
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.flow.CatalogueEntry & sailquay.flow.CatalogueEntry.$Shape} CatalogueEntry
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            CatalogueEntry.decode = function (reader, length, _end, _depth, _target) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $Reader.recursionLimit)
                    throw $Error("max depth exceeded");
                let end, message, value;
                if (length === $undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw $RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = _target || new $root.sailquay.flow.CatalogueEntry();
                while (reader.pos < end) {
                    let start = reader.pos;
                    let tag = reader.tag();
                    if (tag === _end) {
                        _end = $undefined;
                        break;
                    }
                    let wireType = tag & 7;
                    switch (tag >>>= 3) {
                    case 1: {
                            if (wireType !== 5)
                                break;
                            if (value = reader.fixed32())
                                message.id = value;
                            else
                                delete message.id;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 5)
                                break;
                            if (value = reader.fixed32())
                                message.serviceId = value;
                            else
                                delete message.serviceId;
                            continue;
                        }
                    case 3: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.stringVerify()).length)
                                message.host = value;
                            else
                                delete message.host;
                            continue;
                        }
                    case 4: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.port = value;
                            else
                                delete message.port;
                            continue;
                        }
                    case 5: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.idleTimeoutMs = value;
                            else
                                delete message.idleTimeoutMs;
                            continue;
                        }
                    case 6: {
                            if (wireType === 2) {
                                if (!(message.serviceAddresses && message.serviceAddresses.length))
                                    message.serviceAddresses = [];
                                reader.fixed32s(message.serviceAddresses);
                                continue;
                            }
                            if (wireType !== 5)
                                break;
                            if (!(message.serviceAddresses && message.serviceAddresses.length))
                                message.serviceAddresses = [];
                            message.serviceAddresses.push(reader.fixed32());
                            continue;
                        }
                    case 7: {
                            if (wireType === 2) {
                                if (!(message.servicePorts && message.servicePorts.length))
                                    message.servicePorts = [];
                                reader.uint32s(message.servicePorts);
                                continue;
                            }
                            if (wireType !== 0)
                                break;
                            if (!(message.servicePorts && message.servicePorts.length))
                                message.servicePorts = [];
                            message.servicePorts.push(reader.uint32());
                            continue;
                        }
                    }
                    reader.skipType(wireType, _depth, tag);
                    if (!reader.discardUnknown) {
                        $util.makeProp(message, "$unknowns", false);
                        (message.$unknowns || (message.$unknowns = [])).push(reader.raw(start, reader.pos));
                    }
                }
                if (length !== $undefined) {
                    if (reader.pos !== end)
                        throw $RangeError("index out of range");
                    reader.len = length;
                }
                if (_end !== $undefined)
                    throw $Error("missing end group");
                return message;
            };

            /**
             * Gets the type url for CatalogueEntry
             * @function getTypeUrl
             * @memberof sailquay.flow.CatalogueEntry
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            CatalogueEntry.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.flow.CatalogueEntry";
            };

            return CatalogueEntry;
        })();

        flow.CatalogueReply = (function() {

            /**
             * Properties of a CatalogueReply.
             * @typedef {Object} sailquay.flow.CatalogueReply.$Properties
             * @property {Array.<sailquay.flow.CatalogueEntry.$Properties>|null} [entries] CatalogueReply entries
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a CatalogueReply.
             * @memberof sailquay.flow
             * @interface ICatalogueReply
             * @augments sailquay.flow.CatalogueReply.$Properties
             * @deprecated Use sailquay.flow.CatalogueReply.$Properties instead.
             */

            /**
             * Shape of a CatalogueReply.
             * @typedef {sailquay.flow.CatalogueReply.$Properties} sailquay.flow.CatalogueReply.$Shape
             */

            /**
             * Constructs a new CatalogueReply.
             * @memberof sailquay.flow
             * @classdesc Represents a CatalogueReply.
             * @constructor
