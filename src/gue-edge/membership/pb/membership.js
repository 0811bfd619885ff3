/*eslint-disable block-scoped-var, id-length, no-control-regex, no-magic-numbers, no-mixed-operators, no-prototype-builtins, no-redeclare, no-shadow, no-var, sort-vars, default-case, jsdoc/require-param*/
import $protobuf from "protobufjs/minimal.js";

// Common aliases
const $Reader = $protobuf.Reader, $Writer = $protobuf.Writer, $util = $protobuf.util;
const $Object = $util.global.Object, $undefined = $util.global.undefined, $Error = $util.global.Error, $RangeError = $util.global.RangeError;

// Exported root namespace
const $root = $protobuf.roots["membership"] || ($protobuf.roots["membership"] = {});

export const sailquay = $root.sailquay = (() => {

    /**
     * Namespace sailquay.
     * @exports sailquay
     * @namespace
     */
    const sailquay = {};

    sailquay.membership = (function() {

        /**
         * Namespace membership.
         * @memberof sailquay
         * @namespace
         */
        const membership = {};

        membership.MemberEntry = (function() {

            /**
             * Properties of a MemberEntry.
             * @typedef {Object} sailquay.membership.MemberEntry.$Properties
             * @property {string|null} [id] MemberEntry id
             * @property {number|null} [idHash] MemberEntry idHash
             * @property {string|null} [zone] MemberEntry zone
             * @property {Uint8Array|null} [endpoints] MemberEntry endpoints
             * @property {number|null} [incarnation] MemberEntry incarnation
             * @property {number|null} [refutation] MemberEntry refutation
             * @property {number|null} [state] MemberEntry state
             * @property {number|null} [accuserHash] MemberEntry accuserHash
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a MemberEntry.
             * @memberof sailquay.membership
             * @interface IMemberEntry
             * @augments sailquay.membership.MemberEntry.$Properties
             * @deprecated Use sailquay.membership.MemberEntry.$Properties instead.
             */

            /**
             * Shape of a MemberEntry.
             * @typedef {sailquay.membership.MemberEntry.$Properties} sailquay.membership.MemberEntry.$Shape
             */

            /**
             * Constructs a new MemberEntry.
             * @memberof sailquay.membership
             * @classdesc Represents a MemberEntry.
             * @constructor
             * @param {sailquay.membership.MemberEntry.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const MemberEntry = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * MemberEntry id.
             * @member {string} id
             * @memberof sailquay.membership.MemberEntry
             * @instance
             */
            MemberEntry.prototype.id = "";

            /**
             * MemberEntry idHash.
             * @member {number} idHash
             * @memberof sailquay.membership.MemberEntry
             * @instance
             */
            MemberEntry.prototype.idHash = 0;

            /**
             * MemberEntry zone.
             * @member {string} zone
             * @memberof sailquay.membership.MemberEntry
             * @instance
             */
            MemberEntry.prototype.zone = "";

            /**
             * MemberEntry endpoints.
             * @member {Uint8Array} endpoints
             * @memberof sailquay.membership.MemberEntry
             * @instance
             */
            MemberEntry.prototype.endpoints = $util.newBuffer([]);

            /**
             * MemberEntry incarnation.
             * @member {number} incarnation
             * @memberof sailquay.membership.MemberEntry
             * @instance
             */
            MemberEntry.prototype.incarnation = 0;

            /**
             * MemberEntry refutation.
             * @member {number} refutation
             * @memberof sailquay.membership.MemberEntry
             * @instance
             */
            MemberEntry.prototype.refutation = 0;

            /**
             * MemberEntry state.
             * @member {number} state
             * @memberof sailquay.membership.MemberEntry
             * @instance
             */
            MemberEntry.prototype.state = 0;

            /**
             * MemberEntry accuserHash.
             * @member {number} accuserHash
             * @memberof sailquay.membership.MemberEntry
             * @instance
             */
            MemberEntry.prototype.accuserHash = 0;

            /**
             * Encodes the specified MemberEntry message. Does not implicitly {@link sailquay.membership.MemberEntry.verify|verify} messages.
             * @function encode
             * @memberof sailquay.membership.MemberEntry
             * @static
             * @param {sailquay.membership.MemberEntry.$Properties} message MemberEntry message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            MemberEntry.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.id != null && $Object.hasOwnProperty.call(message, "id") && message.id !== "")
                    writer.uint32(/* id 1, wireType 2 =*/10).string(message.id);
                if (message.idHash != null && $Object.hasOwnProperty.call(message, "idHash") && message.idHash !== 0)
                    writer.uint32(/* id 2, wireType 5 =*/21).fixed32(message.idHash);
                if (message.zone != null && $Object.hasOwnProperty.call(message, "zone") && message.zone !== "")
                    writer.uint32(/* id 3, wireType 2 =*/26).string(message.zone);
                if (message.endpoints != null && $Object.hasOwnProperty.call(message, "endpoints") && message.endpoints.length)
                    writer.uint32(/* id 4, wireType 2 =*/34).bytes(message.endpoints);
                if (message.incarnation != null && $Object.hasOwnProperty.call(message, "incarnation") && !$Object.is(message.incarnation, 0))
                    writer.uint32(/* id 5, wireType 1 =*/41).double(message.incarnation);
                if (message.refutation != null && $Object.hasOwnProperty.call(message, "refutation") && message.refutation !== 0)
                    writer.uint32(/* id 6, wireType 0 =*/48).uint32(message.refutation);
                if (message.state != null && $Object.hasOwnProperty.call(message, "state") && message.state !== 0)
                    writer.uint32(/* id 7, wireType 0 =*/56).uint32(message.state);
                if (message.accuserHash != null && $Object.hasOwnProperty.call(message, "accuserHash") && message.accuserHash !== 0)
                    writer.uint32(/* id 8, wireType 5 =*/69).fixed32(message.accuserHash);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a MemberEntry message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.membership.MemberEntry
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.membership.MemberEntry & sailquay.membership.MemberEntry.$Shape} MemberEntry
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            MemberEntry.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.membership.MemberEntry();
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
                            if ((value = reader.stringVerify()).length)
                                message.id = value;
                            else
                                delete message.id;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 5)
                                break;
                            if (value = reader.fixed32())
                                message.idHash = value;
                            else
                                delete message.idHash;
                            continue;
                        }
                    case 3: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.stringVerify()).length)
                                message.zone = value;
                            else
                                delete message.zone;
                            continue;
                        }
                    case 4: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.bytes()).length)
                                message.endpoints = value;
                            else
                                delete message.endpoints;
                            continue;
                        }
                    case 5: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.incarnation = value;
                            else
                                delete message.incarnation;
                            continue;
                        }
                    case 6: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.refutation = value;
                            else
                                delete message.refutation;
                            continue;
                        }
                    case 7: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.state = value;
                            else
                                delete message.state;
                            continue;
                        }
                    case 8: {
                            if (wireType !== 5)
                                break;
                            if (value = reader.fixed32())
                                message.accuserHash = value;
                            else
                                delete message.accuserHash;
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
             * Gets the type url for MemberEntry
             * @function getTypeUrl
             * @memberof sailquay.membership.MemberEntry
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            MemberEntry.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.membership.MemberEntry";
            };

            return MemberEntry;
        })();

        /**
         * MessageType enum.
         * @name sailquay.membership.MessageType
         * @enum {number}
         * @property {number} UNSPECIFIED=0 UNSPECIFIED value
         * @property {number} PING=1 PING value
         * @property {number} ACK=2 ACK value
         * @property {number} INDIRECT_PING=3 INDIRECT_PING value
         * @property {number} NEGATIVE_ACK=4 NEGATIVE_ACK value
         * @property {number} GOSSIP=5 GOSSIP value
         * @property {number} SYNC_REQUEST=6 SYNC_REQUEST value
         * @property {number} SYNC_STATE=7 SYNC_STATE value
         * @property {number} QUORUM_BASE_REQUEST=8 QUORUM_BASE_REQUEST value
         * @property {number} QUORUM_BASE=9 QUORUM_BASE value
         */
        membership.MessageType = (function() {
            const valuesById = $Object.create(null), values = $Object.create(valuesById);
            values[valuesById[0] = "UNSPECIFIED"] = 0;
            values[valuesById[1] = "PING"] = 1;
            values[valuesById[2] = "ACK"] = 2;
            values[valuesById[3] = "INDIRECT_PING"] = 3;
            values[valuesById[4] = "NEGATIVE_ACK"] = 4;
            values[valuesById[5] = "GOSSIP"] = 5;
            values[valuesById[6] = "SYNC_REQUEST"] = 6;
            values[valuesById[7] = "SYNC_STATE"] = 7;
            values[valuesById[8] = "QUORUM_BASE_REQUEST"] = 8;
            values[valuesById[9] = "QUORUM_BASE"] = 9;
            return values;
        })();

        membership.MembershipMessage = (function() {

            /**
             * Properties of a MembershipMessage.
             * @typedef {Object} sailquay.membership.MembershipMessage.$Properties
             * @property {sailquay.membership.MessageType|null} [type] MembershipMessage type
             * @property {number|null} [sequence] MembershipMessage sequence
             * @property {number|null} [regionHash] MembershipMessage regionHash
             * @property {number|null} [settingsVersion] MembershipMessage settingsVersion
             * @property {number|null} [targetHash] MembershipMessage targetHash
             * @property {Array.<Uint8Array>|null} [entries] MembershipMessage entries
             * @property {Array.<number>|null} [bucketDigests] MembershipMessage bucketDigests
             * @property {number|null} [wantedBuckets] MembershipMessage wantedBuckets
             * @property {number|null} [baseEpoch] MembershipMessage baseEpoch
             * @property {Array.<number>|null} [baseMembers] MembershipMessage baseMembers
             * @property {number|null} [part] MembershipMessage part
             * @property {number|null} [parts] MembershipMessage parts
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a MembershipMessage.
             * @memberof sailquay.membership
             * @interface IMembershipMessage
             * @augments sailquay.membership.MembershipMessage.$Properties
             * @deprecated Use sailquay.membership.MembershipMessage.$Properties instead.
             */

            /**
             * Shape of a MembershipMessage.
             * @typedef {sailquay.membership.MembershipMessage.$Properties} sailquay.membership.MembershipMessage.$Shape
             */

            /**
             * Constructs a new MembershipMessage.
             * @memberof sailquay.membership
             * @classdesc Represents a MembershipMessage.
             * @constructor
             * @param {sailquay.membership.MembershipMessage.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const MembershipMessage = function (properties) {
                this.entries = [];
                this.bucketDigests = [];
                this.baseMembers = [];
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * MembershipMessage type.
             * @member {sailquay.membership.MessageType} type
             * @memberof sailquay.membership.MembershipMessage
             * @instance
             */
            MembershipMessage.prototype.type = 0;

            /**
             * MembershipMessage sequence.
             * @member {number} sequence
             * @memberof sailquay.membership.MembershipMessage
             * @instance
             */
            MembershipMessage.prototype.sequence = 0;

            /**
             * MembershipMessage regionHash.
             * @member {number} regionHash
             * @memberof sailquay.membership.MembershipMessage
             * @instance
             */
            MembershipMessage.prototype.regionHash = 0;

            /**
             * MembershipMessage settingsVersion.
             * @member {number} settingsVersion
             * @memberof sailquay.membership.MembershipMessage
             * @instance
             */
            MembershipMessage.prototype.settingsVersion = 0;

            /**
             * MembershipMessage targetHash.
             * @member {number} targetHash
             * @memberof sailquay.membership.MembershipMessage
             * @instance
             */
            MembershipMessage.prototype.targetHash = 0;

            /**
             * MembershipMessage entries.
             * @member {Array.<Uint8Array>} entries
             * @memberof sailquay.membership.MembershipMessage
             * @instance
             */
            MembershipMessage.prototype.entries = $util.emptyArray;

            /**
             * MembershipMessage bucketDigests.
             * @member {Array.<number>} bucketDigests
             * @memberof sailquay.membership.MembershipMessage
             * @instance
             */
            MembershipMessage.prototype.bucketDigests = $util.emptyArray;

            /**
             * MembershipMessage wantedBuckets.
             * @member {number} wantedBuckets
             * @memberof sailquay.membership.MembershipMessage
             * @instance
             */
            MembershipMessage.prototype.wantedBuckets = 0;

            /**
             * MembershipMessage baseEpoch.
             * @member {number} baseEpoch
             * @memberof sailquay.membership.MembershipMessage
             * @instance
             */
            MembershipMessage.prototype.baseEpoch = 0;

            /**
             * MembershipMessage baseMembers.
             * @member {Array.<number>} baseMembers
             * @memberof sailquay.membership.MembershipMessage
             * @instance
             */
            MembershipMessage.prototype.baseMembers = $util.emptyArray;

            /**
             * MembershipMessage part.
             * @member {number} part
             * @memberof sailquay.membership.MembershipMessage
             * @instance
             */
            MembershipMessage.prototype.part = 0;

            /**
             * MembershipMessage parts.
             * @member {number} parts
             * @memberof sailquay.membership.MembershipMessage
             * @instance
             */
            MembershipMessage.prototype.parts = 0;

            /**
             * Encodes the specified MembershipMessage message. Does not implicitly {@link sailquay.membership.MembershipMessage.verify|verify} messages.
             * @function encode
             * @memberof sailquay.membership.MembershipMessage
             * @static
             * @param {sailquay.membership.MembershipMessage.$Properties} message MembershipMessage message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            MembershipMessage.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.type != null && $Object.hasOwnProperty.call(message, "type") && message.type !== 0)
                    writer.uint32(/* id 1, wireType 0 =*/8).int32(message.type);
                if (message.sequence != null && $Object.hasOwnProperty.call(message, "sequence") && message.sequence !== 0)
                    writer.uint32(/* id 2, wireType 0 =*/16).uint32(message.sequence);
                if (message.regionHash != null && $Object.hasOwnProperty.call(message, "regionHash") && message.regionHash !== 0)
                    writer.uint32(/* id 3, wireType 5 =*/29).fixed32(message.regionHash);
                if (message.settingsVersion != null && $Object.hasOwnProperty.call(message, "settingsVersion") && !$Object.is(message.settingsVersion, 0))
                    writer.uint32(/* id 4, wireType 1 =*/33).double(message.settingsVersion);
                if (message.targetHash != null && $Object.hasOwnProperty.call(message, "targetHash") && message.targetHash !== 0)
                    writer.uint32(/* id 5, wireType 5 =*/45).fixed32(message.targetHash);
                if (message.entries != null && message.entries.length)
                    for (let i = 0; i < message.entries.length; ++i)
                        writer.uint32(/* id 6, wireType 2 =*/50).bytes(message.entries[i]);
                if (message.bucketDigests != null && message.bucketDigests.length)
                    writer.uint32(/* id 7, wireType 2 =*/58).fixed32s(message.bucketDigests);
                if (message.wantedBuckets != null && $Object.hasOwnProperty.call(message, "wantedBuckets") && message.wantedBuckets !== 0)
                    writer.uint32(/* id 8, wireType 5 =*/69).fixed32(message.wantedBuckets);
                if (message.baseEpoch != null && $Object.hasOwnProperty.call(message, "baseEpoch") && message.baseEpoch !== 0)
                    writer.uint32(/* id 9, wireType 0 =*/72).uint32(message.baseEpoch);
                if (message.baseMembers != null && message.baseMembers.length)
                    writer.uint32(/* id 10, wireType 2 =*/82).fixed32s(message.baseMembers);
                if (message.part != null && $Object.hasOwnProperty.call(message, "part") && message.part !== 0)
                    writer.uint32(/* id 11, wireType 0 =*/88).uint32(message.part);
                if (message.parts != null && $Object.hasOwnProperty.call(message, "parts") && message.parts !== 0)
                    writer.uint32(/* id 12, wireType 0 =*/96).uint32(message.parts);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a MembershipMessage message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.membership.MembershipMessage
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.membership.MembershipMessage & sailquay.membership.MembershipMessage.$Shape} MembershipMessage
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            MembershipMessage.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.membership.MembershipMessage();
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
                                message.type = value;
                            else
                                delete message.type;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.sequence = value;
                            else
                                delete message.sequence;
                            continue;
                        }
                    case 3: {
                            if (wireType !== 5)
                                break;
                            if (value = reader.fixed32())
                                message.regionHash = value;
                            else
                                delete message.regionHash;
                            continue;
                        }
                    case 4: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.settingsVersion = value;
                            else
                                delete message.settingsVersion;
                            continue;
                        }
                    case 5: {
                            if (wireType !== 5)
                                break;
                            if (value = reader.fixed32())
                                message.targetHash = value;
                            else
                                delete message.targetHash;
                            continue;
                        }
                    case 6: {
                            if (wireType !== 2)
                                break;
                            if (!(message.entries && message.entries.length))
                                message.entries = [];
                            message.entries.push(reader.bytes());
                            continue;
                        }
                    case 7: {
                            if (wireType === 2) {
                                if (!(message.bucketDigests && message.bucketDigests.length))
                                    message.bucketDigests = [];
                                reader.fixed32s(message.bucketDigests);
                                continue;
                            }
                            if (wireType !== 5)
                                break;
                            if (!(message.bucketDigests && message.bucketDigests.length))
                                message.bucketDigests = [];
                            message.bucketDigests.push(reader.fixed32());
                            continue;
                        }
                    case 8: {
                            if (wireType !== 5)
                                break;
                            if (value = reader.fixed32())
                                message.wantedBuckets = value;
                            else
                                delete message.wantedBuckets;
                            continue;
                        }
                    case 9: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.baseEpoch = value;
                            else
                                delete message.baseEpoch;
                            continue;
                        }
                    case 10: {
                            if (wireType === 2) {
                                if (!(message.baseMembers && message.baseMembers.length))
                                    message.baseMembers = [];
                                reader.fixed32s(message.baseMembers);
                                continue;
                            }
                            if (wireType !== 5)
                                break;
                            if (!(message.baseMembers && message.baseMembers.length))
                                message.baseMembers = [];
                            message.baseMembers.push(reader.fixed32());
                            continue;
                        }
                    case 11: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.part = value;
                            else
                                delete message.part;
                            continue;
                        }
                    case 12: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.parts = value;
                            else
                                delete message.parts;
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
             * Gets the type url for MembershipMessage
             * @function getTypeUrl
             * @memberof sailquay.membership.MembershipMessage
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            MembershipMessage.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.membership.MembershipMessage";
            };

            return MembershipMessage;
        })();

        return membership;
    })();

    return sailquay;
})();

export {
  $root as default
};
