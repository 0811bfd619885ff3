                if (message.openingAnswers != null && message.openingAnswers.length)
                    for (let i = 0; i < message.openingAnswers.length; ++i)
                        $root.sailquay.spreading.OpeningAnswer.encode(message.openingAnswers[i], writer.uint32(/* id 16, wireType 2 =*/130).fork(), _depth + 1).ldelim();
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a PeerMessage message from the specified reader or buffer.
             * @function decode
             * @memberof sailquay.spreading.PeerMessage
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {sailquay.spreading.PeerMessage & sailquay.spreading.PeerMessage.$Shape} PeerMessage
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            PeerMessage.decode = function (reader, length, _end, _depth, _target) {
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
                message = _target || new $root.sailquay.spreading.PeerMessage();
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
                            if (wireType !== 2)
                                break;
                            if ((value = reader.stringVerify()).length)
                                message.senderId = value;
                            else
                                delete message.senderId;
                            continue;
                        }
                    case 3: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.stringVerify()).length)
                                message.senderZone = value;
                            else
                                delete message.senderZone;
                            continue;
                        }
                    case 4: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.bool())
                                message.leaving = value;
                            else
                                delete message.leaving;
                            continue;
                        }
                    case 5: {
                            if (wireType !== 2)
                                break;
                            if (!(message.proofs && message.proofs.length))
                                message.proofs = [];
                            message.proofs.push($root.sailquay.spreading.Proof.decode(reader, reader.size(), $undefined, _depth + 1));
                            continue;
                        }
                    case 6: {
                            if (wireType !== 2)
                                break;
                            if (!(message.readers && message.readers.length))
                                message.readers = [];
                            message.readers.push($root.sailquay.spreading.Reader.decode(reader, reader.size(), $undefined, _depth + 1));
                            continue;
                        }
                    case 7: {
                            if (wireType !== 2)
                                break;
                            if (!(message.peers && message.peers.length))
                                message.peers = [];
                            message.peers.push($root.sailquay.spreading.Peer.decode(reader, reader.size(), $undefined, _depth + 1));
                            continue;
                        }
                    case 8: {
                            if (wireType !== 2)
                                break;
                            if (!(message.updates && message.updates.length))
                                message.updates = [];
                            message.updates.push($root.sailquay.spreading.Update.decode(reader, reader.size(), $undefined, _depth + 1));
                            continue;
                        }
                    case 9: {
                            if (wireType !== 2)
                                break;
                            if (!(message.suspicions && message.suspicions.length))
                                message.suspicions = [];
                            message.suspicions.push($root.sailquay.spreading.Suspicion.decode(reader, reader.size(), $undefined, _depth + 1));
                            continue;
                        }
                    case 10: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.departedCount = value;
                            else
                                delete message.departedCount;
                            continue;
                        }
                    case 12: {
                            if (wireType !== 2)
                                break;
                            if (!(message.loads && message.loads.length))
                                message.loads = [];
                            message.loads.push($root.sailquay.spreading.LoadReport.decode(reader, reader.size(), $undefined, _depth + 1));
                            continue;
                        }
                    case 13: {
                            if (wireType !== 2)
                                break;
                            if (!(message.badAnswers && message.badAnswers.length))
                                message.badAnswers = [];
                            message.badAnswers.push($root.sailquay.spreading.BadAnswer.decode(reader, reader.size(), $undefined, _depth + 1));
                            continue;
                        }
                    case 11: {
                            if (wireType !== 1)
                                break;
                            if (!$Object.is(value = reader.double(), 0))
                                message.tableRevision = value;
                            else
                                delete message.tableRevision;
                            continue;
                        }
                    case 15: {
                            if (wireType !== 2)
                                break;
                            if (!(message.openingQueries && message.openingQueries.length))
                                message.openingQueries = [];
                            message.openingQueries.push($root.sailquay.spreading.OpeningQuery.decode(reader, reader.size(), $undefined, _depth + 1));
                            continue;
                        }
                    case 16: {
                            if (wireType !== 2)
                                break;
                            if (!(message.openingAnswers && message.openingAnswers.length))
                                message.openingAnswers = [];
                            message.openingAnswers.push($root.sailquay.spreading.OpeningAnswer.decode(reader, reader.size(), $undefined, _depth + 1));
                            continue;
                        }
                    case 14: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.bool())
                                message.unsettled = value;
                            else
                                delete message.unsettled;
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
             * Gets the type url for PeerMessage
             * @function getTypeUrl
             * @memberof sailquay.spreading.PeerMessage
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            PeerMessage.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/sailquay.spreading.PeerMessage";
            };

            return PeerMessage;
        })();

        return spreading;
    })();

    return sailquay;
})();

export {
  $root as default
};
