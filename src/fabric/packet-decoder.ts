/**
 * Decodes a bare IPv4/TCP packet in place into a reused view, without allocation. Owns no state; relies on the
 * caller to keep `bytes` unchanged for as long as it uses the view.
 */
import { headerChecksum, isPlainHeaderIntact } from './checksum.js';
import { IPV4_HEADER_BYTES, MAX_PACKET_BYTES, PROTOCOL_TCP, TCP_HEADER_BYTES } from './constants.js';
import type { EdgeDropReason, PacketView } from './types.js';

const FLAG_FIN = 0x01;
const FLAG_SYN = 0x02;
const FLAG_RST = 0x04;
const FLAG_ACK = 0x10;
/** "More fragments" bit and fragment offset. */
const FRAGMENT_MASK = 0x3fff;

/** A view over no packet, to be filled by `decodePacket`. */
export function emptyPacketView(): PacketView {
  return {
    bytes: Buffer.alloc(0),
    sourceAddress: 0,
    destinationAddress: 0,
    sourcePort: 0,
    destinationPort: 0,
    syn: false,
    ack: false,
    fin: false,
    rst: false,
    hops: 0,
    relayedFrom: undefined,
  };
}

function readUint32(bytes: Buffer, offset: number): number {
  return (
    ((bytes[offset]! << 24) | (bytes[offset + 1]! << 16) | (bytes[offset + 2]! << 8) | bytes[offset + 3]!) >>>
    0
  );
}

function readUint16(bytes: Buffer, offset: number): number {
  return (bytes[offset]! << 8) | bytes[offset + 1]!;
}

function isHeaderIntact(bytes: Buffer, headerBytes: number): boolean {
  if (headerBytes === IPV4_HEADER_BYTES) return isPlainHeaderIntact(bytes);
  return headerChecksum(bytes, headerBytes) === 0;
}

/**
 * Why the IPv4 packet is malformed; undefined when it is sound. Order: the version before the lengths, because another
 * protocol says nothing by its lengths; the lengths before anything that reads the whole header.
 */
function ipv4Fault(bytes: Buffer): EdgeDropReason | undefined {
  const length = bytes.length;
  if (length === 0) return 'truncated';
  if (bytes[0]! >>> 4 !== 4) return 'not-ipv4';
  if (length < IPV4_HEADER_BYTES) return 'truncated';
  if (length > MAX_PACKET_BYTES) return 'oversized';
  const headerBytes = (bytes[0]! & 0x0f) * 4;
  if (headerBytes < IPV4_HEADER_BYTES) return 'not-ipv4';
  const totalBytes = readUint16(bytes, 2);
  if (totalBytes > length || headerBytes > totalBytes) return 'truncated';
  if (totalBytes < length) return 'oversized';
  return headerFault(bytes, headerBytes);
}

/** Why a header of sound lengths is not accepted. The checksum comes first: without it no field can be believed. */
function headerFault(bytes: Buffer, headerBytes: number): EdgeDropReason | undefined {
  if (!isHeaderIntact(bytes, headerBytes)) return 'bad-checksum';
  if (bytes[8] === 0) return 'ttl-exceeded';
  if ((readUint16(bytes, 6) & FRAGMENT_MASK) !== 0) return 'fragment';
  return bytes[9] === PROTOCOL_TCP ? undefined : 'not-tcp';
}

/**
 * Checks `bytes` and fills `view` (all but `hops` and `relayedFrom`). Returns why the packet is malformed, or
 * undefined when the view is valid. The TCP checksum is left to the end points.
 */
export function decodePacket(bytes: Buffer, view: PacketView): EdgeDropReason | undefined {
  const fault = ipv4Fault(bytes);
  if (fault !== undefined) return fault;
  const tcp = (bytes[0]! & 0x0f) * 4;
  if (tcp + TCP_HEADER_BYTES > bytes.length) return 'truncated';
  const tcpHeaderBytes = (bytes[tcp + 12]! >>> 4) * 4;
  if (tcpHeaderBytes < TCP_HEADER_BYTES || tcp + tcpHeaderBytes > bytes.length) return 'truncated';
  const flags = bytes[tcp + 13]!;
  view.bytes = bytes;
  view.sourceAddress = readUint32(bytes, 12);
  view.destinationAddress = readUint32(bytes, 16);
  view.sourcePort = readUint16(bytes, tcp);
  view.destinationPort = readUint16(bytes, tcp + 2);
  view.syn = (flags & FLAG_SYN) !== 0;
  view.ack = (flags & FLAG_ACK) !== 0;
  view.fin = (flags & FLAG_FIN) !== 0;
  view.rst = (flags & FLAG_RST) !== 0;
  return undefined;
}
