/*eslint-disable block-scoped-var, id-length, no-control-regex, no-magic-numbers, no-mixed-operators, no-prototype-builtins, no-redeclare, no-shadow, no-var, sort-vars, default-case, jsdoc/require-param*/
import $protobuf from "protobufjs/minimal.js";

// Common aliases
const $Reader = $protobuf.Reader, $Writer = $protobuf.Writer, $util = $protobuf.util;
const $Object = $util.global.Object, $undefined = $util.global.undefined, $Error = $util.global.Error, $RangeError = $util.global.RangeError;

// Exported root namespace
const $root = $protobuf.roots["health"] || ($protobuf.roots["health"] = {});

export const sailquay = $root.sailquay = (() => {

    /**
     * Namespace sailquay.
     * @exports sailquay
     * @namespace
     */
    const sailquay = {};

    sailquay.health = (function() {

        /**
         * Namespace health.
         * @memberof sailquay
         * @namespace
         */
        const health = {};

        /**
         * Verdict enum.
         * @name sailquay.health.Verdict
         * @enum {number}
         * @property {number} VERDICT_NONE=0 VERDICT_NONE value
         * @property {number} VERDICT_HEALTHY=1 VERDICT_HEALTHY value
         * @property {number} VERDICT_UNHEALTHY=2 VERDICT_UNHEALTHY value
         */
        health.Verdict = (function() {
            const valuesById = $Object.create(null), values = $Object.create(valuesById);
            values[valuesById[0] = "VERDICT_NONE"] = 0;
            values[valuesById[1] = "VERDICT_HEALTHY"] = 1;
            values[valuesById[2] = "VERDICT_UNHEALTHY"] = 2;
            return values;
        })();

        health.HealthMessage = (function() {

            /**
             * Properties of a HealthMessage.
             * @typedef {Object} sailquay.health.HealthMessage.$Properties
             * @property {Array.<sailquay.health.MemberVotes.$Properties>|null} [members] HealthMessage members
             * @property {Array.<number>|null} [digest] HealthMessage digest
             * @property {boolean|null} [answer] HealthMessage answer
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a HealthMessage.
             * @memberof sailquay.health
             * @interface IHealthMessage
             * @augments sailquay.health.HealthMessage.$Properties
             * @deprecated Use sailquay.health.HealthMessage.$Properties instead.
             */

            /**
             * Shape of a HealthMessage.
             * @typedef {sailquay.health.HealthMessage.$Properties} sailquay.health.HealthMessage.$Shape
             */

            /**
             * Constructs a new HealthMessage.
             * @memberof sailquay.health
             * @classdesc Represents a HealthMessage.
             * @constructor
             * @param {sailquay.health.HealthMessage.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const HealthMessage = function (properties) {
                this.members = [];
                this.digest = [];
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * HealthMessage members.
             * @member {Array.<sailquay.health.MemberVotes.$Properties>} members
             * @memberof sailquay.health.HealthMessage
             * @instance
             */
            HealthMessage.prototype.members = $util.emptyArray;

            /**
             * HealthMessage digest.
             * @member {Array.<number>} digest
             * @memberof sailquay.health.HealthMessage
             * @instance
             */
            HealthMessage.prototype.digest = $util.emptyArray;

            /**
             * HealthMessage answer.
             * @member {boolean} answer
             * @memberof sailquay.health.HealthMessage
             * @instance
             */
            HealthMessage.prototype.answer = false;

            /**
             * Encodes the specified HealthMessage message. Does not implicitly {@link sailquay.health.HealthMessage.verify|verify} messages.
             * @function encode
             * @memberof sailquay.health.HealthMessage
             * @static
             * @param {sailquay.health.HealthMessage.$Properties} message HealthMessage message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            HealthMessage.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.members != null && message.members.length)
                    for (let i = 0; i < message.members.length; ++i)
                        $root.sailquay.health.MemberVotes.encode(message.members[i], writer.uint32(/* id 1, wireType 2 =*/10).fork(), _depth + 1).ldelim();
                if (message.digest != null && message.digest.length)
                    writer.uint32(/* id 2, wireType 2 =*/18).fixed32s(message.digest);
                if (message.answer != null && $Object.hasOwnProperty.call(message, "answer") && message.answer !== false)
                    writer.uint32(/* id 3, wireType 0 =*/24).bool(message.answer);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a HealthMessage message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.health.HealthMessage
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.health.HealthMessage & sailquay.health.HealthMessage.$Shape} HealthMessage
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            HealthMessage.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.health.HealthMessage();
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
                            if (!(message.members && message.members.length))
                                message.members = [];
                            message.members.push($root.sailquay.health.MemberVotes.decode(reader, reader.size(), $undefined, _depth + 1));
                            continue;
                        }
                    case 2: {
                            if (wireType === 2) {
                                if (!(message.digest && message.digest.length))
                                    message.digest = [];
                                reader.fixed32s(message.digest);
                                continue;
                            }
                            if (wireType !== 5)
                                break;
                            if (!(message.digest && message.digest.length))
                                message.digest = [];
                            message.digest.push(reader.fixed32());
                            continue;
                        }
                    case 3: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.bool())
                                message.answer = value;
                            else
                                delete message.answer;
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
             * Gets the type url for HealthMessage
             * @function getTypeUrl
             * @memberof sailquay.health.HealthMessage
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            HealthMessage.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.health.HealthMessage";
            };

            return HealthMessage;
        })();

        health.MemberVotes = (function() {

            /**
             * Properties of a MemberVotes.
             * @typedef {Object} sailquay.health.MemberVotes.$Properties
             * @property {number|null} [memberId] MemberVotes memberId
             * @property {Array.<sailquay.health.BackendVote.$Properties>|null} [votes] MemberVotes votes
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a MemberVotes.
             * @memberof sailquay.health
             * @interface IMemberVotes
             * @augments sailquay.health.MemberVotes.$Properties
             * @deprecated Use sailquay.health.MemberVotes.$Properties instead.
             */

            /**
             * Shape of a MemberVotes.
             * @typedef {sailquay.health.MemberVotes.$Properties} sailquay.health.MemberVotes.$Shape
             */

            /**
             * Constructs a new MemberVotes.
             * @memberof sailquay.health
             * @classdesc Represents a MemberVotes.
             * @constructor
             * @param {sailquay.health.MemberVotes.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const MemberVotes = function (properties) {
                this.votes = [];
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * MemberVotes memberId.
             * @member {number} memberId
             * @memberof sailquay.health.MemberVotes
             * @instance
             */
            MemberVotes.prototype.memberId = 0;

            /**
             * MemberVotes votes.
             * @member {Array.<sailquay.health.BackendVote.$Properties>} votes
             * @memberof sailquay.health.MemberVotes
             * @instance
             */
            MemberVotes.prototype.votes = $util.emptyArray;

            /**
             * Encodes the specified MemberVotes message. Does not implicitly {@link sailquay.health.MemberVotes.verify|verify} messages.
             * @function encode
             * @memberof sailquay.health.MemberVotes
             * @static
             * @param {sailquay.health.MemberVotes.$Properties} message MemberVotes message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            MemberVotes.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.memberId != null && $Object.hasOwnProperty.call(message, "memberId") && message.memberId !== 0)
                    writer.uint32(/* id 1, wireType 5 =*/13).fixed32(message.memberId);
                if (message.votes != null && message.votes.length)
                    for (let i = 0; i < message.votes.length; ++i)
                        $root.sailquay.health.BackendVote.encode(message.votes[i], writer.uint32(/* id 2, wireType 2 =*/18).fork(), _depth + 1).ldelim();
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a MemberVotes message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.health.MemberVotes
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.health.MemberVotes & sailquay.health.MemberVotes.$Shape} MemberVotes
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            MemberVotes.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.health.MemberVotes();
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
                                message.memberId = value;
                            else
                                delete message.memberId;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 2)
                                break;
                            if (!(message.votes && message.votes.length))
                                message.votes = [];
                            message.votes.push($root.sailquay.health.BackendVote.decode(reader, reader.size(), $undefined, _depth + 1));
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
             * Gets the type url for MemberVotes
             * @function getTypeUrl
             * @memberof sailquay.health.MemberVotes
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            MemberVotes.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.health.MemberVotes";
            };

            return MemberVotes;
        })();

        health.BackendVote = (function() {

            /**
             * Properties of a BackendVote.
             * @typedef {Object} sailquay.health.BackendVote.$Properties
             * @property {number|null} [backendId] BackendVote backendId
             * @property {number|null} [version] BackendVote version
             * @property {sailquay.health.Verdict|null} [verdict] BackendVote verdict
             * @property {number|null} [passiveFailures] BackendVote passiveFailures
             * @property {sailquay.health.LoadReport.$Properties|null} [load] BackendVote load
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a BackendVote.
             * @memberof sailquay.health
             * @interface IBackendVote
             * @augments sailquay.health.BackendVote.$Properties
             * @deprecated Use sailquay.health.BackendVote.$Properties instead.
             */

            /**
             * Shape of a BackendVote.
             * @typedef {sailquay.health.BackendVote.$Properties} sailquay.health.BackendVote.$Shape
             */

            /**
             * Constructs a new BackendVote.
             * @memberof sailquay.health
             * @classdesc Represents a BackendVote.
             * @constructor
             * @param {sailquay.health.BackendVote.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const BackendVote = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * BackendVote backendId.
             * @member {number} backendId
             * @memberof sailquay.health.BackendVote
             * @instance
             */
            BackendVote.prototype.backendId = 0;

            /**
             * BackendVote version.
             * @member {number} version
             * @memberof sailquay.health.BackendVote
             * @instance
             */
            BackendVote.prototype.version = 0;

            /**
             * BackendVote verdict.
             * @member {sailquay.health.Verdict} verdict
             * @memberof sailquay.health.BackendVote
             * @instance
             */
            BackendVote.prototype.verdict = 0;

            /**
             * BackendVote passiveFailures.
             * @member {number} passiveFailures
             * @memberof sailquay.health.BackendVote
             * @instance
             */
            BackendVote.prototype.passiveFailures = 0;

            /**
             * BackendVote load.
             * @member {sailquay.health.LoadReport.$Properties|null|undefined} load
             * @memberof sailquay.health.BackendVote
             * @instance
             */
            BackendVote.prototype.load = null;

            /**
             * Encodes the specified BackendVote message. Does not implicitly {@link sailquay.health.BackendVote.verify|verify} messages.
             * @function encode
             * @memberof sailquay.health.BackendVote
             * @static
             * @param {sailquay.health.BackendVote.$Properties} message BackendVote message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            BackendVote.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.backendId != null && $Object.hasOwnProperty.call(message, "backendId") && message.backendId !== 0)
                    writer.uint32(/* id 1, wireType 5 =*/13).fixed32(message.backendId);
                if (message.version != null && $Object.hasOwnProperty.call(message, "version") && message.version !== 0)
                    writer.uint32(/* id 2, wireType 5 =*/21).fixed32(message.version);
                if (message.verdict != null && $Object.hasOwnProperty.call(message, "verdict") && message.verdict !== 0)
                    writer.uint32(/* id 3, wireType 0 =*/24).int32(message.verdict);
                if (message.passiveFailures != null && $Object.hasOwnProperty.call(message, "passiveFailures") && message.passiveFailures !== 0)
                    writer.uint32(/* id 4, wireType 0 =*/32).uint32(message.passiveFailures);
                if (message.load != null && $Object.hasOwnProperty.call(message, "load"))
                    $root.sailquay.health.LoadReport.encode(message.load, writer.uint32(/* id 5, wireType 2 =*/42).fork(), _depth + 1).ldelim();
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a BackendVote message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.health.BackendVote
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.health.BackendVote & sailquay.health.BackendVote.$Shape} BackendVote
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            BackendVote.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.health.BackendVote();
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
                                message.backendId = value;
                            else
                                delete message.backendId;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 5)
                                break;
                            if (value = reader.fixed32())
                                message.version = value;
                            else
                                delete message.version;
                            continue;
                        }
                    case 3: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.int32())
                                message.verdict = value;
                            else
                                delete message.verdict;
                            continue;
                        }
                    case 4: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.passiveFailures = value;
                            else
                                delete message.passiveFailures;
                            continue;
                        }
                    case 5: {
                            if (wireType !== 2)
                                break;
                            message.load = $root.sailquay.health.LoadReport.decode(reader, reader.size(), $undefined, _depth + 1, message.load);
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
             * Gets the type url for BackendVote
             * @function getTypeUrl
             * @memberof sailquay.health.BackendVote
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            BackendVote.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.health.BackendVote";
            };

            return BackendVote;
        })();

        health.LoadReport = (function() {

            /**
             * Properties of a LoadReport.
             * @typedef {Object} sailquay.health.LoadReport.$Properties
             * @property {number|null} [openFlows] LoadReport openFlows
             * @property {number|null} [capacity] LoadReport capacity
             * @property {number|null} [ageMs] LoadReport ageMs
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a LoadReport.
             * @memberof sailquay.health
             * @interface ILoadReport
             * @augments sailquay.health.LoadReport.$Properties
             * @deprecated Use sailquay.health.LoadReport.$Properties instead.
             */

            /**
             * Shape of a LoadReport.
             * @typedef {sailquay.health.LoadReport.$Properties} sailquay.health.LoadReport.$Shape
             */

            /**
             * Constructs a new LoadReport.
             * @memberof sailquay.health
             * @classdesc Represents a LoadReport.
             * @constructor
             * @param {sailquay.health.LoadReport.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const LoadReport = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * LoadReport openFlows.
             * @member {number} openFlows
             * @memberof sailquay.health.LoadReport
             * @instance
             */
            LoadReport.prototype.openFlows = 0;

            /**
             * LoadReport capacity.
             * @member {number} capacity
             * @memberof sailquay.health.LoadReport
             * @instance
             */
            LoadReport.prototype.capacity = 0;

            /**
             * LoadReport ageMs.
             * @member {number} ageMs
             * @memberof sailquay.health.LoadReport
             * @instance
             */
            LoadReport.prototype.ageMs = 0;

            /**
             * Encodes the specified LoadReport message. Does not implicitly {@link sailquay.health.LoadReport.verify|verify} messages.
             * @function encode
             * @memberof sailquay.health.LoadReport
             * @static
             * @param {sailquay.health.LoadReport.$Properties} message LoadReport message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            LoadReport.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.openFlows != null && $Object.hasOwnProperty.call(message, "openFlows") && message.openFlows !== 0)
                    writer.uint32(/* id 1, wireType 0 =*/8).uint32(message.openFlows);
                if (message.capacity != null && $Object.hasOwnProperty.call(message, "capacity") && message.capacity !== 0)
                    writer.uint32(/* id 2, wireType 0 =*/16).uint32(message.capacity);
                if (message.ageMs != null && $Object.hasOwnProperty.call(message, "ageMs") && message.ageMs !== 0)
                    writer.uint32(/* id 3, wireType 0 =*/24).uint32(message.ageMs);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a LoadReport message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.health.LoadReport
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.health.LoadReport & sailquay.health.LoadReport.$Shape} LoadReport
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            LoadReport.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.health.LoadReport();
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
                                message.openFlows = value;
                            else
                                delete message.openFlows;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.capacity = value;
                            else
                                delete message.capacity;
                            continue;
                        }
                    case 3: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.ageMs = value;
                            else
                                delete message.ageMs;
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
             * Gets the type url for LoadReport
             * @function getTypeUrl
             * @memberof sailquay.health.LoadReport
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            LoadReport.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.health.LoadReport";
            };

            return LoadReport;
        })();

        return health;
    })();

    return sailquay;
})();

export {
  $root as default
};
