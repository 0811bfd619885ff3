/*eslint-disable block-scoped-var, id-length, no-control-regex, no-magic-numbers, no-mixed-operators, no-prototype-builtins, no-redeclare, no-shadow, no-var, sort-vars, default-case, jsdoc/require-param*/
import $protobuf from "protobufjs/minimal.js";

// Common aliases
const $Reader = $protobuf.Reader, $Writer = $protobuf.Writer, $util = $protobuf.util;
const $Object = $util.global.Object, $undefined = $util.global.undefined, $Error = $util.global.Error, $RangeError = $util.global.RangeError;

// Exported root namespace
const $root = $protobuf.roots["spreading"] || ($protobuf.roots["spreading"] = {});

export const sailquay = $root.sailquay = (() => {

    /**
     * Namespace sailquay.
     * @exports sailquay
     * @namespace
     */
    const sailquay = {};

    sailquay.spreading = (function() {

        /**
         * Namespace spreading.
         * @memberof sailquay
         * @namespace
         */
        const spreading = {};

        /**
         * MessageType enum.
         * @name sailquay.spreading.MessageType
         * @enum {number}
         * @property {number} UNKNOWN_TYPE=0 UNKNOWN_TYPE value
         * @property {number} NEWS=1 NEWS value
         * @property {number} PULL=2 PULL value
         * @property {number} STATE=3 STATE value
         */
        spreading.MessageType = (function() {
            const valuesById = $Object.create(null), values = $Object.create(valuesById);
            values[valuesById[0] = "UNKNOWN_TYPE"] = 0;
            values[valuesById[1] = "NEWS"] = 1;
            values[valuesById[2] = "PULL"] = 2;
            values[valuesById[3] = "STATE"] = 3;
            return values;
        })();

        /**
         * Topic enum.
         * @name sailquay.spreading.Topic
         * @enum {number}
         * @property {number} UNKNOWN_TOPIC=0 UNKNOWN_TOPIC value
         * @property {number} ROUTES=1 ROUTES value
         * @property {number} BACKENDS=2 BACKENDS value
         * @property {number} CORDONS=3 CORDONS value
         */
        spreading.Topic = (function() {
            const valuesById = $Object.create(null), values = $Object.create(valuesById);
            values[valuesById[0] = "UNKNOWN_TOPIC"] = 0;
            values[valuesById[1] = "ROUTES"] = 1;
            values[valuesById[2] = "BACKENDS"] = 2;
            values[valuesById[3] = "CORDONS"] = 3;
            return values;
        })();

        spreading.Peer = (function() {

            /**
             * Properties of a Peer.
             * @typedef {Object} sailquay.spreading.Peer.$Properties
             * @property {number|null} [address] Peer address
             * @property {number|null} [port] Peer port
             * @property {string|null} [zone] Peer zone
             * @property {number|null} [ageMs] Peer ageMs
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a Peer.
             * @memberof sailquay.spreading
             * @interface IPeer
             * @augments sailquay.spreading.Peer.$Properties
             * @deprecated Use sailquay.spreading.Peer.$Properties instead.
             */

            /**
             * Shape of a Peer.
             * @typedef {sailquay.spreading.Peer.$Properties} sailquay.spreading.Peer.$Shape
             */

            /**
             * Constructs a new Peer.
             * @memberof sailquay.spreading
             * @classdesc Represents a Peer.
             * @constructor
             * @param {sailquay.spreading.Peer.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const Peer = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * Peer address.
             * @member {number} address
             * @memberof sailquay.spreading.Peer
             * @instance
             */
            Peer.prototype.address = 0;

            /**
             * Peer port.
             * @member {number} port
             * @memberof sailquay.spreading.Peer
             * @instance
             */
            Peer.prototype.port = 0;

            /**
             * Peer zone.
             * @member {string} zone
             * @memberof sailquay.spreading.Peer
             * @instance
             */
            Peer.prototype.zone = "";

            /**
             * Peer ageMs.
             * @member {number} ageMs
             * @memberof sailquay.spreading.Peer
             * @instance
             */
            Peer.prototype.ageMs = 0;

            /**
             * Encodes the specified Peer message. Does not implicitly {@link sailquay.spreading.Peer.verify|verify} messages.
             * @function encode
             * @memberof sailquay.spreading.Peer
             * @static
             * @param {sailquay.spreading.Peer.$Properties} message Peer message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            Peer.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.address != null && $Object.hasOwnProperty.call(message, "address") && message.address !== 0)
                    writer.uint32(/* id 1, wireType 5 =*/13).fixed32(message.address);
                if (message.port != null && $Object.hasOwnProperty.call(message, "port") && message.port !== 0)
                    writer.uint32(/* id 2, wireType 0 =*/16).uint32(message.port);
                if (message.zone != null && $Object.hasOwnProperty.call(message, "zone") && message.zone !== "")
                    writer.uint32(/* id 3, wireType 2 =*/26).string(message.zone);
                if (message.ageMs != null && $Object.hasOwnProperty.call(message, "ageMs") && message.ageMs !== 0)
                    writer.uint32(/* id 4, wireType 0 =*/32).uint32(message.ageMs);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a Peer message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.spreading.Peer
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.spreading.Peer & sailquay.spreading.Peer.$Shape} Peer
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            Peer.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.spreading.Peer();
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
                                message.address = value;
                            else
                                delete message.address;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.port = value;
                            else
                                delete message.port;
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
             * Gets the type url for Peer
             * @function getTypeUrl
             * @memberof sailquay.spreading.Peer
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            Peer.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.spreading.Peer";
            };

            return Peer;
        })();

        spreading.Proof = (function() {

            /**
             * Properties of a Proof.
             * @typedef {Object} sailquay.spreading.Proof.$Properties
             * @property {sailquay.spreading.Topic|null} [topic] Proof topic
             * @property {number|null} [revision] Proof revision
             * @property {number|null} [changedRevision] Proof changedRevision
             * @property {number|null} [ageMs] Proof ageMs
             * @property {number|null} [epoch] Proof epoch
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a Proof.
             * @memberof sailquay.spreading
             * @interface IProof
             * @augments sailquay.spreading.Proof.$Properties
             * @deprecated Use sailquay.spreading.Proof.$Properties instead.
             */

            /**
             * Shape of a Proof.
             * @typedef {sailquay.spreading.Proof.$Properties} sailquay.spreading.Proof.$Shape
             */

            /**
             * Constructs a new Proof.
             * @memberof sailquay.spreading
             * @classdesc Represents a Proof.
             * @constructor
             * @param {sailquay.spreading.Proof.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const Proof = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * Proof topic.
             * @member {sailquay.spreading.Topic} topic
             * @memberof sailquay.spreading.Proof
             * @instance
             */
            Proof.prototype.topic = 0;

            /**
             * Proof revision.
             * @member {number} revision
             * @memberof sailquay.spreading.Proof
             * @instance
             */
            Proof.prototype.revision = 0;

            /**
             * Proof changedRevision.
             * @member {number} changedRevision
             * @memberof sailquay.spreading.Proof
             * @instance
             */
            Proof.prototype.changedRevision = 0;

            /**
             * Proof ageMs.
             * @member {number} ageMs
             * @memberof sailquay.spreading.Proof
             * @instance
             */
            Proof.prototype.ageMs = 0;

            /**
             * Proof epoch.
             * @member {number} epoch
             * @memberof sailquay.spreading.Proof
             * @instance
             */
            Proof.prototype.epoch = 0;

            /**
             * Encodes the specified Proof message. Does not implicitly {@link sailquay.spreading.Proof.verify|verify} messages.
             * @function encode
             * @memberof sailquay.spreading.Proof
             * @static
             * @param {sailquay.spreading.Proof.$Properties} message Proof message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            Proof.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.topic != null && $Object.hasOwnProperty.call(message, "topic") && message.topic !== 0)
                    writer.uint32(/* id 1, wireType 0 =*/8).int32(message.topic);
                if (message.revision != null && $Object.hasOwnProperty.call(message, "revision") && !$Object.is(message.revision, 0))
                    writer.uint32(/* id 2, wireType 1 =*/17).double(message.revision);
                if (message.changedRevision != null && $Object.hasOwnProperty.call(message, "changedRevision") && !$Object.is(message.changedRevision, 0))
                    writer.uint32(/* id 3, wireType 1 =*/25).double(message.changedRevision);
                if (message.ageMs != null && $Object.hasOwnProperty.call(message, "ageMs") && message.ageMs !== 0)
                    writer.uint32(/* id 4, wireType 0 =*/32).uint32(message.ageMs);
                if (message.epoch != null && $Object.hasOwnProperty.call(message, "epoch") && !$Object.is(message.epoch, 0))
                    writer.uint32(/* id 5, wireType 1 =*/41).double(message.epoch);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a Proof message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.spreading.Proof
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.spreading.Proof & sailquay.spreading.Proof.$Shape} Proof
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            Proof.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.spreading.Proof();
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
                                message.topic = value;
                            else
                                delete message.topic;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.revision = value;
                            else
                                delete message.revision;
                            continue;
                        }
                    case 3: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.changedRevision = value;
                            else
                                delete message.changedRevision;
                            continue;
                        }
                    case 4: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.ageMs = value;
                            else
                                delete message.ageMs;
                            continue;
                        }
                    case 5: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.epoch = value;
                            else
                                delete message.epoch;
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
             * Gets the type url for Proof
             * @function getTypeUrl
             * @memberof sailquay.spreading.Proof
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            Proof.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.spreading.Proof";
            };

            return Proof;
        })();

        spreading.Reader = (function() {

            /**
             * Properties of a Reader.
             * @typedef {Object} sailquay.spreading.Reader.$Properties
             * @property {string|null} [id] Reader id
             * @property {number|null} [ageMs] Reader ageMs
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a Reader.
             * @memberof sailquay.spreading
             * @interface IReader
             * @augments sailquay.spreading.Reader.$Properties
             * @deprecated Use sailquay.spreading.Reader.$Properties instead.
             */

            /**
             * Shape of a Reader.
             * @typedef {sailquay.spreading.Reader.$Properties} sailquay.spreading.Reader.$Shape
             */

            /**
             * Constructs a new Reader.
             * @memberof sailquay.spreading
             * @classdesc Represents a Reader.
             * @constructor
             * @param {sailquay.spreading.Reader.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const Reader = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * Reader id.
             * @member {string} id
             * @memberof sailquay.spreading.Reader
             * @instance
             */
            Reader.prototype.id = "";

            /**
             * Reader ageMs.
             * @member {number} ageMs
             * @memberof sailquay.spreading.Reader
             * @instance
             */
            Reader.prototype.ageMs = 0;

            /**
             * Encodes the specified Reader message. Does not implicitly {@link sailquay.spreading.Reader.verify|verify} messages.
             * @function encode
             * @memberof sailquay.spreading.Reader
             * @static
             * @param {sailquay.spreading.Reader.$Properties} message Reader message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            Reader.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.id != null && $Object.hasOwnProperty.call(message, "id") && message.id !== "")
                    writer.uint32(/* id 1, wireType 2 =*/10).string(message.id);
                if (message.ageMs != null && $Object.hasOwnProperty.call(message, "ageMs") && message.ageMs !== 0)
                    writer.uint32(/* id 2, wireType 0 =*/16).uint32(message.ageMs);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a Reader message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.spreading.Reader
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.spreading.Reader & sailquay.spreading.Reader.$Shape} Reader
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            Reader.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.spreading.Reader();
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
             * Gets the type url for Reader
             * @function getTypeUrl
             * @memberof sailquay.spreading.Reader
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            Reader.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.spreading.Reader";
            };

            return Reader;
        })();

        spreading.RouteTarget = (function() {

            /**
             * Properties of a RouteTarget.
             * @typedef {Object} sailquay.spreading.RouteTarget.$Properties
             * @property {string|null} [service] RouteTarget service
             * @property {number|null} [weight] RouteTarget weight
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a RouteTarget.
             * @memberof sailquay.spreading
             * @interface IRouteTarget
             * @augments sailquay.spreading.RouteTarget.$Properties
             * @deprecated Use sailquay.spreading.RouteTarget.$Properties instead.
             */

            /**
             * Shape of a RouteTarget.
             * @typedef {sailquay.spreading.RouteTarget.$Properties} sailquay.spreading.RouteTarget.$Shape
             */

            /**
             * Constructs a new RouteTarget.
             * @memberof sailquay.spreading
             * @classdesc Represents a RouteTarget.
             * @constructor
             * @param {sailquay.spreading.RouteTarget.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const RouteTarget = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * RouteTarget service.
             * @member {string} service
             * @memberof sailquay.spreading.RouteTarget
             * @instance
             */
            RouteTarget.prototype.service = "";

            /**
             * RouteTarget weight.
             * @member {number} weight
             * @memberof sailquay.spreading.RouteTarget
             * @instance
             */
            RouteTarget.prototype.weight = 0;

            /**
             * Encodes the specified RouteTarget message. Does not implicitly {@link sailquay.spreading.RouteTarget.verify|verify} messages.
             * @function encode
             * @memberof sailquay.spreading.RouteTarget
             * @static
             * @param {sailquay.spreading.RouteTarget.$Properties} message RouteTarget message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            RouteTarget.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.service != null && $Object.hasOwnProperty.call(message, "service") && message.service !== "")
                    writer.uint32(/* id 1, wireType 2 =*/10).string(message.service);
                if (message.weight != null && $Object.hasOwnProperty.call(message, "weight") && !$Object.is(message.weight, 0))
                    writer.uint32(/* id 2, wireType 1 =*/17).double(message.weight);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a RouteTarget message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.spreading.RouteTarget
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.spreading.RouteTarget & sailquay.spreading.RouteTarget.$Shape} RouteTarget
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            RouteTarget.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.spreading.RouteTarget();
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
                                message.service = value;
                            else
                                delete message.service;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.weight = value;
                            else
                                delete message.weight;
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
             * Gets the type url for RouteTarget
             * @function getTypeUrl
             * @memberof sailquay.spreading.RouteTarget
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            RouteTarget.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.spreading.RouteTarget";
            };

            return RouteTarget;
        })();

        spreading.Route = (function() {

            /**
             * Properties of a Route.
             * @typedef {Object} sailquay.spreading.Route.$Properties
             * @property {string|null} [name] Route name
             * @property {number|null} [address] Route address
             * @property {number|null} [port] Route port
             * @property {Array.<sailquay.spreading.RouteTarget.$Properties>|null} [targets] Route targets
             * @property {Array.<string>|null} [allowedRegions] Route allowedRegions
             * @property {number|null} [priority] Route priority
             * @property {number|null} [targetLatencyMs] Route targetLatencyMs
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a Route.
             * @memberof sailquay.spreading
             * @interface IRoute
             * @augments sailquay.spreading.Route.$Properties
             * @deprecated Use sailquay.spreading.Route.$Properties instead.
             */

            /**
             * Shape of a Route.
             * @typedef {sailquay.spreading.Route.$Properties} sailquay.spreading.Route.$Shape
             */

            /**
             * Constructs a new Route.
             * @memberof sailquay.spreading
             * @classdesc Represents a Route.
             * @constructor
             * @param {sailquay.spreading.Route.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const Route = function (properties) {
                this.targets = [];
                this.allowedRegions = [];
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * Route name.
             * @member {string} name
             * @memberof sailquay.spreading.Route
             * @instance
             */
            Route.prototype.name = "";

            /**
             * Route address.
             * @member {number} address
             * @memberof sailquay.spreading.Route
             * @instance
             */
            Route.prototype.address = 0;

            /**
             * Route port.
             * @member {number} port
             * @memberof sailquay.spreading.Route
             * @instance
             */
            Route.prototype.port = 0;

            /**
             * Route targets.
             * @member {Array.<sailquay.spreading.RouteTarget.$Properties>} targets
             * @memberof sailquay.spreading.Route
             * @instance
             */
            Route.prototype.targets = $util.emptyArray;

            /**
             * Route allowedRegions.
             * @member {Array.<string>} allowedRegions
             * @memberof sailquay.spreading.Route
             * @instance
             */
            Route.prototype.allowedRegions = $util.emptyArray;

            /**
             * Route priority.
             * @member {number|null|undefined} priority
             * @memberof sailquay.spreading.Route
             * @instance
             */
            Route.prototype.priority = null;

            /**
             * Route targetLatencyMs.
             * @member {number} targetLatencyMs
             * @memberof sailquay.spreading.Route
             * @instance
             */
            Route.prototype.targetLatencyMs = 0;

            // OneOf field names bound to virtual getters and setters
            let $oneOfFields;

            // Virtual OneOf for proto3 optional field
            $Object.defineProperty(Route.prototype, "_priority", {
                get: $util.oneOfGetter($oneOfFields = ["priority"]),
                set: $util.oneOfSetter($oneOfFields)
            });

            /**
             * Encodes the specified Route message. Does not implicitly {@link sailquay.spreading.Route.verify|verify} messages.
             * @function encode
             * @memberof sailquay.spreading.Route
             * @static
             * @param {sailquay.spreading.Route.$Properties} message Route message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            Route.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.name != null && $Object.hasOwnProperty.call(message, "name") && message.name !== "")
                    writer.uint32(/* id 1, wireType 2 =*/10).string(message.name);
                if (message.address != null && $Object.hasOwnProperty.call(message, "address") && message.address !== 0)
                    writer.uint32(/* id 2, wireType 5 =*/21).fixed32(message.address);
                if (message.port != null && $Object.hasOwnProperty.call(message, "port") && message.port !== 0)
                    writer.uint32(/* id 3, wireType 0 =*/24).uint32(message.port);
                if (message.targets != null && message.targets.length)
                    for (let i = 0; i < message.targets.length; ++i)
                        $root.sailquay.spreading.RouteTarget.encode(message.targets[i], writer.uint32(/* id 4, wireType 2 =*/34).fork(), _depth + 1).ldelim();
                if (message.allowedRegions != null && message.allowedRegions.length)
                    for (let i = 0; i < message.allowedRegions.length; ++i)
                        writer.uint32(/* id 5, wireType 2 =*/42).string(message.allowedRegions[i]);
                if (message.priority != null && $Object.hasOwnProperty.call(message, "priority"))
                    writer.uint32(/* id 6, wireType 0 =*/48).uint32(message.priority);
                if (message.targetLatencyMs != null && $Object.hasOwnProperty.call(message, "targetLatencyMs") && message.targetLatencyMs !== 0)
                    writer.uint32(/* id 7, wireType 0 =*/56).uint32(message.targetLatencyMs);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a Route message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.spreading.Route
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.spreading.Route & sailquay.spreading.Route.$Shape} Route
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            Route.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.spreading.Route();
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
                                message.name = value;
                            else
                                delete message.name;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 5)
                                break;
                            if (value = reader.fixed32())
                                message.address = value;
                            else
                                delete message.address;
                            continue;
                        }
                    case 3: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.port = value;
                            else
                                delete message.port;
                            continue;
                        }
                    case 4: {
                            if (wireType !== 2)
                                break;
                            if (!(message.targets && message.targets.length))
                                message.targets = [];
                            message.targets.push($root.sailquay.spreading.RouteTarget.decode(reader, reader.size(), $undefined, _depth + 1));
                            continue;
                        }
                    case 5: {
                            if (wireType !== 2)
                                break;
                            if (!(message.allowedRegions && message.allowedRegions.length))
                                message.allowedRegions = [];
                            message.allowedRegions.push(reader.stringVerify());
                            continue;
                        }
                    case 6: {
                            if (wireType !== 0)
                                break;
                            message.priority = reader.uint32();
                            message._priority = "priority";
                            continue;
                        }
                    case 7: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.targetLatencyMs = value;
                            else
                                delete message.targetLatencyMs;
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
             * Gets the type url for Route
             * @function getTypeUrl
             * @memberof sailquay.spreading.Route
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            Route.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.spreading.Route";
            };

            return Route;
        })();

        spreading.Service = (function() {

            /**
             * Properties of a Service.
             * @typedef {Object} sailquay.spreading.Service.$Properties
             * @property {string|null} [name] Service name
             * @property {number|null} [maxConnections] Service maxConnections
             * @property {number|null} [coldRequestsPerSecond] Service coldRequestsPerSecond
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a Service.
             * @memberof sailquay.spreading
             * @interface IService
             * @augments sailquay.spreading.Service.$Properties
             * @deprecated Use sailquay.spreading.Service.$Properties instead.
             */

            /**
             * Shape of a Service.
             * @typedef {sailquay.spreading.Service.$Properties} sailquay.spreading.Service.$Shape
             */

            /**
             * Constructs a new Service.
             * @memberof sailquay.spreading
             * @classdesc Represents a Service.
             * @constructor
             * @param {sailquay.spreading.Service.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const Service = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * Service name.
             * @member {string} name
             * @memberof sailquay.spreading.Service
             * @instance
             */
            Service.prototype.name = "";

            /**
             * Service maxConnections.
             * @member {number} maxConnections
             * @memberof sailquay.spreading.Service
             * @instance
             */
            Service.prototype.maxConnections = 0;

            /**
             * Service coldRequestsPerSecond.
             * @member {number} coldRequestsPerSecond
             * @memberof sailquay.spreading.Service
             * @instance
             */
            Service.prototype.coldRequestsPerSecond = 0;

            /**
             * Encodes the specified Service message. Does not implicitly {@link sailquay.spreading.Service.verify|verify} messages.
             * @function encode
             * @memberof sailquay.spreading.Service
             * @static
             * @param {sailquay.spreading.Service.$Properties} message Service message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            Service.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.name != null && $Object.hasOwnProperty.call(message, "name") && message.name !== "")
                    writer.uint32(/* id 1, wireType 2 =*/10).string(message.name);
                if (message.maxConnections != null && $Object.hasOwnProperty.call(message, "maxConnections") && !$Object.is(message.maxConnections, 0))
                    writer.uint32(/* id 2, wireType 1 =*/17).double(message.maxConnections);
                if (message.coldRequestsPerSecond != null && $Object.hasOwnProperty.call(message, "coldRequestsPerSecond") && !$Object.is(message.coldRequestsPerSecond, 0))
                    writer.uint32(/* id 3, wireType 1 =*/25).double(message.coldRequestsPerSecond);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a Service message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.spreading.Service
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.spreading.Service & sailquay.spreading.Service.$Shape} Service
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            Service.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.spreading.Service();
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
                                message.name = value;
                            else
                                delete message.name;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.maxConnections = value;
                            else
                                delete message.maxConnections;
                            continue;
                        }
                    case 3: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.coldRequestsPerSecond = value;
                            else
                                delete message.coldRequestsPerSecond;
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
             * Gets the type url for Service
             * @function getTypeUrl
             * @memberof sailquay.spreading.Service
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            Service.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.spreading.Service";
            };

            return Service;
        })();

        spreading.RouteTable = (function() {

            /**
             * Properties of a RouteTable.
             * @typedef {Object} sailquay.spreading.RouteTable.$Properties
             * @property {number|null} [version] RouteTable version
             * @property {number|null} [revision] RouteTable revision
             * @property {number|null} [idleTimeoutMs] RouteTable idleTimeoutMs
             * @property {Array.<sailquay.spreading.Route.$Properties>|null} [routes] RouteTable routes
             * @property {Array.<sailquay.spreading.Service.$Properties>|null} [services] RouteTable services
             * @property {number|null} [epoch] RouteTable epoch
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a RouteTable.
             * @memberof sailquay.spreading
             * @interface IRouteTable
             * @augments sailquay.spreading.RouteTable.$Properties
             * @deprecated Use sailquay.spreading.RouteTable.$Properties instead.
             */

            /**
             * Shape of a RouteTable.
             * @typedef {sailquay.spreading.RouteTable.$Properties} sailquay.spreading.RouteTable.$Shape
             */

            /**
             * Constructs a new RouteTable.
             * @memberof sailquay.spreading
             * @classdesc Represents a RouteTable.
             * @constructor
             * @param {sailquay.spreading.RouteTable.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const RouteTable = function (properties) {
                this.routes = [];
                this.services = [];
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * RouteTable version.
             * @member {number} version
             * @memberof sailquay.spreading.RouteTable
             * @instance
             */
            RouteTable.prototype.version = 0;

            /**
             * RouteTable revision.
             * @member {number} revision
             * @memberof sailquay.spreading.RouteTable
             * @instance
             */
            RouteTable.prototype.revision = 0;

            /**
             * RouteTable idleTimeoutMs.
             * @member {number} idleTimeoutMs
             * @memberof sailquay.spreading.RouteTable
             * @instance
             */
            RouteTable.prototype.idleTimeoutMs = 0;

            /**
             * RouteTable routes.
             * @member {Array.<sailquay.spreading.Route.$Properties>} routes
             * @memberof sailquay.spreading.RouteTable
             * @instance
             */
            RouteTable.prototype.routes = $util.emptyArray;

            /**
             * RouteTable services.
             * @member {Array.<sailquay.spreading.Service.$Properties>} services
             * @memberof sailquay.spreading.RouteTable
             * @instance
             */
            RouteTable.prototype.services = $util.emptyArray;

            /**
             * RouteTable epoch.
             * @member {number} epoch
             * @memberof sailquay.spreading.RouteTable
             * @instance
             */
            RouteTable.prototype.epoch = 0;

            /**
             * Encodes the specified RouteTable message. Does not implicitly {@link sailquay.spreading.RouteTable.verify|verify} messages.
             * @function encode
             * @memberof sailquay.spreading.RouteTable
             * @static
             * @param {sailquay.spreading.RouteTable.$Properties} message RouteTable message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            RouteTable.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.version != null && $Object.hasOwnProperty.call(message, "version") && !$Object.is(message.version, 0))
                    writer.uint32(/* id 1, wireType 1 =*/9).double(message.version);
                if (message.revision != null && $Object.hasOwnProperty.call(message, "revision") && !$Object.is(message.revision, 0))
                    writer.uint32(/* id 2, wireType 1 =*/17).double(message.revision);
                if (message.idleTimeoutMs != null && $Object.hasOwnProperty.call(message, "idleTimeoutMs") && !$Object.is(message.idleTimeoutMs, 0))
                    writer.uint32(/* id 3, wireType 1 =*/25).double(message.idleTimeoutMs);
                if (message.routes != null && message.routes.length)
                    for (let i = 0; i < message.routes.length; ++i)
                        $root.sailquay.spreading.Route.encode(message.routes[i], writer.uint32(/* id 4, wireType 2 =*/34).fork(), _depth + 1).ldelim();
                if (message.services != null && message.services.length)
                    for (let i = 0; i < message.services.length; ++i)
                        $root.sailquay.spreading.Service.encode(message.services[i], writer.uint32(/* id 5, wireType 2 =*/42).fork(), _depth + 1).ldelim();
                if (message.epoch != null && $Object.hasOwnProperty.call(message, "epoch") && !$Object.is(message.epoch, 0))
                    writer.uint32(/* id 6, wireType 1 =*/49).double(message.epoch);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a RouteTable message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.spreading.RouteTable
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.spreading.RouteTable & sailquay.spreading.RouteTable.$Shape} RouteTable
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            RouteTable.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.spreading.RouteTable();
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
                                message.version = value;
                            else
                                delete message.version;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.revision = value;
                            else
                                delete message.revision;
                            continue;
                        }
                    case 3: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.idleTimeoutMs = value;
                            else
                                delete message.idleTimeoutMs;
                            continue;
                        }
                    case 4: {
                            if (wireType !== 2)
                                break;
                            if (!(message.routes && message.routes.length))
                                message.routes = [];
                            message.routes.push($root.sailquay.spreading.Route.decode(reader, reader.size(), $undefined, _depth + 1));
                            continue;
                        }
                    case 5: {
                            if (wireType !== 2)
                                break;
                            if (!(message.services && message.services.length))
                                message.services = [];
                            message.services.push($root.sailquay.spreading.Service.decode(reader, reader.size(), $undefined, _depth + 1));
                            continue;
                        }
                    case 6: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.epoch = value;
                            else
                                delete message.epoch;
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
             * Gets the type url for RouteTable
             * @function getTypeUrl
             * @memberof sailquay.spreading.RouteTable
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            RouteTable.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.spreading.RouteTable";
            };

            return RouteTable;
        })();

        spreading.RouteTableChange = (function() {

            /**
             * Properties of a RouteTableChange.
             * @typedef {Object} sailquay.spreading.RouteTableChange.$Properties
             * @property {number|null} [version] RouteTableChange version
             * @property {number|null} [revision] RouteTableChange revision
             * @property {number|null} [idleTimeoutMs] RouteTableChange idleTimeoutMs
             * @property {Array.<sailquay.spreading.Route.$Properties>|null} [routes] RouteTableChange routes
             * @property {Array.<string>|null} [removedRoutes] RouteTableChange removedRoutes
             * @property {Array.<sailquay.spreading.Service.$Properties>|null} [services] RouteTableChange services
             * @property {Array.<number>|null} [fromRevisions] RouteTableChange fromRevisions
             * @property {number|null} [digest] RouteTableChange digest
             * @property {number|null} [requirementDigest] RouteTableChange requirementDigest
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a RouteTableChange.
             * @memberof sailquay.spreading
             * @interface IRouteTableChange
             * @augments sailquay.spreading.RouteTableChange.$Properties
             * @deprecated Use sailquay.spreading.RouteTableChange.$Properties instead.
             */

            /**
             * Shape of a RouteTableChange.
             * @typedef {sailquay.spreading.RouteTableChange.$Properties} sailquay.spreading.RouteTableChange.$Shape
             */

            /**
             * Constructs a new RouteTableChange.
             * @memberof sailquay.spreading
             * @classdesc Represents a RouteTableChange.
             * @constructor
             * @param {sailquay.spreading.RouteTableChange.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const RouteTableChange = function (properties) {
                this.routes = [];
                this.removedRoutes = [];
                this.services = [];
                this.fromRevisions = [];
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * RouteTableChange version.
             * @member {number} version
             * @memberof sailquay.spreading.RouteTableChange
             * @instance
             */
            RouteTableChange.prototype.version = 0;

            /**
             * RouteTableChange revision.
             * @member {number} revision
             * @memberof sailquay.spreading.RouteTableChange
             * @instance
             */
            RouteTableChange.prototype.revision = 0;

            /**
             * RouteTableChange idleTimeoutMs.
             * @member {number} idleTimeoutMs
             * @memberof sailquay.spreading.RouteTableChange
             * @instance
             */
            RouteTableChange.prototype.idleTimeoutMs = 0;

            /**
             * RouteTableChange routes.
             * @member {Array.<sailquay.spreading.Route.$Properties>} routes
             * @memberof sailquay.spreading.RouteTableChange
             * @instance
             */
            RouteTableChange.prototype.routes = $util.emptyArray;

            /**
             * RouteTableChange removedRoutes.
             * @member {Array.<string>} removedRoutes
             * @memberof sailquay.spreading.RouteTableChange
             * @instance
             */
            RouteTableChange.prototype.removedRoutes = $util.emptyArray;

            /**
             * RouteTableChange services.
             * @member {Array.<sailquay.spreading.Service.$Properties>} services
             * @memberof sailquay.spreading.RouteTableChange
             * @instance
             */
            RouteTableChange.prototype.services = $util.emptyArray;

            /**
             * RouteTableChange fromRevisions.
             * @member {Array.<number>} fromRevisions
             * @memberof sailquay.spreading.RouteTableChange
             * @instance
             */
            RouteTableChange.prototype.fromRevisions = $util.emptyArray;

            /**
             * RouteTableChange digest.
             * @member {number} digest
             * @memberof sailquay.spreading.RouteTableChange
             * @instance
             */
            RouteTableChange.prototype.digest = 0;

            /**
             * RouteTableChange requirementDigest.
             * @member {number|null|undefined} requirementDigest
             * @memberof sailquay.spreading.RouteTableChange
             * @instance
             */
            RouteTableChange.prototype.requirementDigest = null;

            // OneOf field names bound to virtual getters and setters
            let $oneOfFields;

            // Virtual OneOf for proto3 optional field
            $Object.defineProperty(RouteTableChange.prototype, "_requirementDigest", {
                get: $util.oneOfGetter($oneOfFields = ["requirementDigest"]),
                set: $util.oneOfSetter($oneOfFields)
            });

            /**
             * Encodes the specified RouteTableChange message. Does not implicitly {@link sailquay.spreading.RouteTableChange.verify|verify} messages.
             * @function encode
             * @memberof sailquay.spreading.RouteTableChange
             * @static
             * @param {sailquay.spreading.RouteTableChange.$Properties} message RouteTableChange message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            RouteTableChange.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.version != null && $Object.hasOwnProperty.call(message, "version") && !$Object.is(message.version, 0))
                    writer.uint32(/* id 2, wireType 1 =*/17).double(message.version);
                if (message.revision != null && $Object.hasOwnProperty.call(message, "revision") && !$Object.is(message.revision, 0))
                    writer.uint32(/* id 3, wireType 1 =*/25).double(message.revision);
                if (message.idleTimeoutMs != null && $Object.hasOwnProperty.call(message, "idleTimeoutMs") && !$Object.is(message.idleTimeoutMs, 0))
                    writer.uint32(/* id 4, wireType 1 =*/33).double(message.idleTimeoutMs);
                if (message.routes != null && message.routes.length)
                    for (let i = 0; i < message.routes.length; ++i)
                        $root.sailquay.spreading.Route.encode(message.routes[i], writer.uint32(/* id 5, wireType 2 =*/42).fork(), _depth + 1).ldelim();
                if (message.removedRoutes != null && message.removedRoutes.length)
                    for (let i = 0; i < message.removedRoutes.length; ++i)
                        writer.uint32(/* id 6, wireType 2 =*/50).string(message.removedRoutes[i]);
                if (message.services != null && message.services.length)
                    for (let i = 0; i < message.services.length; ++i)
                        $root.sailquay.spreading.Service.encode(message.services[i], writer.uint32(/* id 7, wireType 2 =*/58).fork(), _depth + 1).ldelim();
                if (message.fromRevisions != null && message.fromRevisions.length)
                    writer.uint32(/* id 8, wireType 2 =*/66).doubles(message.fromRevisions);
                if (message.digest != null && $Object.hasOwnProperty.call(message, "digest") && message.digest !== 0)
                    writer.uint32(/* id 9, wireType 5 =*/77).fixed32(message.digest);
                if (message.requirementDigest != null && $Object.hasOwnProperty.call(message, "requirementDigest"))
                    writer.uint32(/* id 10, wireType 5 =*/85).fixed32(message.requirementDigest);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a RouteTableChange message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.spreading.RouteTableChange
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.spreading.RouteTableChange & sailquay.spreading.RouteTableChange.$Shape} RouteTableChange
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            RouteTableChange.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.spreading.RouteTableChange();
                while (reader.pos < end) {
                    let start = reader.pos;
                    let tag = reader.tag();
                    if (tag === _end) {
                        _end = $undefined;
                        break;
                    }
                    let wireType = tag & 7;
                    switch (tag >>>= 3) {
                    case 2: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.version = value;
                            else
                                delete message.version;
                            continue;
                        }
                    case 3: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.revision = value;
                            else
                                delete message.revision;
                            continue;
                        }
                    case 4: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.idleTimeoutMs = value;
                            else
                                delete message.idleTimeoutMs;
                            continue;
                        }
                    case 5: {
                            if (wireType !== 2)
                                break;
                            if (!(message.routes && message.routes.length))
                                message.routes = [];
                            message.routes.push($root.sailquay.spreading.Route.decode(reader, reader.size(), $undefined, _depth + 1));
                            continue;
                        }
                    case 6: {
                            if (wireType !== 2)
                                break;
                            if (!(message.removedRoutes && message.removedRoutes.length))
                                message.removedRoutes = [];
                            message.removedRoutes.push(reader.stringVerify());
                            continue;
                        }
                    case 7: {
                            if (wireType !== 2)
                                break;
                            if (!(message.services && message.services.length))
                                message.services = [];
                            message.services.push($root.sailquay.spreading.Service.decode(reader, reader.size(), $undefined, _depth + 1));
                            continue;
                        }
                    case 8: {
                            if (wireType === 2) {
                                if (!(message.fromRevisions && message.fromRevisions.length))
                                    message.fromRevisions = [];
                                reader.doubles(message.fromRevisions);
                                continue;
                            }
                            if (wireType !== 1)
                                break;
                            if (!(message.fromRevisions && message.fromRevisions.length))
                                message.fromRevisions = [];
                            message.fromRevisions.push(reader.double());
                            continue;
                        }
                    case 9: {
                            if (wireType !== 5)
                                break;
                            if (value = reader.fixed32())
                                message.digest = value;
                            else
                                delete message.digest;
                            continue;
                        }
                    case 10: {
                            if (wireType !== 5)
                                break;
                            message.requirementDigest = reader.fixed32();
                            message._requirementDigest = "requirementDigest";
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
             * Gets the type url for RouteTableChange
             * @function getTypeUrl
             * @memberof sailquay.spreading.RouteTableChange
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            RouteTableChange.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.spreading.RouteTableChange";
            };

            return RouteTableChange;
        })();

        spreading.Backend = (function() {

            /**
             * Properties of a Backend.
             * @typedef {Object} sailquay.spreading.Backend.$Properties
             * @property {string|null} [id] Backend id
             * @property {string|null} [service] Backend service
             * @property {number|null} [address] Backend address
             * @property {number|null} [port] Backend port
             * @property {string|null} [zone] Backend zone
             * @property {number|null} [capacity] Backend capacity
             * @property {boolean|null} [draining] Backend draining
             * @property {number|null} [coldMs] Backend coldMs
             * @property {number|null} [createdRevision] Backend createdRevision
             * @property {number|null} [revision] Backend revision
             * @property {boolean|null} [departed] Backend departed
             * @property {number|null} [departedAgeMs] Backend departedAgeMs
             * @property {number|null} [incarnation] Backend incarnation
             * @property {boolean|null} [lapsed] Backend lapsed
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a Backend.
             * @memberof sailquay.spreading
             * @interface IBackend
             * @augments sailquay.spreading.Backend.$Properties
             * @deprecated Use sailquay.spreading.Backend.$Properties instead.
             */

            /**
             * Shape of a Backend.
             * @typedef {sailquay.spreading.Backend.$Properties} sailquay.spreading.Backend.$Shape
             */

            /**
             * Constructs a new Backend.
             * @memberof sailquay.spreading
             * @classdesc Represents a Backend.
             * @constructor
             * @param {sailquay.spreading.Backend.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const Backend = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * Backend id.
             * @member {string} id
             * @memberof sailquay.spreading.Backend
             * @instance
             */
            Backend.prototype.id = "";

            /**
             * Backend service.
             * @member {string} service
             * @memberof sailquay.spreading.Backend
             * @instance
             */
            Backend.prototype.service = "";

            /**
             * Backend address.
             * @member {number} address
             * @memberof sailquay.spreading.Backend
             * @instance
             */
            Backend.prototype.address = 0;

            /**
             * Backend port.
             * @member {number} port
             * @memberof sailquay.spreading.Backend
             * @instance
             */
            Backend.prototype.port = 0;

            /**
             * Backend zone.
             * @member {string} zone
             * @memberof sailquay.spreading.Backend
             * @instance
             */
            Backend.prototype.zone = "";

            /**
             * Backend capacity.
             * @member {number} capacity
             * @memberof sailquay.spreading.Backend
             * @instance
             */
            Backend.prototype.capacity = 0;

            /**
             * Backend draining.
             * @member {boolean} draining
             * @memberof sailquay.spreading.Backend
             * @instance
             */
            Backend.prototype.draining = false;

            /**
             * Backend coldMs.
             * @member {number} coldMs
             * @memberof sailquay.spreading.Backend
             * @instance
             */
            Backend.prototype.coldMs = 0;

            /**
             * Backend createdRevision.
             * @member {number} createdRevision
             * @memberof sailquay.spreading.Backend
             * @instance
             */
            Backend.prototype.createdRevision = 0;

            /**
             * Backend revision.
             * @member {number} revision
             * @memberof sailquay.spreading.Backend
             * @instance
             */
            Backend.prototype.revision = 0;

            /**
             * Backend departed.
             * @member {boolean} departed
             * @memberof sailquay.spreading.Backend
             * @instance
             */
            Backend.prototype.departed = false;

            /**
             * Backend departedAgeMs.
             * @member {number} departedAgeMs
             * @memberof sailquay.spreading.Backend
             * @instance
             */
            Backend.prototype.departedAgeMs = 0;

            /**
             * Backend incarnation.
             * @member {number|null|undefined} incarnation
             * @memberof sailquay.spreading.Backend
             * @instance
             */
            Backend.prototype.incarnation = null;

            /**
             * Backend lapsed.
             * @member {boolean} lapsed
             * @memberof sailquay.spreading.Backend
             * @instance
             */
            Backend.prototype.lapsed = false;

            // OneOf field names bound to virtual getters and setters
            let $oneOfFields;

            // Virtual OneOf for proto3 optional field
            $Object.defineProperty(Backend.prototype, "_incarnation", {
                get: $util.oneOfGetter($oneOfFields = ["incarnation"]),
                set: $util.oneOfSetter($oneOfFields)
            });

            /**
             * Encodes the specified Backend message. Does not implicitly {@link sailquay.spreading.Backend.verify|verify} messages.
             * @function encode
             * @memberof sailquay.spreading.Backend
             * @static
             * @param {sailquay.spreading.Backend.$Properties} message Backend message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            Backend.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.id != null && $Object.hasOwnProperty.call(message, "id") && message.id !== "")
                    writer.uint32(/* id 1, wireType 2 =*/10).string(message.id);
                if (message.service != null && $Object.hasOwnProperty.call(message, "service") && message.service !== "")
                    writer.uint32(/* id 2, wireType 2 =*/18).string(message.service);
                if (message.address != null && $Object.hasOwnProperty.call(message, "address") && message.address !== 0)
                    writer.uint32(/* id 3, wireType 5 =*/29).fixed32(message.address);
                if (message.port != null && $Object.hasOwnProperty.call(message, "port") && message.port !== 0)
                    writer.uint32(/* id 4, wireType 0 =*/32).uint32(message.port);
                if (message.zone != null && $Object.hasOwnProperty.call(message, "zone") && message.zone !== "")
                    writer.uint32(/* id 5, wireType 2 =*/42).string(message.zone);
                if (message.capacity != null && $Object.hasOwnProperty.call(message, "capacity") && message.capacity !== 0)
                    writer.uint32(/* id 6, wireType 0 =*/48).uint32(message.capacity);
                if (message.draining != null && $Object.hasOwnProperty.call(message, "draining") && message.draining !== false)
                    writer.uint32(/* id 7, wireType 0 =*/56).bool(message.draining);
                if (message.coldMs != null && $Object.hasOwnProperty.call(message, "coldMs") && message.coldMs !== 0)
                    writer.uint32(/* id 8, wireType 0 =*/64).uint32(message.coldMs);
                if (message.createdRevision != null && $Object.hasOwnProperty.call(message, "createdRevision") && !$Object.is(message.createdRevision, 0))
                    writer.uint32(/* id 9, wireType 1 =*/73).double(message.createdRevision);
                if (message.revision != null && $Object.hasOwnProperty.call(message, "revision") && !$Object.is(message.revision, 0))
                    writer.uint32(/* id 10, wireType 1 =*/81).double(message.revision);
                if (message.departed != null && $Object.hasOwnProperty.call(message, "departed") && message.departed !== false)
                    writer.uint32(/* id 11, wireType 0 =*/88).bool(message.departed);
                if (message.departedAgeMs != null && $Object.hasOwnProperty.call(message, "departedAgeMs") && message.departedAgeMs !== 0)
                    writer.uint32(/* id 12, wireType 0 =*/96).uint32(message.departedAgeMs);
                if (message.incarnation != null && $Object.hasOwnProperty.call(message, "incarnation"))
                    writer.uint32(/* id 13, wireType 1 =*/105).double(message.incarnation);
                if (message.lapsed != null && $Object.hasOwnProperty.call(message, "lapsed") && message.lapsed !== false)
                    writer.uint32(/* id 14, wireType 0 =*/112).bool(message.lapsed);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a Backend message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.spreading.Backend
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.spreading.Backend & sailquay.spreading.Backend.$Shape} Backend
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            Backend.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.spreading.Backend();
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
                            if (wireType !== 2)
                                break;
                            if ((value = reader.stringVerify()).length)
                                message.service = value;
                            else
                                delete message.service;
                            continue;
                        }
                    case 3: {
                            if (wireType !== 5)
                                break;
                            if (value = reader.fixed32())
                                message.address = value;
                            else
                                delete message.address;
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
                            if (wireType !== 2)
                                break;
                            if ((value = reader.stringVerify()).length)
                                message.zone = value;
                            else
                                delete message.zone;
                            continue;
                        }
                    case 6: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.capacity = value;
                            else
                                delete message.capacity;
                            continue;
                        }
                    case 7: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.bool())
                                message.draining = value;
                            else
                                delete message.draining;
                            continue;
                        }
                    case 8: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.coldMs = value;
                            else
                                delete message.coldMs;
                            continue;
                        }
                    case 9: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.createdRevision = value;
                            else
                                delete message.createdRevision;
                            continue;
                        }
                    case 10: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.revision = value;
                            else
                                delete message.revision;
                            continue;
                        }
                    case 11: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.bool())
                                message.departed = value;
                            else
                                delete message.departed;
                            continue;
                        }
                    case 12: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.departedAgeMs = value;
                            else
                                delete message.departedAgeMs;
                            continue;
                        }
                    case 13: {
                            if (wireType !== 1)
                                break;
                            message.incarnation = reader.double();
                            message._incarnation = "incarnation";
                            continue;
                        }
                    case 14: {
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
             * Gets the type url for Backend
             * @function getTypeUrl
             * @memberof sailquay.spreading.Backend
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            Backend.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.spreading.Backend";
            };

            return Backend;
        })();

        spreading.Removal = (function() {

            /**
             * Properties of a Removal.
             * @typedef {Object} sailquay.spreading.Removal.$Properties
             * @property {string|null} [id] Removal id
             * @property {number|null} [revision] Removal revision
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a Removal.
             * @memberof sailquay.spreading
             * @interface IRemoval
             * @augments sailquay.spreading.Removal.$Properties
             * @deprecated Use sailquay.spreading.Removal.$Properties instead.
             */

            /**
             * Shape of a Removal.
             * @typedef {sailquay.spreading.Removal.$Properties} sailquay.spreading.Removal.$Shape
             */

            /**
             * Constructs a new Removal.
             * @memberof sailquay.spreading
             * @classdesc Represents a Removal.
             * @constructor
             * @param {sailquay.spreading.Removal.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const Removal = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * Removal id.
             * @member {string} id
             * @memberof sailquay.spreading.Removal
             * @instance
             */
            Removal.prototype.id = "";

            /**
             * Removal revision.
             * @member {number} revision
             * @memberof sailquay.spreading.Removal
             * @instance
             */
            Removal.prototype.revision = 0;

            /**
             * Encodes the specified Removal message. Does not implicitly {@link sailquay.spreading.Removal.verify|verify} messages.
             * @function encode
             * @memberof sailquay.spreading.Removal
             * @static
             * @param {sailquay.spreading.Removal.$Properties} message Removal message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            Removal.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.id != null && $Object.hasOwnProperty.call(message, "id") && message.id !== "")
                    writer.uint32(/* id 1, wireType 2 =*/10).string(message.id);
                if (message.revision != null && $Object.hasOwnProperty.call(message, "revision") && !$Object.is(message.revision, 0))
                    writer.uint32(/* id 2, wireType 1 =*/17).double(message.revision);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a Removal message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.spreading.Removal
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.spreading.Removal & sailquay.spreading.Removal.$Shape} Removal
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            Removal.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.spreading.Removal();
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
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.revision = value;
                            else
                                delete message.revision;
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
             * Gets the type url for Removal
             * @function getTypeUrl
             * @memberof sailquay.spreading.Removal
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            Removal.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.spreading.Removal";
            };

            return Removal;
        })();

        spreading.Cordon = (function() {

            /**
             * Properties of a Cordon.
             * @typedef {Object} sailquay.spreading.Cordon.$Properties
             * @property {string|null} [zone] Cordon zone
             * @property {number|null} [revision] Cordon revision
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a Cordon.
             * @memberof sailquay.spreading
             * @interface ICordon
             * @augments sailquay.spreading.Cordon.$Properties
             * @deprecated Use sailquay.spreading.Cordon.$Properties instead.
             */

            /**
             * Shape of a Cordon.
             * @typedef {sailquay.spreading.Cordon.$Properties} sailquay.spreading.Cordon.$Shape
             */

            /**
             * Constructs a new Cordon.
             * @memberof sailquay.spreading
             * @classdesc Represents a Cordon.
             * @constructor
             * @param {sailquay.spreading.Cordon.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const Cordon = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * Cordon zone.
             * @member {string} zone
             * @memberof sailquay.spreading.Cordon
             * @instance
             */
            Cordon.prototype.zone = "";

            /**
             * Cordon revision.
             * @member {number} revision
             * @memberof sailquay.spreading.Cordon
             * @instance
             */
            Cordon.prototype.revision = 0;

            /**
             * Encodes the specified Cordon message. Does not implicitly {@link sailquay.spreading.Cordon.verify|verify} messages.
             * @function encode
             * @memberof sailquay.spreading.Cordon
             * @static
             * @param {sailquay.spreading.Cordon.$Properties} message Cordon message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            Cordon.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.zone != null && $Object.hasOwnProperty.call(message, "zone") && message.zone !== "")
                    writer.uint32(/* id 1, wireType 2 =*/10).string(message.zone);
                if (message.revision != null && $Object.hasOwnProperty.call(message, "revision") && !$Object.is(message.revision, 0))
                    writer.uint32(/* id 2, wireType 1 =*/17).double(message.revision);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a Cordon message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.spreading.Cordon
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.spreading.Cordon & sailquay.spreading.Cordon.$Shape} Cordon
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            Cordon.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.spreading.Cordon();
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
                                message.zone = value;
                            else
                                delete message.zone;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.revision = value;
                            else
                                delete message.revision;
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
             * Gets the type url for Cordon
             * @function getTypeUrl
             * @memberof sailquay.spreading.Cordon
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            Cordon.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.spreading.Cordon";
            };

            return Cordon;
        })();

        spreading.Update = (function() {

            /**
             * Properties of an Update.
             * @typedef {Object} sailquay.spreading.Update.$Properties
             * @property {sailquay.spreading.Topic|null} [topic] Update topic
             * @property {boolean|null} [complete] Update complete
             * @property {number|null} [since] Update since
             * @property {number|null} [revision] Update revision
             * @property {sailquay.spreading.RouteTable.$Properties|null} [routes] Update routes
             * @property {Array.<sailquay.spreading.Backend.$Properties>|null} [backends] Update backends
             * @property {Array.<sailquay.spreading.Removal.$Properties>|null} [removals] Update removals
             * @property {sailquay.spreading.RouteTableChange.$Properties|null} [routeChange] Update routeChange
             * @property {Array.<sailquay.spreading.Cordon.$Properties>|null} [cordons] Update cordons
             * @property {Array.<sailquay.spreading.Cordon.$Properties>|null} [cordonRemovals] Update cordonRemovals
             * @property {number|null} [epoch] Update epoch
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of an Update.
             * @memberof sailquay.spreading
             * @interface IUpdate
             * @augments sailquay.spreading.Update.$Properties
             * @deprecated Use sailquay.spreading.Update.$Properties instead.
             */

            /**
             * Shape of an Update.
             * @typedef {sailquay.spreading.Update.$Properties} sailquay.spreading.Update.$Shape
             */

            /**
             * Constructs a new Update.
             * @memberof sailquay.spreading
             * @classdesc Represents an Update.
             * @constructor
             * @param {sailquay.spreading.Update.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const Update = function (properties) {
                this.backends = [];
                this.removals = [];
                this.cordons = [];
                this.cordonRemovals = [];
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * Update topic.
             * @member {sailquay.spreading.Topic} topic
             * @memberof sailquay.spreading.Update
             * @instance
             */
            Update.prototype.topic = 0;

            /**
             * Update complete.
             * @member {boolean} complete
             * @memberof sailquay.spreading.Update
             * @instance
             */
            Update.prototype.complete = false;

            /**
             * Update since.
             * @member {number} since
             * @memberof sailquay.spreading.Update
             * @instance
             */
            Update.prototype.since = 0;

            /**
             * Update revision.
             * @member {number} revision
             * @memberof sailquay.spreading.Update
             * @instance
             */
            Update.prototype.revision = 0;

            /**
             * Update routes.
             * @member {sailquay.spreading.RouteTable.$Properties|null|undefined} routes
             * @memberof sailquay.spreading.Update
             * @instance
             */
            Update.prototype.routes = null;

            /**
             * Update backends.
             * @member {Array.<sailquay.spreading.Backend.$Properties>} backends
             * @memberof sailquay.spreading.Update
             * @instance
             */
            Update.prototype.backends = $util.emptyArray;

            /**
             * Update removals.
             * @member {Array.<sailquay.spreading.Removal.$Properties>} removals
             * @memberof sailquay.spreading.Update
             * @instance
             */
            Update.prototype.removals = $util.emptyArray;

            /**
             * Update routeChange.
             * @member {sailquay.spreading.RouteTableChange.$Properties|null|undefined} routeChange
             * @memberof sailquay.spreading.Update
             * @instance
             */
            Update.prototype.routeChange = null;

            /**
             * Update cordons.
             * @member {Array.<sailquay.spreading.Cordon.$Properties>} cordons
             * @memberof sailquay.spreading.Update
             * @instance
             */
            Update.prototype.cordons = $util.emptyArray;

            /**
             * Update cordonRemovals.
             * @member {Array.<sailquay.spreading.Cordon.$Properties>} cordonRemovals
             * @memberof sailquay.spreading.Update
             * @instance
             */
            Update.prototype.cordonRemovals = $util.emptyArray;

            /**
             * Update epoch.
             * @member {number} epoch
             * @memberof sailquay.spreading.Update
             * @instance
             */
            Update.prototype.epoch = 0;

            /**
             * Encodes the specified Update message. Does not implicitly {@link sailquay.spreading.Update.verify|verify} messages.
             * @function encode
             * @memberof sailquay.spreading.Update
             * @static
             * @param {sailquay.spreading.Update.$Properties} message Update message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            Update.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.topic != null && $Object.hasOwnProperty.call(message, "topic") && message.topic !== 0)
                    writer.uint32(/* id 1, wireType 0 =*/8).int32(message.topic);
                if (message.complete != null && $Object.hasOwnProperty.call(message, "complete") && message.complete !== false)
                    writer.uint32(/* id 2, wireType 0 =*/16).bool(message.complete);
                if (message.since != null && $Object.hasOwnProperty.call(message, "since") && !$Object.is(message.since, 0))
                    writer.uint32(/* id 3, wireType 1 =*/25).double(message.since);
                if (message.revision != null && $Object.hasOwnProperty.call(message, "revision") && !$Object.is(message.revision, 0))
                    writer.uint32(/* id 4, wireType 1 =*/33).double(message.revision);
                if (message.routes != null && $Object.hasOwnProperty.call(message, "routes"))
                    $root.sailquay.spreading.RouteTable.encode(message.routes, writer.uint32(/* id 5, wireType 2 =*/42).fork(), _depth + 1).ldelim();
                if (message.backends != null && message.backends.length)
                    for (let i = 0; i < message.backends.length; ++i)
                        $root.sailquay.spreading.Backend.encode(message.backends[i], writer.uint32(/* id 6, wireType 2 =*/50).fork(), _depth + 1).ldelim();
                if (message.removals != null && message.removals.length)
                    for (let i = 0; i < message.removals.length; ++i)
                        $root.sailquay.spreading.Removal.encode(message.removals[i], writer.uint32(/* id 7, wireType 2 =*/58).fork(), _depth + 1).ldelim();
                if (message.routeChange != null && $Object.hasOwnProperty.call(message, "routeChange"))
                    $root.sailquay.spreading.RouteTableChange.encode(message.routeChange, writer.uint32(/* id 8, wireType 2 =*/66).fork(), _depth + 1).ldelim();
                if (message.cordons != null && message.cordons.length)
                    for (let i = 0; i < message.cordons.length; ++i)
                        $root.sailquay.spreading.Cordon.encode(message.cordons[i], writer.uint32(/* id 9, wireType 2 =*/74).fork(), _depth + 1).ldelim();
                if (message.cordonRemovals != null && message.cordonRemovals.length)
                    for (let i = 0; i < message.cordonRemovals.length; ++i)
                        $root.sailquay.spreading.Cordon.encode(message.cordonRemovals[i], writer.uint32(/* id 10, wireType 2 =*/82).fork(), _depth + 1).ldelim();
                if (message.epoch != null && $Object.hasOwnProperty.call(message, "epoch") && !$Object.is(message.epoch, 0))
                    writer.uint32(/* id 11, wireType 1 =*/89).double(message.epoch);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes an Update message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.spreading.Update
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.spreading.Update & sailquay.spreading.Update.$Shape} Update
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            Update.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.spreading.Update();
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
                                message.topic = value;
                            else
                                delete message.topic;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.bool())
                                message.complete = value;
                            else
                                delete message.complete;
                            continue;
                        }
                    case 3: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.since = value;
                            else
                                delete message.since;
                            continue;
                        }
                    case 4: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.revision = value;
                            else
                                delete message.revision;
                            continue;
                        }
                    case 5: {
                            if (wireType !== 2)
                                break;
                            message.routes = $root.sailquay.spreading.RouteTable.decode(reader, reader.size(), $undefined, _depth + 1, message.routes);
                            continue;
                        }
                    case 6: {
                            if (wireType !== 2)
                                break;
                            if (!(message.backends && message.backends.length))
                                message.backends = [];
                            message.backends.push($root.sailquay.spreading.Backend.decode(reader, reader.size(), $undefined, _depth + 1));
                            continue;
                        }
                    case 7: {
                            if (wireType !== 2)
                                break;
                            if (!(message.removals && message.removals.length))
                                message.removals = [];
                            message.removals.push($root.sailquay.spreading.Removal.decode(reader, reader.size(), $undefined, _depth + 1));
                            continue;
                        }
                    case 8: {
                            if (wireType !== 2)
                                break;
                            message.routeChange = $root.sailquay.spreading.RouteTableChange.decode(reader, reader.size(), $undefined, _depth + 1, message.routeChange);
                            continue;
                        }
                    case 9: {
                            if (wireType !== 2)
                                break;
                            if (!(message.cordons && message.cordons.length))
                                message.cordons = [];
                            message.cordons.push($root.sailquay.spreading.Cordon.decode(reader, reader.size(), $undefined, _depth + 1));
                            continue;
                        }
                    case 10: {
                            if (wireType !== 2)
                                break;
                            if (!(message.cordonRemovals && message.cordonRemovals.length))
                                message.cordonRemovals = [];
                            message.cordonRemovals.push($root.sailquay.spreading.Cordon.decode(reader, reader.size(), $undefined, _depth + 1));
                            continue;
                        }
                    case 11: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.epoch = value;
                            else
                                delete message.epoch;
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
             * Gets the type url for Update
             * @function getTypeUrl
             * @memberof sailquay.spreading.Update
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            Update.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.spreading.Update";
            };

            return Update;
        })();

        spreading.Suspicion = (function() {

            /**
             * Properties of a Suspicion.
             * @typedef {Object} sailquay.spreading.Suspicion.$Properties
             * @property {string|null} [backendId] Suspicion backendId
             * @property {number|null} [ageMs] Suspicion ageMs
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a Suspicion.
             * @memberof sailquay.spreading
             * @interface ISuspicion
             * @augments sailquay.spreading.Suspicion.$Properties
             * @deprecated Use sailquay.spreading.Suspicion.$Properties instead.
             */

            /**
             * Shape of a Suspicion.
             * @typedef {sailquay.spreading.Suspicion.$Properties} sailquay.spreading.Suspicion.$Shape
             */

            /**
             * Constructs a new Suspicion.
             * @memberof sailquay.spreading
             * @classdesc Represents a Suspicion.
             * @constructor
             * @param {sailquay.spreading.Suspicion.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const Suspicion = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * Suspicion backendId.
             * @member {string} backendId
             * @memberof sailquay.spreading.Suspicion
             * @instance
             */
            Suspicion.prototype.backendId = "";

            /**
             * Suspicion ageMs.
             * @member {number} ageMs
             * @memberof sailquay.spreading.Suspicion
             * @instance
             */
            Suspicion.prototype.ageMs = 0;

            /**
             * Encodes the specified Suspicion message. Does not implicitly {@link sailquay.spreading.Suspicion.verify|verify} messages.
             * @function encode
             * @memberof sailquay.spreading.Suspicion
             * @static
             * @param {sailquay.spreading.Suspicion.$Properties} message Suspicion message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            Suspicion.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.backendId != null && $Object.hasOwnProperty.call(message, "backendId") && message.backendId !== "")
                    writer.uint32(/* id 1, wireType 2 =*/10).string(message.backendId);
                if (message.ageMs != null && $Object.hasOwnProperty.call(message, "ageMs") && message.ageMs !== 0)
                    writer.uint32(/* id 2, wireType 0 =*/16).uint32(message.ageMs);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a Suspicion message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.spreading.Suspicion
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.spreading.Suspicion & sailquay.spreading.Suspicion.$Shape} Suspicion
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            Suspicion.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.spreading.Suspicion();
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
                                message.backendId = value;
                            else
                                delete message.backendId;
                            continue;
                        }
                    case 2: {
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
             * Gets the type url for Suspicion
             * @function getTypeUrl
             * @memberof sailquay.spreading.Suspicion
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            Suspicion.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.spreading.Suspicion";
            };

            return Suspicion;
        })();

        spreading.BadAnswer = (function() {

            /**
             * Properties of a BadAnswer.
             * @typedef {Object} sailquay.spreading.BadAnswer.$Properties
             * @property {string|null} [backendId] BadAnswer backendId
             * @property {number|null} [observer] BadAnswer observer
             * @property {number|null} [ageMs] BadAnswer ageMs
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a BadAnswer.
             * @memberof sailquay.spreading
             * @interface IBadAnswer
             * @augments sailquay.spreading.BadAnswer.$Properties
             * @deprecated Use sailquay.spreading.BadAnswer.$Properties instead.
             */

            /**
             * Shape of a BadAnswer.
             * @typedef {sailquay.spreading.BadAnswer.$Properties} sailquay.spreading.BadAnswer.$Shape
             */

            /**
             * Constructs a new BadAnswer.
             * @memberof sailquay.spreading
             * @classdesc Represents a BadAnswer.
             * @constructor
             * @param {sailquay.spreading.BadAnswer.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const BadAnswer = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * BadAnswer backendId.
             * @member {string} backendId
             * @memberof sailquay.spreading.BadAnswer
             * @instance
             */
            BadAnswer.prototype.backendId = "";

            /**
             * BadAnswer observer.
             * @member {number} observer
             * @memberof sailquay.spreading.BadAnswer
             * @instance
             */
            BadAnswer.prototype.observer = 0;

            /**
             * BadAnswer ageMs.
             * @member {number} ageMs
             * @memberof sailquay.spreading.BadAnswer
             * @instance
             */
            BadAnswer.prototype.ageMs = 0;

            /**
             * Encodes the specified BadAnswer message. Does not implicitly {@link sailquay.spreading.BadAnswer.verify|verify} messages.
             * @function encode
             * @memberof sailquay.spreading.BadAnswer
             * @static
             * @param {sailquay.spreading.BadAnswer.$Properties} message BadAnswer message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            BadAnswer.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.backendId != null && $Object.hasOwnProperty.call(message, "backendId") && message.backendId !== "")
                    writer.uint32(/* id 1, wireType 2 =*/10).string(message.backendId);
                if (message.observer != null && $Object.hasOwnProperty.call(message, "observer") && message.observer !== 0)
                    writer.uint32(/* id 2, wireType 5 =*/21).fixed32(message.observer);
                if (message.ageMs != null && $Object.hasOwnProperty.call(message, "ageMs") && message.ageMs !== 0)
                    writer.uint32(/* id 3, wireType 0 =*/24).uint32(message.ageMs);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a BadAnswer message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.spreading.BadAnswer
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.spreading.BadAnswer & sailquay.spreading.BadAnswer.$Shape} BadAnswer
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            BadAnswer.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.spreading.BadAnswer();
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
                                message.backendId = value;
                            else
                                delete message.backendId;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 5)
                                break;
                            if (value = reader.fixed32())
                                message.observer = value;
                            else
                                delete message.observer;
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
             * Gets the type url for BadAnswer
             * @function getTypeUrl
             * @memberof sailquay.spreading.BadAnswer
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            BadAnswer.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.spreading.BadAnswer";
            };

            return BadAnswer;
        })();

        spreading.LoadReport = (function() {

            /**
             * Properties of a LoadReport.
             * @typedef {Object} sailquay.spreading.LoadReport.$Properties
             * @property {number|null} [page] LoadReport page
             * @property {number|null} [ageMs] LoadReport ageMs
             * @property {number|null} [validMs] LoadReport validMs
             * @property {Array.<number>|null} [tags] LoadReport tags
             * @property {Array.<number>|null} [sixteenths] LoadReport sixteenths
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a LoadReport.
             * @memberof sailquay.spreading
             * @interface ILoadReport
             * @augments sailquay.spreading.LoadReport.$Properties
             * @deprecated Use sailquay.spreading.LoadReport.$Properties instead.
             */

            /**
             * Shape of a LoadReport.
             * @typedef {sailquay.spreading.LoadReport.$Properties} sailquay.spreading.LoadReport.$Shape
             */

            /**
             * Constructs a new LoadReport.
             * @memberof sailquay.spreading
             * @classdesc Represents a LoadReport.
             * @constructor
             * @param {sailquay.spreading.LoadReport.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const LoadReport = function (properties) {
                this.tags = [];
                this.sixteenths = [];
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * LoadReport page.
             * @member {number} page
             * @memberof sailquay.spreading.LoadReport
             * @instance
             */
            LoadReport.prototype.page = 0;

            /**
             * LoadReport ageMs.
             * @member {number} ageMs
             * @memberof sailquay.spreading.LoadReport
             * @instance
             */
            LoadReport.prototype.ageMs = 0;

            /**
             * LoadReport validMs.
             * @member {number} validMs
             * @memberof sailquay.spreading.LoadReport
             * @instance
             */
            LoadReport.prototype.validMs = 0;

            /**
             * LoadReport tags.
             * @member {Array.<number>} tags
             * @memberof sailquay.spreading.LoadReport
             * @instance
             */
            LoadReport.prototype.tags = $util.emptyArray;

            /**
             * LoadReport sixteenths.
             * @member {Array.<number>} sixteenths
             * @memberof sailquay.spreading.LoadReport
             * @instance
             */
            LoadReport.prototype.sixteenths = $util.emptyArray;

            /**
             * Encodes the specified LoadReport message. Does not implicitly {@link sailquay.spreading.LoadReport.verify|verify} messages.
             * @function encode
             * @memberof sailquay.spreading.LoadReport
             * @static
             * @param {sailquay.spreading.LoadReport.$Properties} message LoadReport message or plain object to encode
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
                if (message.page != null && $Object.hasOwnProperty.call(message, "page") && message.page !== 0)
                    writer.uint32(/* id 1, wireType 0 =*/8).uint32(message.page);
                if (message.ageMs != null && $Object.hasOwnProperty.call(message, "ageMs") && message.ageMs !== 0)
                    writer.uint32(/* id 2, wireType 0 =*/16).uint32(message.ageMs);
                if (message.validMs != null && $Object.hasOwnProperty.call(message, "validMs") && message.validMs !== 0)
                    writer.uint32(/* id 3, wireType 0 =*/24).uint32(message.validMs);
                if (message.tags != null && message.tags.length)
                    writer.uint32(/* id 4, wireType 2 =*/34).uint32s(message.tags);
                if (message.sixteenths != null && message.sixteenths.length)
                    writer.uint32(/* id 5, wireType 2 =*/42).uint32s(message.sixteenths);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a LoadReport message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.spreading.LoadReport
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.spreading.LoadReport & sailquay.spreading.LoadReport.$Shape} LoadReport
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
                message = _target || new $root.sailquay.spreading.LoadReport();
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
                                message.page = value;
                            else
                                delete message.page;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.ageMs = value;
                            else
                                delete message.ageMs;
                            continue;
                        }
                    case 3: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.validMs = value;
                            else
                                delete message.validMs;
                            continue;
                        }
                    case 4: {
                            if (wireType === 2) {
                                if (!(message.tags && message.tags.length))
                                    message.tags = [];
                                reader.uint32s(message.tags);
                                continue;
                            }
                            if (wireType !== 0)
                                break;
                            if (!(message.tags && message.tags.length))
                                message.tags = [];
                            message.tags.push(reader.uint32());
                            continue;
                        }
                    case 5: {
                            if (wireType === 2) {
                                if (!(message.sixteenths && message.sixteenths.length))
                                    message.sixteenths = [];
                                reader.uint32s(message.sixteenths);
                                continue;
                            }
                            if (wireType !== 0)
                                break;
                            if (!(message.sixteenths && message.sixteenths.length))
                                message.sixteenths = [];
                            message.sixteenths.push(reader.uint32());
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
             * @memberof sailquay.spreading.LoadReport
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            LoadReport.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.spreading.LoadReport";
            };

            return LoadReport;
        })();

        spreading.OpeningQuery = (function() {

            /**
             * Properties of an OpeningQuery.
             * @typedef {Object} sailquay.spreading.OpeningQuery.$Properties
             * @property {number|null} [sourceAddress] OpeningQuery sourceAddress
             * @property {number|null} [sourcePort] OpeningQuery sourcePort
             * @property {number|null} [destinationAddress] OpeningQuery destinationAddress
             * @property {number|null} [destinationPort] OpeningQuery destinationPort
             * @property {number|null} [retransmissionCount] OpeningQuery retransmissionCount
             * @property {number|null} [acknowledgement] OpeningQuery acknowledgement
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of an OpeningQuery.
             * @memberof sailquay.spreading
             * @interface IOpeningQuery
             * @augments sailquay.spreading.OpeningQuery.$Properties
             * @deprecated Use sailquay.spreading.OpeningQuery.$Properties instead.
             */

            /**
             * Shape of an OpeningQuery.
             * @typedef {sailquay.spreading.OpeningQuery.$Properties} sailquay.spreading.OpeningQuery.$Shape
             */

            /**
             * Constructs a new OpeningQuery.
             * @memberof sailquay.spreading
             * @classdesc Represents an OpeningQuery.
             * @constructor
             * @param {sailquay.spreading.OpeningQuery.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const OpeningQuery = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * OpeningQuery sourceAddress.
             * @member {number} sourceAddress
             * @memberof sailquay.spreading.OpeningQuery
             * @instance
             */
            OpeningQuery.prototype.sourceAddress = 0;

            /**
             * OpeningQuery sourcePort.
             * @member {number} sourcePort
             * @memberof sailquay.spreading.OpeningQuery
             * @instance
             */
            OpeningQuery.prototype.sourcePort = 0;

            /**
             * OpeningQuery destinationAddress.
             * @member {number} destinationAddress
             * @memberof sailquay.spreading.OpeningQuery
             * @instance
             */
            OpeningQuery.prototype.destinationAddress = 0;

            /**
             * OpeningQuery destinationPort.
             * @member {number} destinationPort
             * @memberof sailquay.spreading.OpeningQuery
             * @instance
             */
            OpeningQuery.prototype.destinationPort = 0;

            /**
             * OpeningQuery retransmissionCount.
             * @member {number} retransmissionCount
             * @memberof sailquay.spreading.OpeningQuery
             * @instance
             */
            OpeningQuery.prototype.retransmissionCount = 0;

            /**
             * OpeningQuery acknowledgement.
             * @member {number} acknowledgement
             * @memberof sailquay.spreading.OpeningQuery
             * @instance
             */
            OpeningQuery.prototype.acknowledgement = 0;

            /**
             * Encodes the specified OpeningQuery message. Does not implicitly {@link sailquay.spreading.OpeningQuery.verify|verify} messages.
             * @function encode
             * @memberof sailquay.spreading.OpeningQuery
             * @static
             * @param {sailquay.spreading.OpeningQuery.$Properties} message OpeningQuery message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            OpeningQuery.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.sourceAddress != null && $Object.hasOwnProperty.call(message, "sourceAddress") && message.sourceAddress !== 0)
                    writer.uint32(/* id 1, wireType 5 =*/13).fixed32(message.sourceAddress);
                if (message.sourcePort != null && $Object.hasOwnProperty.call(message, "sourcePort") && message.sourcePort !== 0)
                    writer.uint32(/* id 2, wireType 0 =*/16).uint32(message.sourcePort);
                if (message.destinationAddress != null && $Object.hasOwnProperty.call(message, "destinationAddress") && message.destinationAddress !== 0)
                    writer.uint32(/* id 3, wireType 5 =*/29).fixed32(message.destinationAddress);
                if (message.destinationPort != null && $Object.hasOwnProperty.call(message, "destinationPort") && message.destinationPort !== 0)
                    writer.uint32(/* id 4, wireType 0 =*/32).uint32(message.destinationPort);
                if (message.retransmissionCount != null && $Object.hasOwnProperty.call(message, "retransmissionCount") && message.retransmissionCount !== 0)
                    writer.uint32(/* id 5, wireType 0 =*/40).uint32(message.retransmissionCount);
                if (message.acknowledgement != null && $Object.hasOwnProperty.call(message, "acknowledgement") && message.acknowledgement !== 0)
                    writer.uint32(/* id 6, wireType 5 =*/53).fixed32(message.acknowledgement);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes an OpeningQuery message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.spreading.OpeningQuery
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.spreading.OpeningQuery & sailquay.spreading.OpeningQuery.$Shape} OpeningQuery
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            OpeningQuery.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.spreading.OpeningQuery();
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
                                message.sourceAddress = value;
                            else
                                delete message.sourceAddress;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.sourcePort = value;
                            else
                                delete message.sourcePort;
                            continue;
                        }
                    case 3: {
                            if (wireType !== 5)
                                break;
                            if (value = reader.fixed32())
                                message.destinationAddress = value;
                            else
                                delete message.destinationAddress;
                            continue;
                        }
                    case 4: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.destinationPort = value;
                            else
                                delete message.destinationPort;
                            continue;
                        }
                    case 5: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.retransmissionCount = value;
                            else
                                delete message.retransmissionCount;
                            continue;
                        }
                    case 6: {
                            if (wireType !== 5)
                                break;
                            if (value = reader.fixed32())
                                message.acknowledgement = value;
                            else
                                delete message.acknowledgement;
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
             * Gets the type url for OpeningQuery
             * @function getTypeUrl
             * @memberof sailquay.spreading.OpeningQuery
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            OpeningQuery.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.spreading.OpeningQuery";
            };

            return OpeningQuery;
        })();

        spreading.OpeningAnswer = (function() {

            /**
             * Properties of an OpeningAnswer.
             * @typedef {Object} sailquay.spreading.OpeningAnswer.$Properties
             * @property {number|null} [sourceAddress] OpeningAnswer sourceAddress
             * @property {number|null} [sourcePort] OpeningAnswer sourcePort
             * @property {number|null} [destinationAddress] OpeningAnswer destinationAddress
             * @property {number|null} [destinationPort] OpeningAnswer destinationPort
             * @property {string|null} [backendId] OpeningAnswer backendId
             * @property {number|null} [acknowledgement] OpeningAnswer acknowledgement
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of an OpeningAnswer.
             * @memberof sailquay.spreading
             * @interface IOpeningAnswer
             * @augments sailquay.spreading.OpeningAnswer.$Properties
             * @deprecated Use sailquay.spreading.OpeningAnswer.$Properties instead.
             */

            /**
             * Shape of an OpeningAnswer.
             * @typedef {sailquay.spreading.OpeningAnswer.$Properties} sailquay.spreading.OpeningAnswer.$Shape
             */

            /**
             * Constructs a new OpeningAnswer.
             * @memberof sailquay.spreading
             * @classdesc Represents an OpeningAnswer.
             * @constructor
             * @param {sailquay.spreading.OpeningAnswer.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const OpeningAnswer = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * OpeningAnswer sourceAddress.
             * @member {number} sourceAddress
             * @memberof sailquay.spreading.OpeningAnswer
             * @instance
             */
            OpeningAnswer.prototype.sourceAddress = 0;

            /**
             * OpeningAnswer sourcePort.
             * @member {number} sourcePort
             * @memberof sailquay.spreading.OpeningAnswer
             * @instance
             */
            OpeningAnswer.prototype.sourcePort = 0;

            /**
             * OpeningAnswer destinationAddress.
             * @member {number} destinationAddress
             * @memberof sailquay.spreading.OpeningAnswer
             * @instance
             */
            OpeningAnswer.prototype.destinationAddress = 0;

            /**
             * OpeningAnswer destinationPort.
             * @member {number} destinationPort
             * @memberof sailquay.spreading.OpeningAnswer
             * @instance
             */
            OpeningAnswer.prototype.destinationPort = 0;

            /**
             * OpeningAnswer backendId.
             * @member {string} backendId
             * @memberof sailquay.spreading.OpeningAnswer
             * @instance
             */
            OpeningAnswer.prototype.backendId = "";

            /**
             * OpeningAnswer acknowledgement.
             * @member {number} acknowledgement
             * @memberof sailquay.spreading.OpeningAnswer
             * @instance
             */
            OpeningAnswer.prototype.acknowledgement = 0;

            /**
             * Encodes the specified OpeningAnswer message. Does not implicitly {@link sailquay.spreading.OpeningAnswer.verify|verify} messages.
             * @function encode
             * @memberof sailquay.spreading.OpeningAnswer
             * @static
             * @param {sailquay.spreading.OpeningAnswer.$Properties} message OpeningAnswer message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            OpeningAnswer.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.sourceAddress != null && $Object.hasOwnProperty.call(message, "sourceAddress") && message.sourceAddress !== 0)
                    writer.uint32(/* id 1, wireType 5 =*/13).fixed32(message.sourceAddress);
                if (message.sourcePort != null && $Object.hasOwnProperty.call(message, "sourcePort") && message.sourcePort !== 0)
                    writer.uint32(/* id 2, wireType 0 =*/16).uint32(message.sourcePort);
                if (message.destinationAddress != null && $Object.hasOwnProperty.call(message, "destinationAddress") && message.destinationAddress !== 0)
                    writer.uint32(/* id 3, wireType 5 =*/29).fixed32(message.destinationAddress);
                if (message.destinationPort != null && $Object.hasOwnProperty.call(message, "destinationPort") && message.destinationPort !== 0)
                    writer.uint32(/* id 4, wireType 0 =*/32).uint32(message.destinationPort);
                if (message.backendId != null && $Object.hasOwnProperty.call(message, "backendId") && message.backendId !== "")
                    writer.uint32(/* id 5, wireType 2 =*/42).string(message.backendId);
                if (message.acknowledgement != null && $Object.hasOwnProperty.call(message, "acknowledgement") && message.acknowledgement !== 0)
                    writer.uint32(/* id 6, wireType 5 =*/53).fixed32(message.acknowledgement);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes an OpeningAnswer message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.spreading.OpeningAnswer
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.spreading.OpeningAnswer & sailquay.spreading.OpeningAnswer.$Shape} OpeningAnswer
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            OpeningAnswer.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.spreading.OpeningAnswer();
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
                                message.sourceAddress = value;
                            else
                                delete message.sourceAddress;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.sourcePort = value;
                            else
                                delete message.sourcePort;
                            continue;
                        }
                    case 3: {
                            if (wireType !== 5)
                                break;
                            if (value = reader.fixed32())
                                message.destinationAddress = value;
                            else
                                delete message.destinationAddress;
                            continue;
                        }
                    case 4: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.destinationPort = value;
                            else
                                delete message.destinationPort;
                            continue;
                        }
                    case 5: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.stringVerify()).length)
                                message.backendId = value;
                            else
                                delete message.backendId;
                            continue;
                        }
                    case 6: {
                            if (wireType !== 5)
                                break;
                            if (value = reader.fixed32())
                                message.acknowledgement = value;
                            else
                                delete message.acknowledgement;
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
             * Gets the type url for OpeningAnswer
             * @function getTypeUrl
             * @memberof sailquay.spreading.OpeningAnswer
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            OpeningAnswer.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.spreading.OpeningAnswer";
            };

            return OpeningAnswer;
        })();

        spreading.PeerMessage = (function() {

            /**
             * Properties of a PeerMessage.
             * @typedef {Object} sailquay.spreading.PeerMessage.$Properties
             * @property {sailquay.spreading.MessageType|null} [type] PeerMessage type
             * @property {string|null} [senderId] PeerMessage senderId
             * @property {string|null} [senderZone] PeerMessage senderZone
             * @property {boolean|null} [leaving] PeerMessage leaving
             * @property {Array.<sailquay.spreading.Proof.$Properties>|null} [proofs] PeerMessage proofs
             * @property {Array.<sailquay.spreading.Reader.$Properties>|null} [readers] PeerMessage readers
             * @property {Array.<sailquay.spreading.Peer.$Properties>|null} [peers] PeerMessage peers
             * @property {Array.<sailquay.spreading.Update.$Properties>|null} [updates] PeerMessage updates
             * @property {Array.<sailquay.spreading.Suspicion.$Properties>|null} [suspicions] PeerMessage suspicions
             * @property {number|null} [departedCount] PeerMessage departedCount
             * @property {Array.<sailquay.spreading.LoadReport.$Properties>|null} [loads] PeerMessage loads
             * @property {Array.<sailquay.spreading.BadAnswer.$Properties>|null} [badAnswers] PeerMessage badAnswers
             * @property {number|null} [tableRevision] PeerMessage tableRevision
             * @property {Array.<sailquay.spreading.OpeningQuery.$Properties>|null} [openingQueries] PeerMessage openingQueries
             * @property {Array.<sailquay.spreading.OpeningAnswer.$Properties>|null} [openingAnswers] PeerMessage openingAnswers
             * @property {boolean|null} [unsettled] PeerMessage unsettled
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a PeerMessage.
             * @memberof sailquay.spreading
             * @interface IPeerMessage
             * @augments sailquay.spreading.PeerMessage.$Properties
             * @deprecated Use sailquay.spreading.PeerMessage.$Properties instead.
             */

            /**
             * Shape of a PeerMessage.
             * @typedef {sailquay.spreading.PeerMessage.$Properties} sailquay.spreading.PeerMessage.$Shape
             */

            /**
             * Constructs a new PeerMessage.
             * @memberof sailquay.spreading
             * @classdesc Represents a PeerMessage.
             * @constructor
             * @param {sailquay.spreading.PeerMessage.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const PeerMessage = function (properties) {
                this.proofs = [];
                this.readers = [];
                this.peers = [];
                this.updates = [];
                this.suspicions = [];
                this.loads = [];
                this.badAnswers = [];
                this.openingQueries = [];
                this.openingAnswers = [];
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * PeerMessage type.
             * @member {sailquay.spreading.MessageType} type
             * @memberof sailquay.spreading.PeerMessage
             * @instance
             */
            PeerMessage.prototype.type = 0;

            /**
             * PeerMessage senderId.
             * @member {string} senderId
             * @memberof sailquay.spreading.PeerMessage
             * @instance
             */
            PeerMessage.prototype.senderId = "";

            /**
             * PeerMessage senderZone.
             * @member {string} senderZone
             * @memberof sailquay.spreading.PeerMessage
             * @instance
             */
            PeerMessage.prototype.senderZone = "";

            /**
             * PeerMessage leaving.
             * @member {boolean} leaving
             * @memberof sailquay.spreading.PeerMessage
             * @instance
             */
            PeerMessage.prototype.leaving = false;

            /**
             * PeerMessage proofs.
             * @member {Array.<sailquay.spreading.Proof.$Properties>} proofs
             * @memberof sailquay.spreading.PeerMessage
             * @instance
             */
            PeerMessage.prototype.proofs = $util.emptyArray;

            /**
             * PeerMessage readers.
             * @member {Array.<sailquay.spreading.Reader.$Properties>} readers
             * @memberof sailquay.spreading.PeerMessage
             * @instance
             */
            PeerMessage.prototype.readers = $util.emptyArray;

            /**
             * PeerMessage peers.
             * @member {Array.<sailquay.spreading.Peer.$Properties>} peers
             * @memberof sailquay.spreading.PeerMessage
             * @instance
             */
            PeerMessage.prototype.peers = $util.emptyArray;

            /**
             * PeerMessage updates.
             * @member {Array.<sailquay.spreading.Update.$Properties>} updates
             * @memberof sailquay.spreading.PeerMessage
             * @instance
             */
            PeerMessage.prototype.updates = $util.emptyArray;

            /**
             * PeerMessage suspicions.
             * @member {Array.<sailquay.spreading.Suspicion.$Properties>} suspicions
             * @memberof sailquay.spreading.PeerMessage
             * @instance
             */
            PeerMessage.prototype.suspicions = $util.emptyArray;

            /**
             * PeerMessage departedCount.
             * @member {number} departedCount
             * @memberof sailquay.spreading.PeerMessage
             * @instance
             */
            PeerMessage.prototype.departedCount = 0;

            /**
             * PeerMessage loads.
             * @member {Array.<sailquay.spreading.LoadReport.$Properties>} loads
             * @memberof sailquay.spreading.PeerMessage
             * @instance
             */
            PeerMessage.prototype.loads = $util.emptyArray;

            /**
             * PeerMessage badAnswers.
             * @member {Array.<sailquay.spreading.BadAnswer.$Properties>} badAnswers
             * @memberof sailquay.spreading.PeerMessage
             * @instance
             */
            PeerMessage.prototype.badAnswers = $util.emptyArray;

            /**
             * PeerMessage tableRevision.
             * @member {number} tableRevision
             * @memberof sailquay.spreading.PeerMessage
             * @instance
             */
            PeerMessage.prototype.tableRevision = 0;

            /**
             * PeerMessage openingQueries.
             * @member {Array.<sailquay.spreading.OpeningQuery.$Properties>} openingQueries
             * @memberof sailquay.spreading.PeerMessage
             * @instance
             */
            PeerMessage.prototype.openingQueries = $util.emptyArray;

            /**
             * PeerMessage openingAnswers.
             * @member {Array.<sailquay.spreading.OpeningAnswer.$Properties>} openingAnswers
             * @memberof sailquay.spreading.PeerMessage
             * @instance
             */
            PeerMessage.prototype.openingAnswers = $util.emptyArray;

            /**
             * PeerMessage unsettled.
             * @member {boolean} unsettled
             * @memberof sailquay.spreading.PeerMessage
             * @instance
             */
            PeerMessage.prototype.unsettled = false;

            /**
             * Encodes the specified PeerMessage message. Does not implicitly {@link sailquay.spreading.PeerMessage.verify|verify} messages.
             * @function encode
             * @memberof sailquay.spreading.PeerMessage
             * @static
             * @param {sailquay.spreading.PeerMessage.$Properties} message PeerMessage message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            PeerMessage.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.type != null && $Object.hasOwnProperty.call(message, "type") && message.type !== 0)
                    writer.uint32(/* id 1, wireType 0 =*/8).int32(message.type);
                if (message.senderId != null && $Object.hasOwnProperty.call(message, "senderId") && message.senderId !== "")
                    writer.uint32(/* id 2, wireType 2 =*/18).string(message.senderId);
                if (message.senderZone != null && $Object.hasOwnProperty.call(message, "senderZone") && message.senderZone !== "")
                    writer.uint32(/* id 3, wireType 2 =*/26).string(message.senderZone);
                if (message.leaving != null && $Object.hasOwnProperty.call(message, "leaving") && message.leaving !== false)
                    writer.uint32(/* id 4, wireType 0 =*/32).bool(message.leaving);
                if (message.proofs != null && message.proofs.length)
                    for (let i = 0; i < message.proofs.length; ++i)
                        $root.sailquay.spreading.Proof.encode(message.proofs[i], writer.uint32(/* id 5, wireType 2 =*/42).fork(), _depth + 1).ldelim();
                if (message.readers != null && message.readers.length)
                    for (let i = 0; i < message.readers.length; ++i)
                        $root.sailquay.spreading.Reader.encode(message.readers[i], writer.uint32(/* id 6, wireType 2 =*/50).fork(), _depth + 1).ldelim();
                if (message.peers != null && message.peers.length)
                    for (let i = 0; i < message.peers.length; ++i)
                        $root.sailquay.spreading.Peer.encode(message.peers[i], writer.uint32(/* id 7, wireType 2 =*/58).fork(), _depth + 1).ldelim();
                if (message.updates != null && message.updates.length)
                    for (let i = 0; i < message.updates.length; ++i)
                        $root.sailquay.spreading.Update.encode(message.updates[i], writer.uint32(/* id 8, wireType 2 =*/66).fork(), _depth + 1).ldelim();
                if (message.suspicions != null && message.suspicions.length)
                    for (let i = 0; i < message.suspicions.length; ++i)
                        $root.sailquay.spreading.Suspicion.encode(message.suspicions[i], writer.uint32(/* id 9, wireType 2 =*/74).fork(), _depth + 1).ldelim();
                if (message.departedCount != null && $Object.hasOwnProperty.call(message, "departedCount") && message.departedCount !== 0)
                    writer.uint32(/* id 10, wireType 0 =*/80).uint32(message.departedCount);
                if (message.tableRevision != null && $Object.hasOwnProperty.call(message, "tableRevision") && !$Object.is(message.tableRevision, 0))
                    writer.uint32(/* id 11, wireType 1 =*/89).double(message.tableRevision);
                if (message.loads != null && message.loads.length)
                    for (let i = 0; i < message.loads.length; ++i)
                        $root.sailquay.spreading.LoadReport.encode(message.loads[i], writer.uint32(/* id 12, wireType 2 =*/98).fork(), _depth + 1).ldelim();
                if (message.badAnswers != null && message.badAnswers.length)
                    for (let i = 0; i < message.badAnswers.length; ++i)
                        $root.sailquay.spreading.BadAnswer.encode(message.badAnswers[i], writer.uint32(/* id 13, wireType 2 =*/106).fork(), _depth + 1).ldelim();
                if (message.unsettled != null && $Object.hasOwnProperty.call(message, "unsettled") && message.unsettled !== false)
                    writer.uint32(/* id 14, wireType 0 =*/112).bool(message.unsettled);
                if (message.openingQueries != null && message.openingQueries.length)
                    for (let i = 0; i < message.openingQueries.length; ++i)
                        $root.sailquay.spreading.OpeningQuery.encode(message.openingQueries[i], writer.uint32(/* id 15, wireType 2 =*/122).fork(), _depth + 1).ldelim();
