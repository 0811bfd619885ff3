/** Builds and reads whole IPv4/TCP packets; for resets and for the stand-ins. */
import { headerChecksum, tcpChecksum } from './checksum.js';
import { DEFAULT_TTL, IPV4_HEADER_BYTES, PROTOCOL_TCP, TCP_HEADER_BYTES } from './constants.js';
import { decodePacket, emptyPacketView } from './packet-decoder.js';
import type { EdgeDropReason, PacketFlags, PacketView } from './types.js';

/** The fields of a TCP segment that the stand-ins use. Addresses and sequence numbers are unsigned 32-bit. */
export interface Segment extends PacketFlags {
  readonly sourceAddress: number;
  readonly destinationAddress: number;
  readonly sourcePort: number;
  readonly destinationPort: number;
  readonly sequence: number;
  readonly acknowledgement: number;
  readonly payload: Buffer;
}

const DONT_FRAGMENT = 0x4000;
const WINDOW_BYTES = 0xffff;
const HEADERS_BYTES = IPV4_HEADER_BYTES + TCP_HEADER_BYTES;
const DATA_OFFSET = (TCP_HEADER_BYTES / 4) << 4;

function flagBits(flags: PacketFlags): number {
  return (flags.fin ? 0x01 : 0) | (flags.syn ? 0x02 : 0) | (flags.rst ? 0x04 : 0) | (flags.ack ? 0x10 : 0);
}

/** Builds the IPv4 packet of a segment, with both checksums. */
export function encodeSegment(segment: Segment): Buffer {
  const totalBytes = HEADERS_BYTES + segment.payload.length;
  const packet = Buffer.alloc(totalBytes);
  packet[0] = 0x45;
  packet.writeUInt16BE(totalBytes, 2);
  packet.writeUInt16BE(DONT_FRAGMENT, 6);
  packet[8] = DEFAULT_TTL;
  packet[9] = PROTOCOL_TCP;
  packet.writeUInt32BE(segment.sourceAddress, 12);
  packet.writeUInt32BE(segment.destinationAddress, 16);
  packet.writeUInt16BE(headerChecksum(packet, IPV4_HEADER_BYTES), 10);
  packet.writeUInt16BE(segment.sourcePort, 20);
  packet.writeUInt16BE(segment.destinationPort, 22);
  packet.writeUInt32BE(segment.sequence, 24);
  packet.writeUInt32BE(segment.acknowledgement, 28);
  packet[32] = DATA_OFFSET;
  packet[33] = flagBits(segment);
  packet.writeUInt16BE(WINDOW_BYTES, 34);
  segment.payload.copy(packet, HEADERS_BYTES);
  packet.writeUInt16BE(tcpChecksum(packet, IPV4_HEADER_BYTES, totalBytes), 36);
  return packet;
}

function payloadOffset(bytes: Buffer): number {
  const tcp = (bytes[0]! & 0x0f) * 4;
  return tcp + (bytes[tcp + 12]! >>> 4) * 4;
}

function readSegment(view: PacketView): Segment {
  const tcp = (view.bytes[0]! & 0x0f) * 4;
  const { sourceAddress, destinationAddress, sourcePort, destinationPort, syn, ack, fin, rst } = view;
  return {
    sourceAddress,
    destinationAddress,
    sourcePort,
    destinationPort,
    syn,
    ack,
    fin,
    rst,
    sequence: view.bytes.readUInt32BE(tcp + 4),
    acknowledgement: view.bytes.readUInt32BE(tcp + 8),
    payload: view.bytes.subarray(payloadOffset(view.bytes)),
  };
}

/** Reads a packet whole, TCP checksum included; the reason when it is malformed. */
export function decodeSegment(bytes: Buffer): Segment | EdgeDropReason {
  const view = emptyPacketView();
  const fault = decodePacket(bytes, view);
  if (fault !== undefined) return fault;
  const headerBytes = (bytes[0]! & 0x0f) * 4;
  return tcpChecksum(bytes, headerBytes, bytes.length) === 0 ? readSegment(view) : 'bad-checksum';
}

/**
 * The reset that answers a packet towards its sender (RFC 9293, section 3.10.7.1); undefined for a reset, which
 * is never answered.
 */
export function buildReset(packet: PacketView): Buffer | undefined {
  if (packet.rst) return undefined;
  const cause = readSegment(packet);
  const spanned = cause.payload.length + (cause.syn ? 1 : 0) + (cause.fin ? 1 : 0);
  return encodeSegment({
    sourceAddress: cause.destinationAddress,
    destinationAddress: cause.sourceAddress,
    sourcePort: cause.destinationPort,
    destinationPort: cause.sourcePort,
    syn: false,
    fin: false,
    rst: true,
    ack: !cause.ack,
    sequence: cause.ack ? cause.acknowledgement : 0,
    acknowledgement: cause.ack ? 0 : (cause.sequence + spanned) >>> 0,
    payload: Buffer.alloc(0),
  });
}
