/*eslint-disable block-scoped-var, id-length, no-control-regex, no-magic-numbers, no-mixed-operators, no-prototype-builtins, no-redeclare, no-shadow, no-var, sort-vars, default-case, jsdoc/require-param*/
import $protobuf from "protobufjs/minimal.js";

// Common aliases
const $Reader = $protobuf.Reader, $Writer = $protobuf.Writer, $util = $protobuf.util;
const $Object = $util.global.Object, $undefined = $util.global.undefined, $Error = $util.global.Error, $RangeError = $util.global.RangeError;

// Exported root namespace
const $root = $protobuf.roots["control"] || ($protobuf.roots["control"] = {});

export const sailquay = $root.sailquay = (() => {

    /**
     * Namespace sailquay.
     * @exports sailquay
     * @namespace
     */
    const sailquay = {};

    sailquay.control = (function() {

        /**
         * Namespace control.
         * @memberof sailquay
         * @namespace
         */
        const control = {};

        control.Envelope = (function() {

            /**
             * Properties of an Envelope.
             * @typedef {Object} sailquay.control.Envelope.$Properties
             * @property {number|null} [versionMin] Envelope versionMin
             * @property {number|null} [versionMax] Envelope versionMax
             * @property {number|null} [keyId] Envelope keyId
             * @property {string|null} [senderId] Envelope senderId
             * @property {number|null} [senderIncarnation] Envelope senderIncarnation
             * @property {number|null} [sequenceLow] Envelope sequenceLow
             * @property {number|null} [sequenceHigh] Envelope sequenceHigh
             * @property {number|null} [wallSeconds] Envelope wallSeconds
             * @property {number|null} [kind] Envelope kind
             * @property {Uint8Array|null} [payload] Envelope payload
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of an Envelope.
             * @memberof sailquay.control
             * @interface IEnvelope
             * @augments sailquay.control.Envelope.$Properties
             * @deprecated Use sailquay.control.Envelope.$Properties instead.
             */

            /**
             * Shape of an Envelope.
             * @typedef {sailquay.control.Envelope.$Properties} sailquay.control.Envelope.$Shape
             */

            /**
             * Constructs a new Envelope.
             * @memberof sailquay.control
             * @classdesc Represents an Envelope.
             * @constructor
             * @param {sailquay.control.Envelope.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const Envelope = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * Envelope versionMin.
             * @member {number} versionMin
             * @memberof sailquay.control.Envelope
             * @instance
             */
            Envelope.prototype.versionMin = 0;

            /**
             * Envelope versionMax.
             * @member {number} versionMax
             * @memberof sailquay.control.Envelope
             * @instance
             */
            Envelope.prototype.versionMax = 0;

            /**
             * Envelope keyId.
             * @member {number} keyId
             * @memberof sailquay.control.Envelope
             * @instance
             */
            Envelope.prototype.keyId = 0;

            /**
             * Envelope senderId.
             * @member {string} senderId
             * @memberof sailquay.control.Envelope
             * @instance
             */
            Envelope.prototype.senderId = "";

            /**
             * Envelope senderIncarnation.
             * @member {number} senderIncarnation
             * @memberof sailquay.control.Envelope
             * @instance
             */
            Envelope.prototype.senderIncarnation = 0;

            /**
             * Envelope sequenceLow.
             * @member {number} sequenceLow
             * @memberof sailquay.control.Envelope
             * @instance
             */
            Envelope.prototype.sequenceLow = 0;

            /**
             * Envelope sequenceHigh.
             * @member {number} sequenceHigh
             * @memberof sailquay.control.Envelope
             * @instance
             */
            Envelope.prototype.sequenceHigh = 0;

            /**
             * Envelope wallSeconds.
             * @member {number} wallSeconds
             * @memberof sailquay.control.Envelope
             * @instance
             */
            Envelope.prototype.wallSeconds = 0;

            /**
             * Envelope kind.
             * @member {number} kind
             * @memberof sailquay.control.Envelope
             * @instance
             */
            Envelope.prototype.kind = 0;

            /**
             * Envelope payload.
             * @member {Uint8Array} payload
             * @memberof sailquay.control.Envelope
             * @instance
             */
            Envelope.prototype.payload = $util.newBuffer([]);

            /**
             * Encodes the specified Envelope message. Does not implicitly {@link sailquay.control.Envelope.verify|verify} messages.
             * @function encode
             * @memberof sailquay.control.Envelope
             * @static
             * @param {sailquay.control.Envelope.$Properties} message Envelope message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            Envelope.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.versionMin != null && $Object.hasOwnProperty.call(message, "versionMin") && message.versionMin !== 0)
                    writer.uint32(/* id 1, wireType 0 =*/8).uint32(message.versionMin);
                if (message.versionMax != null && $Object.hasOwnProperty.call(message, "versionMax") && message.versionMax !== 0)
                    writer.uint32(/* id 2, wireType 0 =*/16).uint32(message.versionMax);
                if (message.keyId != null && $Object.hasOwnProperty.call(message, "keyId") && message.keyId !== 0)
                    writer.uint32(/* id 3, wireType 0 =*/24).uint32(message.keyId);
                if (message.senderId != null && $Object.hasOwnProperty.call(message, "senderId") && message.senderId !== "")
                    writer.uint32(/* id 4, wireType 2 =*/34).string(message.senderId);
                if (message.senderIncarnation != null && $Object.hasOwnProperty.call(message, "senderIncarnation") && !$Object.is(message.senderIncarnation, 0))
                    writer.uint32(/* id 5, wireType 1 =*/41).double(message.senderIncarnation);
                if (message.sequenceLow != null && $Object.hasOwnProperty.call(message, "sequenceLow") && message.sequenceLow !== 0)
                    writer.uint32(/* id 6, wireType 0 =*/48).uint32(message.sequenceLow);
                if (message.sequenceHigh != null && $Object.hasOwnProperty.call(message, "sequenceHigh") && message.sequenceHigh !== 0)
                    writer.uint32(/* id 7, wireType 0 =*/56).uint32(message.sequenceHigh);
                if (message.wallSeconds != null && $Object.hasOwnProperty.call(message, "wallSeconds") && message.wallSeconds !== 0)
                    writer.uint32(/* id 8, wireType 5 =*/69).fixed32(message.wallSeconds);
                if (message.kind != null && $Object.hasOwnProperty.call(message, "kind") && message.kind !== 0)
                    writer.uint32(/* id 9, wireType 0 =*/72).uint32(message.kind);
                if (message.payload != null && $Object.hasOwnProperty.call(message, "payload") && message.payload.length)
                    writer.uint32(/* id 10, wireType 2 =*/82).bytes(message.payload);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes an Envelope message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.control.Envelope
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.control.Envelope & sailquay.control.Envelope.$Shape} Envelope
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            Envelope.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.control.Envelope();
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
                                message.versionMin = value;
                            else
                                delete message.versionMin;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.versionMax = value;
                            else
                                delete message.versionMax;
                            continue;
                        }
                    case 3: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.keyId = value;
                            else
                                delete message.keyId;
                            continue;
                        }
                    case 4: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.stringVerify()).length)
                                message.senderId = value;
                            else
                                delete message.senderId;
                            continue;
                        }
                    case 5: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.senderIncarnation = value;
                            else
                                delete message.senderIncarnation;
                            continue;
                        }
                    case 6: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.sequenceLow = value;
                            else
                                delete message.sequenceLow;
                            continue;
                        }
                    case 7: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.sequenceHigh = value;
                            else
                                delete message.sequenceHigh;
                            continue;
                        }
                    case 8: {
                            if (wireType !== 5)
                                break;
                            if (value = reader.fixed32())
                                message.wallSeconds = value;
                            else
                                delete message.wallSeconds;
                            continue;
                        }
                    case 9: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.kind = value;
                            else
                                delete message.kind;
                            continue;
                        }
                    case 10: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.bytes()).length)
                                message.payload = value;
                            else
                                delete message.payload;
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
             * Gets the type url for Envelope
             * @function getTypeUrl
             * @memberof sailquay.control.Envelope
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            Envelope.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.control.Envelope";
            };

            return Envelope;
        })();

        return control;
    })();

    return sailquay;
})();

export {
  $root as default
};
