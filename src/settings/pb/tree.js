/*eslint-disable block-scoped-var, id-length, no-control-regex, no-magic-numbers, no-mixed-operators, no-prototype-builtins, no-redeclare, no-shadow, no-var, sort-vars, default-case, jsdoc/require-param*/
import $protobuf from "protobufjs/minimal.js";

// Common aliases
const $Reader = $protobuf.Reader, $Writer = $protobuf.Writer, $util = $protobuf.util;
const $Object = $util.global.Object, $undefined = $util.global.undefined, $Error = $util.global.Error, $RangeError = $util.global.RangeError;

// Exported root namespace
const $root = $protobuf.roots["tree"] || ($protobuf.roots["tree"] = {});

export const sailquay = $root.sailquay = (() => {

    /**
     * Namespace sailquay.
     * @exports sailquay
     * @namespace
     */
    const sailquay = {};

    sailquay.settings = (function() {

        /**
         * Namespace settings.
         * @memberof sailquay
         * @namespace
         */
        const settings = {};

        settings.FieldEntry = (function() {

            /**
             * Properties of a FieldEntry.
             * @typedef {Object} sailquay.settings.FieldEntry.$Properties
             * @property {number|null} [number] FieldEntry number
             * @property {string|null} [name] FieldEntry name
             * @property {string|null} [text] FieldEntry text
             * @property {number|null} [integer] FieldEntry integer
             * @property {number|null} [decimal] FieldEntry decimal
             * @property {boolean|null} [flag] FieldEntry flag
             * @property {boolean|null} [unlimited] FieldEntry unlimited
             * @property {Uint8Array|null} [endpoint] FieldEntry endpoint
             * @property {"text"|"integer"|"decimal"|"flag"|"unlimited"|"endpoint"} [value] FieldEntry value
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a FieldEntry.
             * @memberof sailquay.settings
             * @interface IFieldEntry
             * @augments sailquay.settings.FieldEntry.$Properties
             * @deprecated Use sailquay.settings.FieldEntry.$Properties instead.
             */

            /**
             * Narrowed shape of a FieldEntry.
             * @typedef {{
             *   number?: number|null;
             *   name?: string|null;
             *   text?: string|null;
             *   integer?: number|null;
             *   decimal?: number|null;
             *   flag?: boolean|null;
             *   unlimited?: boolean|null;
             *   endpoint?: Uint8Array|null;
             *   $unknowns?: Array.<Uint8Array>;
             * } & (
             *   ({ value?: undefined; text?: null; integer?: null; decimal?: null; flag?: null; unlimited?: null; endpoint?: null }|{ value?: "text"; text: string; integer?: null; decimal?: null; flag?: null; unlimited?: null; endpoint?: null }|{ value?: "integer"; text?: null; integer: number; decimal?: null; flag?: null; unlimited?: null; endpoint?: null }|{ value?: "decimal"; text?: null; integer?: null; decimal: number; flag?: null; unlimited?: null; endpoint?: null }|{ value?: "flag"; text?: null; integer?: null; decimal?: null; flag: boolean; unlimited?: null; endpoint?: null }|{ value?: "unlimited"; text?: null; integer?: null; decimal?: null; flag?: null; unlimited: boolean; endpoint?: null }|{ value?: "endpoint"; text?: null; integer?: null; decimal?: null; flag?: null; unlimited?: null; endpoint: Uint8Array })
             * )} sailquay.settings.FieldEntry.$Shape
             */

            /**
             * Constructs a new FieldEntry.
             * @memberof sailquay.settings
             * @classdesc Represents a FieldEntry.
             * @constructor
             * @param {sailquay.settings.FieldEntry.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const FieldEntry = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * FieldEntry number.
             * @member {number} number
             * @memberof sailquay.settings.FieldEntry
             * @instance
             */
            FieldEntry.prototype.number = 0;

            /**
             * FieldEntry name.
             * @member {string} name
             * @memberof sailquay.settings.FieldEntry
             * @instance
             */
            FieldEntry.prototype.name = "";

            /**
             * FieldEntry text.
             * @member {string|null|undefined} text
             * @memberof sailquay.settings.FieldEntry
             * @instance
             */
            FieldEntry.prototype.text = null;

            /**
             * FieldEntry integer.
             * @member {number|null|undefined} integer
             * @memberof sailquay.settings.FieldEntry
             * @instance
             */
            FieldEntry.prototype.integer = null;

            /**
             * FieldEntry decimal.
             * @member {number|null|undefined} decimal
             * @memberof sailquay.settings.FieldEntry
             * @instance
             */
            FieldEntry.prototype.decimal = null;

            /**
             * FieldEntry flag.
             * @member {boolean|null|undefined} flag
             * @memberof sailquay.settings.FieldEntry
             * @instance
             */
            FieldEntry.prototype.flag = null;

            /**
             * FieldEntry unlimited.
             * @member {boolean|null|undefined} unlimited
             * @memberof sailquay.settings.FieldEntry
             * @instance
             */
            FieldEntry.prototype.unlimited = null;

            /**
             * FieldEntry endpoint.
             * @member {Uint8Array|null|undefined} endpoint
             * @memberof sailquay.settings.FieldEntry
             * @instance
             */
            FieldEntry.prototype.endpoint = null;

            // OneOf field names bound to virtual getters and setters
            let $oneOfFields;

            /**
             * FieldEntry value.
             * @member {"text"|"integer"|"decimal"|"flag"|"unlimited"|"endpoint"|undefined} value
             * @memberof sailquay.settings.FieldEntry
             * @instance
             */
            $Object.defineProperty(FieldEntry.prototype, "value", {
                get: $util.oneOfGetter($oneOfFields = ["text", "integer", "decimal", "flag", "unlimited", "endpoint"]),
                set: $util.oneOfSetter($oneOfFields)
            });

            /**
             * Encodes the specified FieldEntry message. Does not implicitly {@link sailquay.settings.FieldEntry.verify|verify} messages.
             * @function encode
             * @memberof sailquay.settings.FieldEntry
             * @static
             * @param {sailquay.settings.FieldEntry.$Properties} message FieldEntry message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            FieldEntry.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.number != null && $Object.hasOwnProperty.call(message, "number") && message.number !== 0)
                    writer.uint32(/* id 1, wireType 0 =*/8).uint32(message.number);
                if (message.name != null && $Object.hasOwnProperty.call(message, "name") && message.name !== "")
                    writer.uint32(/* id 2, wireType 2 =*/18).string(message.name);
                if (message.text != null && $Object.hasOwnProperty.call(message, "text"))
                    writer.uint32(/* id 3, wireType 2 =*/26).string(message.text);
                if (message.integer != null && $Object.hasOwnProperty.call(message, "integer"))
                    writer.uint32(/* id 4, wireType 0 =*/32).sint32(message.integer);
                if (message.decimal != null && $Object.hasOwnProperty.call(message, "decimal"))
                    writer.uint32(/* id 5, wireType 1 =*/41).double(message.decimal);
                if (message.flag != null && $Object.hasOwnProperty.call(message, "flag"))
                    writer.uint32(/* id 6, wireType 0 =*/48).bool(message.flag);
                if (message.unlimited != null && $Object.hasOwnProperty.call(message, "unlimited"))
                    writer.uint32(/* id 7, wireType 0 =*/56).bool(message.unlimited);
                if (message.endpoint != null && $Object.hasOwnProperty.call(message, "endpoint"))
                    writer.uint32(/* id 8, wireType 2 =*/66).bytes(message.endpoint);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a FieldEntry message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.settings.FieldEntry
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.settings.FieldEntry & sailquay.settings.FieldEntry.$Shape} FieldEntry
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            FieldEntry.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.settings.FieldEntry();
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
                                message.number = value;
                            else
                                delete message.number;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.stringVerify()).length)
                                message.name = value;
                            else
                                delete message.name;
                            continue;
                        }
                    case 3: {
                            if (wireType !== 2)
                                break;
                            message.text = reader.stringVerify();
                            message.value = "text";
                            continue;
                        }
                    case 4: {
                            if (wireType !== 0)
                                break;
                            message.integer = reader.sint32();
                            message.value = "integer";
                            continue;
                        }
                    case 5: {
                            if (wireType !== 1)
                                break;
                            message.decimal = reader.double();
                            message.value = "decimal";
                            continue;
                        }
                    case 6: {
                            if (wireType !== 0)
                                break;
                            message.flag = reader.bool();
                            message.value = "flag";
                            continue;
                        }
                    case 7: {
                            if (wireType !== 0)
                                break;
                            message.unlimited = reader.bool();
                            message.value = "unlimited";
                            continue;
                        }
                    case 8: {
                            if (wireType !== 2)
                                break;
                            message.endpoint = reader.bytes();
                            message.value = "endpoint";
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
             * Gets the type url for FieldEntry
             * @function getTypeUrl
             * @memberof sailquay.settings.FieldEntry
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            FieldEntry.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.settings.FieldEntry";
            };

            return FieldEntry;
        })();

        settings.Node = (function() {

            /**
             * Properties of a Node.
             * @typedef {Object} sailquay.settings.Node.$Properties
             * @property {string|null} [path] Node path
             * @property {number|null} [kind] Node kind
             * @property {string|null} [parent] Node parent
             * @property {boolean|null} [hasParent] Node hasParent
             * @property {Array.<sailquay.settings.FieldEntry.$Properties>|null} [fields] Node fields
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a Node.
             * @memberof sailquay.settings
             * @interface INode
             * @augments sailquay.settings.Node.$Properties
             * @deprecated Use sailquay.settings.Node.$Properties instead.
             */

            /**
             * Shape of a Node.
             * @typedef {{
             *   path?: string|null;
             *   kind?: number|null;
             *   parent?: string|null;
             *   hasParent?: boolean|null;
             *   fields?: Array.<sailquay.settings.FieldEntry.$Shape>|null;
             *   $unknowns?: Array.<Uint8Array>;
             * }} sailquay.settings.Node.$Shape
             */

            /**
             * Constructs a new Node.
             * @memberof sailquay.settings
             * @classdesc Represents a Node.
             * @constructor
             * @param {sailquay.settings.Node.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const Node = function (properties) {
                this.fields = [];
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * Node path.
             * @member {string} path
             * @memberof sailquay.settings.Node
             * @instance
             */
            Node.prototype.path = "";

            /**
             * Node kind.
             * @member {number} kind
             * @memberof sailquay.settings.Node
             * @instance
             */
            Node.prototype.kind = 0;

            /**
             * Node parent.
             * @member {string} parent
             * @memberof sailquay.settings.Node
             * @instance
             */
            Node.prototype.parent = "";

            /**
             * Node hasParent.
             * @member {boolean} hasParent
             * @memberof sailquay.settings.Node
             * @instance
             */
            Node.prototype.hasParent = false;

            /**
             * Node fields.
             * @member {Array.<sailquay.settings.FieldEntry.$Properties>} fields
             * @memberof sailquay.settings.Node
             * @instance
             */
            Node.prototype.fields = $util.emptyArray;

            /**
             * Encodes the specified Node message. Does not implicitly {@link sailquay.settings.Node.verify|verify} messages.
             * @function encode
             * @memberof sailquay.settings.Node
             * @static
             * @param {sailquay.settings.Node.$Properties} message Node message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            Node.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.path != null && $Object.hasOwnProperty.call(message, "path") && message.path !== "")
                    writer.uint32(/* id 1, wireType 2 =*/10).string(message.path);
                if (message.kind != null && $Object.hasOwnProperty.call(message, "kind") && message.kind !== 0)
                    writer.uint32(/* id 2, wireType 0 =*/16).uint32(message.kind);
                if (message.parent != null && $Object.hasOwnProperty.call(message, "parent") && message.parent !== "")
                    writer.uint32(/* id 3, wireType 2 =*/26).string(message.parent);
                if (message.hasParent != null && $Object.hasOwnProperty.call(message, "hasParent") && message.hasParent !== false)
                    writer.uint32(/* id 4, wireType 0 =*/32).bool(message.hasParent);
                if (message.fields != null && message.fields.length)
                    for (let i = 0; i < message.fields.length; ++i)
                        $root.sailquay.settings.FieldEntry.encode(message.fields[i], writer.uint32(/* id 5, wireType 2 =*/42).fork(), _depth + 1).ldelim();
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a Node message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.settings.Node
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.settings.Node & sailquay.settings.Node.$Shape} Node
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            Node.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.settings.Node();
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
                                message.path = value;
                            else
                                delete message.path;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.kind = value;
                            else
                                delete message.kind;
                            continue;
                        }
                    case 3: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.stringVerify()).length)
                                message.parent = value;
                            else
                                delete message.parent;
                            continue;
                        }
                    case 4: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.bool())
                                message.hasParent = value;
                            else
                                delete message.hasParent;
                            continue;
                        }
                    case 5: {
                            if (wireType !== 2)
                                break;
                            if (!(message.fields && message.fields.length))
                                message.fields = [];
                            message.fields.push($root.sailquay.settings.FieldEntry.decode(reader, reader.size(), $undefined, _depth + 1));
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
             * Gets the type url for Node
             * @function getTypeUrl
             * @memberof sailquay.settings.Node
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            Node.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.settings.Node";
            };

            return Node;
        })();

        settings.NodeChange = (function() {

            /**
             * Properties of a NodeChange.
             * @typedef {Object} sailquay.settings.NodeChange.$Properties
             * @property {string|null} [path] NodeChange path
             * @property {Array.<sailquay.settings.FieldEntry.$Properties>|null} [fields] NodeChange fields
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a NodeChange.
             * @memberof sailquay.settings
             * @interface INodeChange
             * @augments sailquay.settings.NodeChange.$Properties
             * @deprecated Use sailquay.settings.NodeChange.$Properties instead.
             */

            /**
             * Shape of a NodeChange.
             * @typedef {{
             *   path?: string|null;
             *   fields?: Array.<sailquay.settings.FieldEntry.$Shape>|null;
             *   $unknowns?: Array.<Uint8Array>;
             * }} sailquay.settings.NodeChange.$Shape
             */

            /**
             * Constructs a new NodeChange.
             * @memberof sailquay.settings
             * @classdesc Represents a NodeChange.
             * @constructor
             * @param {sailquay.settings.NodeChange.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const NodeChange = function (properties) {
                this.fields = [];
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * NodeChange path.
             * @member {string} path
             * @memberof sailquay.settings.NodeChange
             * @instance
             */
            NodeChange.prototype.path = "";

            /**
             * NodeChange fields.
             * @member {Array.<sailquay.settings.FieldEntry.$Properties>} fields
             * @memberof sailquay.settings.NodeChange
             * @instance
             */
            NodeChange.prototype.fields = $util.emptyArray;

            /**
             * Encodes the specified NodeChange message. Does not implicitly {@link sailquay.settings.NodeChange.verify|verify} messages.
             * @function encode
             * @memberof sailquay.settings.NodeChange
             * @static
             * @param {sailquay.settings.NodeChange.$Properties} message NodeChange message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            NodeChange.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.path != null && $Object.hasOwnProperty.call(message, "path") && message.path !== "")
                    writer.uint32(/* id 1, wireType 2 =*/10).string(message.path);
                if (message.fields != null && message.fields.length)
                    for (let i = 0; i < message.fields.length; ++i)
                        $root.sailquay.settings.FieldEntry.encode(message.fields[i], writer.uint32(/* id 2, wireType 2 =*/18).fork(), _depth + 1).ldelim();
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a NodeChange message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.settings.NodeChange
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.settings.NodeChange & sailquay.settings.NodeChange.$Shape} NodeChange
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            NodeChange.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.settings.NodeChange();
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
                                message.path = value;
                            else
                                delete message.path;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 2)
                                break;
                            if (!(message.fields && message.fields.length))
                                message.fields = [];
                            message.fields.push($root.sailquay.settings.FieldEntry.decode(reader, reader.size(), $undefined, _depth + 1));
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
             * Gets the type url for NodeChange
             * @function getTypeUrl
             * @memberof sailquay.settings.NodeChange
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            NodeChange.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.settings.NodeChange";
            };

            return NodeChange;
        })();

        settings.Delta = (function() {

            /**
             * Properties of a Delta.
             * @typedef {Object} sailquay.settings.Delta.$Properties
             * @property {Array.<sailquay.settings.NodeChange.$Properties>|null} [nodes] Delta nodes
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a Delta.
             * @memberof sailquay.settings
             * @interface IDelta
             * @augments sailquay.settings.Delta.$Properties
             * @deprecated Use sailquay.settings.Delta.$Properties instead.
             */

            /**
             * Shape of a Delta.
             * @typedef {{
             *   nodes?: Array.<sailquay.settings.NodeChange.$Shape>|null;
             *   $unknowns?: Array.<Uint8Array>;
             * }} sailquay.settings.Delta.$Shape
             */

            /**
             * Constructs a new Delta.
             * @memberof sailquay.settings
             * @classdesc Represents a Delta.
             * @constructor
             * @param {sailquay.settings.Delta.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const Delta = function (properties) {
                this.nodes = [];
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * Delta nodes.
             * @member {Array.<sailquay.settings.NodeChange.$Properties>} nodes
             * @memberof sailquay.settings.Delta
             * @instance
             */
            Delta.prototype.nodes = $util.emptyArray;

            /**
             * Encodes the specified Delta message. Does not implicitly {@link sailquay.settings.Delta.verify|verify} messages.
             * @function encode
             * @memberof sailquay.settings.Delta
             * @static
             * @param {sailquay.settings.Delta.$Properties} message Delta message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            Delta.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.nodes != null && message.nodes.length)
                    for (let i = 0; i < message.nodes.length; ++i)
                        $root.sailquay.settings.NodeChange.encode(message.nodes[i], writer.uint32(/* id 1, wireType 2 =*/10).fork(), _depth + 1).ldelim();
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a Delta message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.settings.Delta
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.settings.Delta & sailquay.settings.Delta.$Shape} Delta
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            Delta.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.settings.Delta();
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
                            message.nodes.push($root.sailquay.settings.NodeChange.decode(reader, reader.size(), $undefined, _depth + 1));
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
             * Gets the type url for Delta
             * @function getTypeUrl
             * @memberof sailquay.settings.Delta
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            Delta.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.settings.Delta";
            };

            return Delta;
        })();

        return settings;
    })();

    return sailquay;
})();

export {
  $root as default
};
