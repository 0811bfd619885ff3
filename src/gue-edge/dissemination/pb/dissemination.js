/*eslint-disable block-scoped-var, id-length, no-control-regex, no-magic-numbers, no-mixed-operators, no-prototype-builtins, no-redeclare, no-shadow, no-var, sort-vars, default-case, jsdoc/require-param*/
import $protobuf from "protobufjs/minimal.js";

// Common aliases
const $Reader = $protobuf.Reader, $Writer = $protobuf.Writer, $util = $protobuf.util;
const $Object = $util.global.Object, $undefined = $util.global.undefined, $Error = $util.global.Error, $RangeError = $util.global.RangeError;

// Exported root namespace
const $root = $protobuf.roots["dissemination"] || ($protobuf.roots["dissemination"] = {});

export const sailquay = $root.sailquay = (() => {

    /**
     * Namespace sailquay.
     * @exports sailquay
     * @namespace
     */
    const sailquay = {};

    sailquay.dissemination = (function() {

        /**
         * Namespace dissemination.
         * @memberof sailquay
         * @namespace
         */
        const dissemination = {};

        dissemination.Stamp = (function() {

            /**
             * Properties of a Stamp.
             * @typedef {Object} sailquay.dissemination.Stamp.$Properties
             * @property {number|null} [version] Stamp version
             * @property {number|null} [readerToken] Stamp readerToken
             * @property {Uint8Array|null} [digest] Stamp digest
             * @property {number|null} [acceptedAtWallMs] Stamp acceptedAtWallMs
             * @property {number|null} [nodeCount] Stamp nodeCount
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a Stamp.
             * @memberof sailquay.dissemination
             * @interface IStamp
             * @augments sailquay.dissemination.Stamp.$Properties
             * @deprecated Use sailquay.dissemination.Stamp.$Properties instead.
             */

            /**
             * Shape of a Stamp.
             * @typedef {sailquay.dissemination.Stamp.$Properties} sailquay.dissemination.Stamp.$Shape
             */

            /**
             * Constructs a new Stamp.
             * @memberof sailquay.dissemination
             * @classdesc Represents a Stamp.
             * @constructor
             * @param {sailquay.dissemination.Stamp.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const Stamp = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * Stamp version.
             * @member {number} version
             * @memberof sailquay.dissemination.Stamp
             * @instance
             */
            Stamp.prototype.version = 0;

            /**
             * Stamp readerToken.
             * @member {number} readerToken
             * @memberof sailquay.dissemination.Stamp
             * @instance
             */
            Stamp.prototype.readerToken = 0;

            /**
             * Stamp digest.
             * @member {Uint8Array} digest
             * @memberof sailquay.dissemination.Stamp
             * @instance
             */
            Stamp.prototype.digest = $util.newBuffer([]);

            /**
             * Stamp acceptedAtWallMs.
             * @member {number} acceptedAtWallMs
             * @memberof sailquay.dissemination.Stamp
             * @instance
             */
            Stamp.prototype.acceptedAtWallMs = 0;

            /**
             * Stamp nodeCount.
             * @member {number} nodeCount
             * @memberof sailquay.dissemination.Stamp
             * @instance
             */
            Stamp.prototype.nodeCount = 0;

            /**
             * Encodes the specified Stamp message. Does not implicitly {@link sailquay.dissemination.Stamp.verify|verify} messages.
             * @function encode
             * @memberof sailquay.dissemination.Stamp
             * @static
             * @param {sailquay.dissemination.Stamp.$Properties} message Stamp message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            Stamp.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.version != null && $Object.hasOwnProperty.call(message, "version") && !$Object.is(message.version, 0))
                    writer.uint32(/* id 1, wireType 1 =*/9).double(message.version);
                if (message.readerToken != null && $Object.hasOwnProperty.call(message, "readerToken") && !$Object.is(message.readerToken, 0))
                    writer.uint32(/* id 2, wireType 1 =*/17).double(message.readerToken);
                if (message.digest != null && $Object.hasOwnProperty.call(message, "digest") && message.digest.length)
                    writer.uint32(/* id 3, wireType 2 =*/26).bytes(message.digest);
                if (message.acceptedAtWallMs != null && $Object.hasOwnProperty.call(message, "acceptedAtWallMs") && !$Object.is(message.acceptedAtWallMs, 0))
                    writer.uint32(/* id 4, wireType 1 =*/33).double(message.acceptedAtWallMs);
                if (message.nodeCount != null && $Object.hasOwnProperty.call(message, "nodeCount") && message.nodeCount !== 0)
                    writer.uint32(/* id 5, wireType 0 =*/40).uint32(message.nodeCount);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a Stamp message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.dissemination.Stamp
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.dissemination.Stamp & sailquay.dissemination.Stamp.$Shape} Stamp
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            Stamp.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.dissemination.Stamp();
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
                                message.readerToken = value;
                            else
                                delete message.readerToken;
                            continue;
                        }
                    case 3: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.bytes()).length)
                                message.digest = value;
                            else
                                delete message.digest;
                            continue;
                        }
                    case 4: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.acceptedAtWallMs = value;
                            else
                                delete message.acceptedAtWallMs;
                            continue;
                        }
                    case 5: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.nodeCount = value;
                            else
                                delete message.nodeCount;
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
             * Gets the type url for Stamp
             * @function getTypeUrl
             * @memberof sailquay.dissemination.Stamp
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            Stamp.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.dissemination.Stamp";
            };

            return Stamp;
        })();

        dissemination.NodeSet = (function() {

            /**
             * Properties of a NodeSet.
             * @typedef {Object} sailquay.dissemination.NodeSet.$Properties
             * @property {Array.<Uint8Array>|null} [nodes] NodeSet nodes
             * @property {Array.<string>|null} [removedPaths] NodeSet removedPaths
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a NodeSet.
             * @memberof sailquay.dissemination
             * @interface INodeSet
             * @augments sailquay.dissemination.NodeSet.$Properties
             * @deprecated Use sailquay.dissemination.NodeSet.$Properties instead.
             */

            /**
             * Shape of a NodeSet.
             * @typedef {sailquay.dissemination.NodeSet.$Properties} sailquay.dissemination.NodeSet.$Shape
             */

            /**
             * Constructs a new NodeSet.
             * @memberof sailquay.dissemination
             * @classdesc Represents a NodeSet.
             * @constructor
             * @param {sailquay.dissemination.NodeSet.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const NodeSet = function (properties) {
                this.nodes = [];
                this.removedPaths = [];
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * NodeSet nodes.
             * @member {Array.<Uint8Array>} nodes
             * @memberof sailquay.dissemination.NodeSet
             * @instance
             */
            NodeSet.prototype.nodes = $util.emptyArray;

            /**
             * NodeSet removedPaths.
             * @member {Array.<string>} removedPaths
             * @memberof sailquay.dissemination.NodeSet
             * @instance
             */
            NodeSet.prototype.removedPaths = $util.emptyArray;

            /**
             * Encodes the specified NodeSet message. Does not implicitly {@link sailquay.dissemination.NodeSet.verify|verify} messages.
             * @function encode
             * @memberof sailquay.dissemination.NodeSet
             * @static
             * @param {sailquay.dissemination.NodeSet.$Properties} message NodeSet message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            NodeSet.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.nodes != null && message.nodes.length)
                    for (let i = 0; i < message.nodes.length; ++i)
                        writer.uint32(/* id 1, wireType 2 =*/10).bytes(message.nodes[i]);
                if (message.removedPaths != null && message.removedPaths.length)
                    for (let i = 0; i < message.removedPaths.length; ++i)
                        writer.uint32(/* id 2, wireType 2 =*/18).string(message.removedPaths[i]);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a NodeSet message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.dissemination.NodeSet
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.dissemination.NodeSet & sailquay.dissemination.NodeSet.$Shape} NodeSet
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            NodeSet.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.dissemination.NodeSet();
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
                            if (!(message.nodes && message.nodes.length))
                                message.nodes = [];
                            message.nodes.push(reader.bytes());
                            continue;
                        }
                    case 2: {
                            if (wireType !== 2)
                                break;
                            if (!(message.removedPaths && message.removedPaths.length))
                                message.removedPaths = [];
                            message.removedPaths.push(reader.stringVerify());
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
             * Gets the type url for NodeSet
             * @function getTypeUrl
             * @memberof sailquay.dissemination.NodeSet
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            NodeSet.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.dissemination.NodeSet";
            };

            return NodeSet;
        })();

        dissemination.Announcement = (function() {

            /**
             * Properties of an Announcement.
             * @typedef {Object} sailquay.dissemination.Announcement.$Properties
             * @property {sailquay.dissemination.Stamp.$Properties|null} [stamp] Announcement stamp
             * @property {sailquay.dissemination.Stamp.$Properties|null} [base] Announcement base
             * @property {Uint8Array|null} [delta] Announcement delta
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of an Announcement.
             * @memberof sailquay.dissemination
             * @interface IAnnouncement
             * @augments sailquay.dissemination.Announcement.$Properties
             * @deprecated Use sailquay.dissemination.Announcement.$Properties instead.
             */

            /**
             * Shape of an Announcement.
             * @typedef {sailquay.dissemination.Announcement.$Properties} sailquay.dissemination.Announcement.$Shape
             */

            /**
             * Constructs a new Announcement.
             * @memberof sailquay.dissemination
             * @classdesc Represents an Announcement.
             * @constructor
             * @param {sailquay.dissemination.Announcement.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const Announcement = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * Announcement stamp.
             * @member {sailquay.dissemination.Stamp.$Properties|null|undefined} stamp
             * @memberof sailquay.dissemination.Announcement
             * @instance
             */
            Announcement.prototype.stamp = null;

            /**
             * Announcement base.
             * @member {sailquay.dissemination.Stamp.$Properties|null|undefined} base
             * @memberof sailquay.dissemination.Announcement
             * @instance
             */
            Announcement.prototype.base = null;

            /**
             * Announcement delta.
             * @member {Uint8Array} delta
             * @memberof sailquay.dissemination.Announcement
             * @instance
             */
            Announcement.prototype.delta = $util.newBuffer([]);

            /**
             * Encodes the specified Announcement message. Does not implicitly {@link sailquay.dissemination.Announcement.verify|verify} messages.
             * @function encode
             * @memberof sailquay.dissemination.Announcement
             * @static
             * @param {sailquay.dissemination.Announcement.$Properties} message Announcement message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            Announcement.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.stamp != null && $Object.hasOwnProperty.call(message, "stamp"))
                    $root.sailquay.dissemination.Stamp.encode(message.stamp, writer.uint32(/* id 1, wireType 2 =*/10).fork(), _depth + 1).ldelim();
                if (message.base != null && $Object.hasOwnProperty.call(message, "base"))
                    $root.sailquay.dissemination.Stamp.encode(message.base, writer.uint32(/* id 2, wireType 2 =*/18).fork(), _depth + 1).ldelim();
                if (message.delta != null && $Object.hasOwnProperty.call(message, "delta") && message.delta.length)
                    writer.uint32(/* id 3, wireType 2 =*/26).bytes(message.delta);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes an Announcement message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.dissemination.Announcement
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.dissemination.Announcement & sailquay.dissemination.Announcement.$Shape} Announcement
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            Announcement.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.dissemination.Announcement();
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
                            message.stamp = $root.sailquay.dissemination.Stamp.decode(reader, reader.size(), $undefined, _depth + 1, message.stamp);
                            continue;
                        }
                    case 2: {
                            if (wireType !== 2)
                                break;
                            message.base = $root.sailquay.dissemination.Stamp.decode(reader, reader.size(), $undefined, _depth + 1, message.base);
                            continue;
                        }
                    case 3: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.bytes()).length)
                                message.delta = value;
                            else
                                delete message.delta;
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
             * Gets the type url for Announcement
             * @function getTypeUrl
             * @memberof sailquay.dissemination.Announcement
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            Announcement.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.dissemination.Announcement";
            };

            return Announcement;
        })();

        dissemination.Probe = (function() {

            /**
             * Properties of a Probe.
             * @typedef {Object} sailquay.dissemination.Probe.$Properties
             * @property {sailquay.dissemination.Stamp.$Properties|null} [stamp] Probe stamp
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a Probe.
             * @memberof sailquay.dissemination
             * @interface IProbe
             * @augments sailquay.dissemination.Probe.$Properties
             * @deprecated Use sailquay.dissemination.Probe.$Properties instead.
             */

            /**
             * Shape of a Probe.
             * @typedef {sailquay.dissemination.Probe.$Properties} sailquay.dissemination.Probe.$Shape
             */

            /**
             * Constructs a new Probe.
             * @memberof sailquay.dissemination
             * @classdesc Represents a Probe.
             * @constructor
             * @param {sailquay.dissemination.Probe.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const Probe = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * Probe stamp.
             * @member {sailquay.dissemination.Stamp.$Properties|null|undefined} stamp
             * @memberof sailquay.dissemination.Probe
             * @instance
             */
            Probe.prototype.stamp = null;

            /**
             * Encodes the specified Probe message. Does not implicitly {@link sailquay.dissemination.Probe.verify|verify} messages.
             * @function encode
             * @memberof sailquay.dissemination.Probe
             * @static
             * @param {sailquay.dissemination.Probe.$Properties} message Probe message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            Probe.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.stamp != null && $Object.hasOwnProperty.call(message, "stamp"))
                    $root.sailquay.dissemination.Stamp.encode(message.stamp, writer.uint32(/* id 1, wireType 2 =*/10).fork(), _depth + 1).ldelim();
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a Probe message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.dissemination.Probe
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.dissemination.Probe & sailquay.dissemination.Probe.$Shape} Probe
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            Probe.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.dissemination.Probe();
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
                            message.stamp = $root.sailquay.dissemination.Stamp.decode(reader, reader.size(), $undefined, _depth + 1, message.stamp);
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
             * Gets the type url for Probe
             * @function getTypeUrl
             * @memberof sailquay.dissemination.Probe
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            Probe.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.dissemination.Probe";
            };

            return Probe;
        })();

        dissemination.PullRequest = (function() {

            /**
             * Properties of a PullRequest.
             * @typedef {Object} sailquay.dissemination.PullRequest.$Properties
             * @property {number|null} [requestId] PullRequest requestId
             * @property {sailquay.dissemination.Stamp.$Properties|null} [have] PullRequest have
             * @property {sailquay.dissemination.Stamp.$Properties|null} [target] PullRequest target
             * @property {number|null} [offset] PullRequest offset
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a PullRequest.
             * @memberof sailquay.dissemination
             * @interface IPullRequest
             * @augments sailquay.dissemination.PullRequest.$Properties
             * @deprecated Use sailquay.dissemination.PullRequest.$Properties instead.
             */

            /**
             * Shape of a PullRequest.
             * @typedef {sailquay.dissemination.PullRequest.$Properties} sailquay.dissemination.PullRequest.$Shape
             */

            /**
             * Constructs a new PullRequest.
             * @memberof sailquay.dissemination
             * @classdesc Represents a PullRequest.
             * @constructor
             * @param {sailquay.dissemination.PullRequest.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const PullRequest = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * PullRequest requestId.
             * @member {number} requestId
             * @memberof sailquay.dissemination.PullRequest
             * @instance
             */
            PullRequest.prototype.requestId = 0;

            /**
             * PullRequest have.
             * @member {sailquay.dissemination.Stamp.$Properties|null|undefined} have
             * @memberof sailquay.dissemination.PullRequest
             * @instance
             */
            PullRequest.prototype.have = null;

            /**
             * PullRequest target.
             * @member {sailquay.dissemination.Stamp.$Properties|null|undefined} target
             * @memberof sailquay.dissemination.PullRequest
             * @instance
             */
            PullRequest.prototype.target = null;

            /**
             * PullRequest offset.
             * @member {number} offset
             * @memberof sailquay.dissemination.PullRequest
             * @instance
             */
            PullRequest.prototype.offset = 0;

            /**
             * Encodes the specified PullRequest message. Does not implicitly {@link sailquay.dissemination.PullRequest.verify|verify} messages.
             * @function encode
             * @memberof sailquay.dissemination.PullRequest
             * @static
             * @param {sailquay.dissemination.PullRequest.$Properties} message PullRequest message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            PullRequest.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.requestId != null && $Object.hasOwnProperty.call(message, "requestId") && message.requestId !== 0)
                    writer.uint32(/* id 1, wireType 5 =*/13).fixed32(message.requestId);
                if (message.have != null && $Object.hasOwnProperty.call(message, "have"))
                    $root.sailquay.dissemination.Stamp.encode(message.have, writer.uint32(/* id 2, wireType 2 =*/18).fork(), _depth + 1).ldelim();
                if (message.target != null && $Object.hasOwnProperty.call(message, "target"))
                    $root.sailquay.dissemination.Stamp.encode(message.target, writer.uint32(/* id 3, wireType 2 =*/26).fork(), _depth + 1).ldelim();
                if (message.offset != null && $Object.hasOwnProperty.call(message, "offset") && message.offset !== 0)
                    writer.uint32(/* id 4, wireType 0 =*/32).uint32(message.offset);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a PullRequest message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.dissemination.PullRequest
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.dissemination.PullRequest & sailquay.dissemination.PullRequest.$Shape} PullRequest
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            PullRequest.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.dissemination.PullRequest();
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
                                message.requestId = value;
                            else
                                delete message.requestId;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 2)
                                break;
                            message.have = $root.sailquay.dissemination.Stamp.decode(reader, reader.size(), $undefined, _depth + 1, message.have);
                            continue;
                        }
                    case 3: {
                            if (wireType !== 2)
                                break;
                            message.target = $root.sailquay.dissemination.Stamp.decode(reader, reader.size(), $undefined, _depth + 1, message.target);
                            continue;
                        }
                    case 4: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.offset = value;
                            else
                                delete message.offset;
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
             * Gets the type url for PullRequest
             * @function getTypeUrl
             * @memberof sailquay.dissemination.PullRequest
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            PullRequest.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.dissemination.PullRequest";
            };

            return PullRequest;
        })();

        dissemination.PullChunk = (function() {

            /**
             * Properties of a PullChunk.
             * @typedef {Object} sailquay.dissemination.PullChunk.$Properties
             * @property {number|null} [requestId] PullChunk requestId
             * @property {sailquay.dissemination.Stamp.$Properties|null} [base] PullChunk base
             * @property {sailquay.dissemination.Stamp.$Properties|null} [target] PullChunk target
             * @property {number|null} [offset] PullChunk offset
             * @property {number|null} [totalBytes] PullChunk totalBytes
             * @property {Uint8Array|null} [data] PullChunk data
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a PullChunk.
             * @memberof sailquay.dissemination
             * @interface IPullChunk
             * @augments sailquay.dissemination.PullChunk.$Properties
             * @deprecated Use sailquay.dissemination.PullChunk.$Properties instead.
             */

            /**
             * Shape of a PullChunk.
             * @typedef {sailquay.dissemination.PullChunk.$Properties} sailquay.dissemination.PullChunk.$Shape
             */

            /**
             * Constructs a new PullChunk.
             * @memberof sailquay.dissemination
             * @classdesc Represents a PullChunk.
             * @constructor
             * @param {sailquay.dissemination.PullChunk.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const PullChunk = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * PullChunk requestId.
             * @member {number} requestId
             * @memberof sailquay.dissemination.PullChunk
             * @instance
             */
            PullChunk.prototype.requestId = 0;

            /**
             * PullChunk base.
             * @member {sailquay.dissemination.Stamp.$Properties|null|undefined} base
             * @memberof sailquay.dissemination.PullChunk
             * @instance
             */
            PullChunk.prototype.base = null;

            /**
             * PullChunk target.
             * @member {sailquay.dissemination.Stamp.$Properties|null|undefined} target
             * @memberof sailquay.dissemination.PullChunk
             * @instance
             */
            PullChunk.prototype.target = null;

            /**
             * PullChunk offset.
             * @member {number} offset
             * @memberof sailquay.dissemination.PullChunk
             * @instance
             */
            PullChunk.prototype.offset = 0;

            /**
             * PullChunk totalBytes.
             * @member {number} totalBytes
             * @memberof sailquay.dissemination.PullChunk
             * @instance
             */
            PullChunk.prototype.totalBytes = 0;

            /**
             * PullChunk data.
             * @member {Uint8Array} data
             * @memberof sailquay.dissemination.PullChunk
             * @instance
             */
            PullChunk.prototype.data = $util.newBuffer([]);

            /**
             * Encodes the specified PullChunk message. Does not implicitly {@link sailquay.dissemination.PullChunk.verify|verify} messages.
             * @function encode
             * @memberof sailquay.dissemination.PullChunk
             * @static
             * @param {sailquay.dissemination.PullChunk.$Properties} message PullChunk message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            PullChunk.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.requestId != null && $Object.hasOwnProperty.call(message, "requestId") && message.requestId !== 0)
                    writer.uint32(/* id 1, wireType 5 =*/13).fixed32(message.requestId);
                if (message.base != null && $Object.hasOwnProperty.call(message, "base"))
                    $root.sailquay.dissemination.Stamp.encode(message.base, writer.uint32(/* id 2, wireType 2 =*/18).fork(), _depth + 1).ldelim();
                if (message.target != null && $Object.hasOwnProperty.call(message, "target"))
                    $root.sailquay.dissemination.Stamp.encode(message.target, writer.uint32(/* id 3, wireType 2 =*/26).fork(), _depth + 1).ldelim();
                if (message.offset != null && $Object.hasOwnProperty.call(message, "offset") && message.offset !== 0)
                    writer.uint32(/* id 4, wireType 0 =*/32).uint32(message.offset);
                if (message.totalBytes != null && $Object.hasOwnProperty.call(message, "totalBytes") && message.totalBytes !== 0)
                    writer.uint32(/* id 5, wireType 0 =*/40).uint32(message.totalBytes);
                if (message.data != null && $Object.hasOwnProperty.call(message, "data") && message.data.length)
                    writer.uint32(/* id 6, wireType 2 =*/50).bytes(message.data);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a PullChunk message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.dissemination.PullChunk
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.dissemination.PullChunk & sailquay.dissemination.PullChunk.$Shape} PullChunk
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            PullChunk.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.dissemination.PullChunk();
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
                                message.requestId = value;
                            else
                                delete message.requestId;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 2)
                                break;
                            message.base = $root.sailquay.dissemination.Stamp.decode(reader, reader.size(), $undefined, _depth + 1, message.base);
                            continue;
                        }
                    case 3: {
                            if (wireType !== 2)
                                break;
                            message.target = $root.sailquay.dissemination.Stamp.decode(reader, reader.size(), $undefined, _depth + 1, message.target);
                            continue;
                        }
                    case 4: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.offset = value;
                            else
                                delete message.offset;
                            continue;
                        }
                    case 5: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.totalBytes = value;
                            else
                                delete message.totalBytes;
                            continue;
                        }
                    case 6: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.bytes()).length)
                                message.data = value;
                            else
                                delete message.data;
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
             * Gets the type url for PullChunk
             * @function getTypeUrl
             * @memberof sailquay.dissemination.PullChunk
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            PullChunk.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.dissemination.PullChunk";
            };

            return PullChunk;
        })();

        dissemination.Message = (function() {

            /**
             * Properties of a Message.
             * @typedef {Object} sailquay.dissemination.Message.$Properties
             * @property {sailquay.dissemination.Announcement.$Properties|null} [announcement] Message announcement
             * @property {sailquay.dissemination.Probe.$Properties|null} [probe] Message probe
             * @property {sailquay.dissemination.PullRequest.$Properties|null} [pullRequest] Message pullRequest
             * @property {sailquay.dissemination.PullChunk.$Properties|null} [pullChunk] Message pullChunk
             * @property {"announcement"|"probe"|"pullRequest"|"pullChunk"} [body] Message body
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a Message.
             * @memberof sailquay.dissemination
             * @interface IMessage
             * @augments sailquay.dissemination.Message.$Properties
             * @deprecated Use sailquay.dissemination.Message.$Properties instead.
             */

            /**
             * Narrowed shape of a Message.
             * @typedef {{
             *   announcement?: sailquay.dissemination.Announcement.$Shape|null;
             *   probe?: sailquay.dissemination.Probe.$Shape|null;
             *   pullRequest?: sailquay.dissemination.PullRequest.$Shape|null;
             *   pullChunk?: sailquay.dissemination.PullChunk.$Shape|null;
             *   $unknowns?: Array.<Uint8Array>;
             * } & (
             *   ({ body?: undefined; announcement?: null; probe?: null; pullRequest?: null; pullChunk?: null }|{ body?: "announcement"; announcement: sailquay.dissemination.Announcement.$Shape; probe?: null; pullRequest?: null; pullChunk?: null }|{ body?: "probe"; announcement?: null; probe: sailquay.dissemination.Probe.$Shape; pullRequest?: null; pullChunk?: null }|{ body?: "pullRequest"; announcement?: null; probe?: null; pullRequest: sailquay.dissemination.PullRequest.$Shape; pullChunk?: null }|{ body?: "pullChunk"; announcement?: null; probe?: null; pullRequest?: null; pullChunk: sailquay.dissemination.PullChunk.$Shape })
             * )} sailquay.dissemination.Message.$Shape
             */

            /**
             * Constructs a new Message.
             * @memberof sailquay.dissemination
             * @classdesc Represents a Message.
             * @constructor
             * @param {sailquay.dissemination.Message.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const Message = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * Message announcement.
             * @member {sailquay.dissemination.Announcement.$Properties|null|undefined} announcement
             * @memberof sailquay.dissemination.Message
             * @instance
             */
            Message.prototype.announcement = null;

            /**
             * Message probe.
             * @member {sailquay.dissemination.Probe.$Properties|null|undefined} probe
             * @memberof sailquay.dissemination.Message
             * @instance
             */
            Message.prototype.probe = null;

            /**
             * Message pullRequest.
             * @member {sailquay.dissemination.PullRequest.$Properties|null|undefined} pullRequest
             * @memberof sailquay.dissemination.Message
             * @instance
             */
            Message.prototype.pullRequest = null;

            /**
             * Message pullChunk.
             * @member {sailquay.dissemination.PullChunk.$Properties|null|undefined} pullChunk
             * @memberof sailquay.dissemination.Message
             * @instance
             */
            Message.prototype.pullChunk = null;

            // OneOf field names bound to virtual getters and setters
            let $oneOfFields;

            /**
             * Message body.
             * @member {"announcement"|"probe"|"pullRequest"|"pullChunk"|undefined} body
             * @memberof sailquay.dissemination.Message
             * @instance
             */
            $Object.defineProperty(Message.prototype, "body", {
                get: $util.oneOfGetter($oneOfFields = ["announcement", "probe", "pullRequest", "pullChunk"]),
                set: $util.oneOfSetter($oneOfFields)
            });

            /**
             * Encodes the specified Message message. Does not implicitly {@link sailquay.dissemination.Message.verify|verify} messages.
             * @function encode
             * @memberof sailquay.dissemination.Message
             * @static
             * @param {sailquay.dissemination.Message.$Properties} message Message message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            Message.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.announcement != null && $Object.hasOwnProperty.call(message, "announcement"))
                    $root.sailquay.dissemination.Announcement.encode(message.announcement, writer.uint32(/* id 1, wireType 2 =*/10).fork(), _depth + 1).ldelim();
                if (message.probe != null && $Object.hasOwnProperty.call(message, "probe"))
                    $root.sailquay.dissemination.Probe.encode(message.probe, writer.uint32(/* id 2, wireType 2 =*/18).fork(), _depth + 1).ldelim();
                if (message.pullRequest != null && $Object.hasOwnProperty.call(message, "pullRequest"))
                    $root.sailquay.dissemination.PullRequest.encode(message.pullRequest, writer.uint32(/* id 3, wireType 2 =*/26).fork(), _depth + 1).ldelim();
                if (message.pullChunk != null && $Object.hasOwnProperty.call(message, "pullChunk"))
                    $root.sailquay.dissemination.PullChunk.encode(message.pullChunk, writer.uint32(/* id 4, wireType 2 =*/34).fork(), _depth + 1).ldelim();
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a Message message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.dissemination.Message
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.dissemination.Message & sailquay.dissemination.Message.$Shape} Message
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            Message.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.dissemination.Message();
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
                            message.announcement = $root.sailquay.dissemination.Announcement.decode(reader, reader.size(), $undefined, _depth + 1, message.announcement);
                            message.body = "announcement";
                            continue;
                        }
                    case 2: {
                            if (wireType !== 2)
                                break;
                            message.probe = $root.sailquay.dissemination.Probe.decode(reader, reader.size(), $undefined, _depth + 1, message.probe);
                            message.body = "probe";
                            continue;
                        }
                    case 3: {
                            if (wireType !== 2)
                                break;
                            message.pullRequest = $root.sailquay.dissemination.PullRequest.decode(reader, reader.size(), $undefined, _depth + 1, message.pullRequest);
                            message.body = "pullRequest";
                            continue;
                        }
                    case 4: {
                            if (wireType !== 2)
                                break;
                            message.pullChunk = $root.sailquay.dissemination.PullChunk.decode(reader, reader.size(), $undefined, _depth + 1, message.pullChunk);
                            message.body = "pullChunk";
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
             * Gets the type url for Message
             * @function getTypeUrl
             * @memberof sailquay.dissemination.Message
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            Message.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.dissemination.Message";
            };

            return Message;
        })();

        return dissemination;
    })();

    return sailquay;
})();

export {
  $root as default
};
