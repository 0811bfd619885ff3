             * @param {sailquay.flow.CatalogueReply.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const CatalogueReply = function (properties) {
                this.entries = [];
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * CatalogueReply entries.
             * @member {Array.<sailquay.flow.CatalogueEntry.$Properties>} entries
             * @memberof sailquay.flow.CatalogueReply
             * @instance
             */
            CatalogueReply.prototype.entries = $util.emptyArray;

            /**
             * Encodes the specified CatalogueReply message. Does not implicitly {@link sailquay.flow.CatalogueReply.verify|verify} messages.
             * @function encode
             * @memberof sailquay.flow.CatalogueReply
             * @static
             * @param {sailquay.flow.CatalogueReply.$Properties} message CatalogueReply message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            CatalogueReply.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.entries != null && message.entries.length)
                    for (let i = 0; i < message.entries.length; ++i)
                        $root.sailquay.flow.CatalogueEntry.encode(message.entries[i], writer.uint32(/* id 1, wireType 2 =*/10).fork(), _depth + 1).ldelim();
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a CatalogueReply message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.flow.CatalogueReply
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.flow.CatalogueReply & sailquay.flow.CatalogueReply.$Shape} CatalogueReply
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            CatalogueReply.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.flow.CatalogueReply();
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
                            if (!(message.entries && message.entries.length))
                                message.entries = [];
                            message.entries.push($root.sailquay.flow.CatalogueEntry.decode(reader, reader.size(), $undefined, _depth + 1));
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
             * Gets the type url for CatalogueReply
             * @function getTypeUrl
             * @memberof sailquay.flow.CatalogueReply
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            CatalogueReply.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.flow.CatalogueReply";
            };

            return CatalogueReply;
        })();

        flow.BaseRequest = (function() {

            /**
             * Properties of a BaseRequest.
             * @typedef {Object} sailquay.flow.BaseRequest.$Properties
             * @property {number|null} [baseVersion] BaseRequest baseVersion
             * @property {Array.<number>|null} [knownVersions] BaseRequest knownVersions
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a BaseRequest.
             * @memberof sailquay.flow
             * @interface IBaseRequest
             * @augments sailquay.flow.BaseRequest.$Properties
             * @deprecated Use sailquay.flow.BaseRequest.$Properties instead.
             */

            /**
             * Shape of a BaseRequest.
             * @typedef {sailquay.flow.BaseRequest.$Properties} sailquay.flow.BaseRequest.$Shape
             */

            /**
             * Constructs a new BaseRequest.
             * @memberof sailquay.flow
             * @classdesc Represents a BaseRequest.
             * @constructor
             * @param {sailquay.flow.BaseRequest.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const BaseRequest = function (properties) {
                this.knownVersions = [];
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * BaseRequest baseVersion.
             * @member {number} baseVersion
             * @memberof sailquay.flow.BaseRequest
             * @instance
             */
            BaseRequest.prototype.baseVersion = 0;

            /**
             * BaseRequest knownVersions.
             * @member {Array.<number>} knownVersions
             * @memberof sailquay.flow.BaseRequest
             * @instance
             */
            BaseRequest.prototype.knownVersions = $util.emptyArray;

            /**
             * Encodes the specified BaseRequest message. Does not implicitly {@link sailquay.flow.BaseRequest.verify|verify} messages.
             * @function encode
             * @memberof sailquay.flow.BaseRequest
             * @static
             * @param {sailquay.flow.BaseRequest.$Properties} message BaseRequest message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            BaseRequest.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.baseVersion != null && $Object.hasOwnProperty.call(message, "baseVersion") && !$Object.is(message.baseVersion, 0))
                    writer.uint32(/* id 1, wireType 1 =*/9).double(message.baseVersion);
                if (message.knownVersions != null && message.knownVersions.length)
                    writer.uint32(/* id 2, wireType 2 =*/18).doubles(message.knownVersions);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a BaseRequest message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.flow.BaseRequest
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.flow.BaseRequest & sailquay.flow.BaseRequest.$Shape} BaseRequest
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            BaseRequest.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.flow.BaseRequest();
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
                            if (wireType === 2) {
                                if (!(message.knownVersions && message.knownVersions.length))
                                    message.knownVersions = [];
                                reader.doubles(message.knownVersions);
                                continue;
                            }
                            if (wireType !== 1)
                                break;
                            if (!(message.knownVersions && message.knownVersions.length))
                                message.knownVersions = [];
                            message.knownVersions.push(reader.double());
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
             * Gets the type url for BaseRequest
             * @function getTypeUrl
             * @memberof sailquay.flow.BaseRequest
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            BaseRequest.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.flow.BaseRequest";
            };

            return BaseRequest;
        })();

        flow.BaseBackend = (function() {

            /**
             * Properties of a BaseBackend.
             * @typedef {Object} sailquay.flow.BaseBackend.$Properties
             * @property {number|null} [id] BaseBackend id
             * @property {string|null} [host] BaseBackend host
             * @property {number|null} [port] BaseBackend port
             * @property {number|null} [weight] BaseBackend weight
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a BaseBackend.
             * @memberof sailquay.flow
             * @interface IBaseBackend
             * @augments sailquay.flow.BaseBackend.$Properties
             * @deprecated Use sailquay.flow.BaseBackend.$Properties instead.
             */

            /**
             * Shape of a BaseBackend.
             * @typedef {sailquay.flow.BaseBackend.$Properties} sailquay.flow.BaseBackend.$Shape
             */

            /**
             * Constructs a new BaseBackend.
             * @memberof sailquay.flow
             * @classdesc Represents a BaseBackend.
             * @constructor
             * @param {sailquay.flow.BaseBackend.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const BaseBackend = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * BaseBackend id.
             * @member {number} id
             * @memberof sailquay.flow.BaseBackend
             * @instance
             */
            BaseBackend.prototype.id = 0;

            /**
             * BaseBackend host.
             * @member {string} host
             * @memberof sailquay.flow.BaseBackend
             * @instance
             */
            BaseBackend.prototype.host = "";

            /**
             * BaseBackend port.
             * @member {number} port
             * @memberof sailquay.flow.BaseBackend
             * @instance
             */
            BaseBackend.prototype.port = 0;

            /**
             * BaseBackend weight.
             * @member {number} weight
             * @memberof sailquay.flow.BaseBackend
             * @instance
             */
            BaseBackend.prototype.weight = 0;

            /**
             * Encodes the specified BaseBackend message. Does not implicitly {@link sailquay.flow.BaseBackend.verify|verify} messages.
             * @function encode
             * @memberof sailquay.flow.BaseBackend
             * @static
             * @param {sailquay.flow.BaseBackend.$Properties} message BaseBackend message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            BaseBackend.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.id != null && $Object.hasOwnProperty.call(message, "id") && message.id !== 0)
                    writer.uint32(/* id 1, wireType 5 =*/13).fixed32(message.id);
                if (message.host != null && $Object.hasOwnProperty.call(message, "host") && message.host !== "")
                    writer.uint32(/* id 2, wireType 2 =*/18).string(message.host);
                if (message.port != null && $Object.hasOwnProperty.call(message, "port") && message.port !== 0)
                    writer.uint32(/* id 3, wireType 0 =*/24).uint32(message.port);
                if (message.weight != null && $Object.hasOwnProperty.call(message, "weight") && !$Object.is(message.weight, 0))
                    writer.uint32(/* id 4, wireType 1 =*/33).double(message.weight);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a BaseBackend message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.flow.BaseBackend
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.flow.BaseBackend & sailquay.flow.BaseBackend.$Shape} BaseBackend
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            BaseBackend.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.flow.BaseBackend();
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
                            if (wireType !== 2)
                                break;
                            if ((value = reader.stringVerify()).length)
                                message.host = value;
                            else
                                delete message.host;
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
             * Gets the type url for BaseBackend
             * @function getTypeUrl
             * @memberof sailquay.flow.BaseBackend
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            BaseBackend.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.flow.BaseBackend";
            };

            return BaseBackend;
        })();

        flow.BaseService = (function() {

            /**
             * Properties of a BaseService.
             * @typedef {Object} sailquay.flow.BaseService.$Properties
             * @property {number|null} [id] BaseService id
             * @property {Array.<sailquay.flow.BaseBackend.$Properties>|null} [backends] BaseService backends
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a BaseService.
             * @memberof sailquay.flow
             * @interface IBaseService
             * @augments sailquay.flow.BaseService.$Properties
             * @deprecated Use sailquay.flow.BaseService.$Properties instead.
             */

            /**
             * Shape of a BaseService.
             * @typedef {sailquay.flow.BaseService.$Properties} sailquay.flow.BaseService.$Shape
             */

            /**
             * Constructs a new BaseService.
             * @memberof sailquay.flow
             * @classdesc Represents a BaseService.
             * @constructor
             * @param {sailquay.flow.BaseService.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const BaseService = function (properties) {
                this.backends = [];
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * BaseService id.
             * @member {number} id
             * @memberof sailquay.flow.BaseService
             * @instance
             */
            BaseService.prototype.id = 0;

            /**
             * BaseService backends.
             * @member {Array.<sailquay.flow.BaseBackend.$Properties>} backends
             * @memberof sailquay.flow.BaseService
             * @instance
             */
            BaseService.prototype.backends = $util.emptyArray;

            /**
             * Encodes the specified BaseService message. Does not implicitly {@link sailquay.flow.BaseService.verify|verify} messages.
             * @function encode
             * @memberof sailquay.flow.BaseService
             * @static
             * @param {sailquay.flow.BaseService.$Properties} message BaseService message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            BaseService.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.id != null && $Object.hasOwnProperty.call(message, "id") && message.id !== 0)
                    writer.uint32(/* id 1, wireType 5 =*/13).fixed32(message.id);
                if (message.backends != null && message.backends.length)
                    for (let i = 0; i < message.backends.length; ++i)
                        $root.sailquay.flow.BaseBackend.encode(message.backends[i], writer.uint32(/* id 2, wireType 2 =*/18).fork(), _depth + 1).ldelim();
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a BaseService message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.flow.BaseService
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.flow.BaseService & sailquay.flow.BaseService.$Shape} BaseService
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            BaseService.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.flow.BaseService();
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
                            if (wireType !== 2)
                                break;
                            if (!(message.backends && message.backends.length))
                                message.backends = [];
                            message.backends.push($root.sailquay.flow.BaseBackend.decode(reader, reader.size(), $undefined, _depth + 1));
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
             * Gets the type url for BaseService
             * @function getTypeUrl
             * @memberof sailquay.flow.BaseService
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            BaseService.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.flow.BaseService";
            };

            return BaseService;
        })();

        flow.BaseReply = (function() {

            /**
             * Properties of a BaseReply.
             * @typedef {Object} sailquay.flow.BaseReply.$Properties
             * @property {number|null} [baseVersion] BaseReply baseVersion
             * @property {number|null} [differenceFrom] BaseReply differenceFrom
             * @property {number|null} [part] BaseReply part
             * @property {number|null} [partCount] BaseReply partCount
             * @property {Array.<sailquay.flow.BaseService.$Properties>|null} [services] BaseReply services
             * @property {Array.<number>|null} [removedServiceIds] BaseReply removedServiceIds
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a BaseReply.
             * @memberof sailquay.flow
             * @interface IBaseReply
             * @augments sailquay.flow.BaseReply.$Properties
             * @deprecated Use sailquay.flow.BaseReply.$Properties instead.
             */

            /**
             * Shape of a BaseReply.
             * @typedef {sailquay.flow.BaseReply.$Properties} sailquay.flow.BaseReply.$Shape
             */

            /**
             * Constructs a new BaseReply.
             * @memberof sailquay.flow
             * @classdesc Represents a BaseReply.
             * @constructor
             * @param {sailquay.flow.BaseReply.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const BaseReply = function (properties) {
                this.services = [];
                this.removedServiceIds = [];
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * BaseReply baseVersion.
             * @member {number} baseVersion
             * @memberof sailquay.flow.BaseReply
             * @instance
             */
            BaseReply.prototype.baseVersion = 0;

            /**
             * BaseReply differenceFrom.
             * @member {number} differenceFrom
             * @memberof sailquay.flow.BaseReply
             * @instance
             */
            BaseReply.prototype.differenceFrom = 0;

            /**
             * BaseReply part.
             * @member {number} part
             * @memberof sailquay.flow.BaseReply
             * @instance
             */
            BaseReply.prototype.part = 0;

            /**
             * BaseReply partCount.
             * @member {number} partCount
             * @memberof sailquay.flow.BaseReply
             * @instance
             */
            BaseReply.prototype.partCount = 0;

            /**
             * BaseReply services.
             * @member {Array.<sailquay.flow.BaseService.$Properties>} services
             * @memberof sailquay.flow.BaseReply
             * @instance
             */
            BaseReply.prototype.services = $util.emptyArray;

            /**
             * BaseReply removedServiceIds.
             * @member {Array.<number>} removedServiceIds
             * @memberof sailquay.flow.BaseReply
             * @instance
             */
            BaseReply.prototype.removedServiceIds = $util.emptyArray;

            /**
             * Encodes the specified BaseReply message. Does not implicitly {@link sailquay.flow.BaseReply.verify|verify} messages.
             * @function encode
             * @memberof sailquay.flow.BaseReply
             * @static
             * @param {sailquay.flow.BaseReply.$Properties} message BaseReply message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            BaseReply.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.baseVersion != null && $Object.hasOwnProperty.call(message, "baseVersion") && !$Object.is(message.baseVersion, 0))
                    writer.uint32(/* id 1, wireType 1 =*/9).double(message.baseVersion);
                if (message.differenceFrom != null && $Object.hasOwnProperty.call(message, "differenceFrom") && !$Object.is(message.differenceFrom, 0))
                    writer.uint32(/* id 2, wireType 1 =*/17).double(message.differenceFrom);
                if (message.part != null && $Object.hasOwnProperty.call(message, "part") && message.part !== 0)
                    writer.uint32(/* id 3, wireType 0 =*/24).uint32(message.part);
                if (message.partCount != null && $Object.hasOwnProperty.call(message, "partCount") && message.partCount !== 0)
                    writer.uint32(/* id 4, wireType 0 =*/32).uint32(message.partCount);
                if (message.services != null && message.services.length)
                    for (let i = 0; i < message.services.length; ++i)
                        $root.sailquay.flow.BaseService.encode(message.services[i], writer.uint32(/* id 5, wireType 2 =*/42).fork(), _depth + 1).ldelim();
                if (message.removedServiceIds != null && message.removedServiceIds.length)
                    writer.uint32(/* id 6, wireType 2 =*/50).fixed32s(message.removedServiceIds);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a BaseReply message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.flow.BaseReply
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.flow.BaseReply & sailquay.flow.BaseReply.$Shape} BaseReply
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            BaseReply.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.flow.BaseReply();
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
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.differenceFrom = value;
                            else
                                delete message.differenceFrom;
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
                            if (value = reader.uint32())
                                message.partCount = value;
                            else
                                delete message.partCount;
                            continue;
                        }
                    case 5: {
                            if (wireType !== 2)
                                break;
                            if (!(message.services && message.services.length))
                                message.services = [];
                            message.services.push($root.sailquay.flow.BaseService.decode(reader, reader.size(), $undefined, _depth + 1));
                            continue;
                        }
                    case 6: {
                            if (wireType === 2) {
                                if (!(message.removedServiceIds && message.removedServiceIds.length))
                                    message.removedServiceIds = [];
                                reader.fixed32s(message.removedServiceIds);
                                continue;
                            }
                            if (wireType !== 5)
                                break;
                            if (!(message.removedServiceIds && message.removedServiceIds.length))
                                message.removedServiceIds = [];
                            message.removedServiceIds.push(reader.fixed32());
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
             * Gets the type url for BaseReply
             * @function getTypeUrl
             * @memberof sailquay.flow.BaseReply
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            BaseReply.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.flow.BaseReply";
            };

            return BaseReply;
        })();

        flow.Release = (function() {

            /**
             * Properties of a Release.
             * @typedef {Object} sailquay.flow.Release.$Properties
             * @property {Uint8Array|null} [shards] Release shards
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a Release.
             * @memberof sailquay.flow
             * @interface IRelease
             * @augments sailquay.flow.Release.$Properties
             * @deprecated Use sailquay.flow.Release.$Properties instead.
             */

            /**
             * Shape of a Release.
             * @typedef {sailquay.flow.Release.$Properties} sailquay.flow.Release.$Shape
             */

            /**
             * Constructs a new Release.
             * @memberof sailquay.flow
             * @classdesc Represents a Release.
             * @constructor
             * @param {sailquay.flow.Release.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const Release = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * Release shards.
             * @member {Uint8Array} shards
             * @memberof sailquay.flow.Release
             * @instance
             */
            Release.prototype.shards = $util.newBuffer([]);

            /**
             * Encodes the specified Release message. Does not implicitly {@link sailquay.flow.Release.verify|verify} messages.
             * @function encode
             * @memberof sailquay.flow.Release
             * @static
             * @param {sailquay.flow.Release.$Properties} message Release message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            Release.encode = function (message, writer, _depth) {
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
             * Decodes a Release message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.flow.Release
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.flow.Release & sailquay.flow.Release.$Shape} Release
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            Release.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.flow.Release();
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
             * Gets the type url for Release
             * @function getTypeUrl
             * @memberof sailquay.flow.Release
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            Release.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.flow.Release";
            };

            return Release;
        })();

        flow.ReleaseAck = (function() {

            /**
             * Properties of a ReleaseAck.
             * @typedef {Object} sailquay.flow.ReleaseAck.$Properties
             * @property {Uint8Array|null} [shards] ReleaseAck shards
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a ReleaseAck.
             * @memberof sailquay.flow
             * @interface IReleaseAck
             * @augments sailquay.flow.ReleaseAck.$Properties
             * @deprecated Use sailquay.flow.ReleaseAck.$Properties instead.
             */

            /**
             * Shape of a ReleaseAck.
             * @typedef {sailquay.flow.ReleaseAck.$Properties} sailquay.flow.ReleaseAck.$Shape
             */

            /**
             * Constructs a new ReleaseAck.
             * @memberof sailquay.flow
             * @classdesc Represents a ReleaseAck.
             * @constructor
             * @param {sailquay.flow.ReleaseAck.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const ReleaseAck = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * ReleaseAck shards.
             * @member {Uint8Array} shards
             * @memberof sailquay.flow.ReleaseAck
             * @instance
             */
            ReleaseAck.prototype.shards = $util.newBuffer([]);

            /**
             * Encodes the specified ReleaseAck message. Does not implicitly {@link sailquay.flow.ReleaseAck.verify|verify} messages.
             * @function encode
             * @memberof sailquay.flow.ReleaseAck
             * @static
             * @param {sailquay.flow.ReleaseAck.$Properties} message ReleaseAck message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            ReleaseAck.encode = function (message, writer, _depth) {
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
             * Decodes a ReleaseAck message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.flow.ReleaseAck
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.flow.ReleaseAck & sailquay.flow.ReleaseAck.$Shape} ReleaseAck
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            ReleaseAck.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.flow.ReleaseAck();
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
             * Gets the type url for ReleaseAck
             * @function getTypeUrl
             * @memberof sailquay.flow.ReleaseAck
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            ReleaseAck.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.flow.ReleaseAck";
            };

            return ReleaseAck;
        })();

        flow.Offer = (function() {

            /**
             * Properties of an Offer.
             * @typedef {Object} sailquay.flow.Offer.$Properties
             * @property {Uint8Array|null} [shards] Offer shards
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of an Offer.
             * @memberof sailquay.flow
             * @interface IOffer
             * @augments sailquay.flow.Offer.$Properties
             * @deprecated Use sailquay.flow.Offer.$Properties instead.
             */

            /**
             * Shape of an Offer.
             * @typedef {sailquay.flow.Offer.$Properties} sailquay.flow.Offer.$Shape
             */

            /**
             * Constructs a new Offer.
             * @memberof sailquay.flow
             * @classdesc Represents an Offer.
             * @constructor
             * @param {sailquay.flow.Offer.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const Offer = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * Offer shards.
             * @member {Uint8Array} shards
             * @memberof sailquay.flow.Offer
             * @instance
             */
            Offer.prototype.shards = $util.newBuffer([]);

            /**
             * Encodes the specified Offer message. Does not implicitly {@link sailquay.flow.Offer.verify|verify} messages.
             * @function encode
             * @memberof sailquay.flow.Offer
             * @static
             * @param {sailquay.flow.Offer.$Properties} message Offer message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            Offer.encode = function (message, writer, _depth) {
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
             * Decodes an Offer message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.flow.Offer
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.flow.Offer & sailquay.flow.Offer.$Shape} Offer
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            Offer.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.flow.Offer();
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
             * Gets the type url for Offer
             * @function getTypeUrl
             * @memberof sailquay.flow.Offer
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            Offer.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.flow.Offer";
            };

            return Offer;
        })();

        flow.Claim = (function() {

            /**
             * Properties of a Claim.
             * @typedef {Object} sailquay.flow.Claim.$Properties
             * @property {Uint8Array|null} [shards] Claim shards
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a Claim.
             * @memberof sailquay.flow
             * @interface IClaim
             * @augments sailquay.flow.Claim.$Properties
             * @deprecated Use sailquay.flow.Claim.$Properties instead.
             */

            /**
             * Shape of a Claim.
             * @typedef {sailquay.flow.Claim.$Properties} sailquay.flow.Claim.$Shape
             */

            /**
             * Constructs a new Claim.
             * @memberof sailquay.flow
             * @classdesc Represents a Claim.
             * @constructor
             * @param {sailquay.flow.Claim.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const Claim = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * Claim shards.
             * @member {Uint8Array} shards
             * @memberof sailquay.flow.Claim
             * @instance
             */
            Claim.prototype.shards = $util.newBuffer([]);

            /**
             * Encodes the specified Claim message. Does not implicitly {@link sailquay.flow.Claim.verify|verify} messages.
             * @function encode
             * @memberof sailquay.flow.Claim
             * @static
             * @param {sailquay.flow.Claim.$Properties} message Claim message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            Claim.encode = function (message, writer, _depth) {
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
             * Decodes a Claim message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.flow.Claim
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.flow.Claim & sailquay.flow.Claim.$Shape} Claim
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            Claim.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.flow.Claim();
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
             * Gets the type url for Claim
             * @function getTypeUrl
             * @memberof sailquay.flow.Claim
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            Claim.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.flow.Claim";
            };

            return Claim;
        })();

        return flow;
    })();

    return sailquay;
})();

export {
  $root as default
};
