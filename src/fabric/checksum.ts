/** The Internet checksum (RFC 1071) over IPv4 headers and TCP segments. */
import { PROTOCOL_TCP } from './constants.js';

function fold(sum: number): number {
  let folded = sum;
  while (folded > 0xffff) folded = (folded & 0xffff) + Math.floor(folded / 0x10000);
  return folded;
}

function sumWords(bytes: Buffer, start: number, end: number): number {
  let sum = 0;
  let offset = start;
  for (; offset + 1 < end; offset += 2) sum += (bytes[offset]! << 8) | bytes[offset + 1]!;
  if (offset < end) sum += bytes[offset]! << 8;
  return sum;
}

/** True when the checksum of a 20-byte IPv4 header at the start of `bytes` is right; written out for speed. */
export function isPlainHeaderIntact(bytes: Buffer): boolean {
  const high =
    bytes[0]! +
    bytes[2]! +
    bytes[4]! +
    bytes[6]! +
    bytes[8]! +
    bytes[10]! +
    bytes[12]! +
    bytes[14]! +
    bytes[16]! +
    bytes[18]!;
  const low =
    bytes[1]! +
    bytes[3]! +
    bytes[5]! +
    bytes[7]! +
    bytes[9]! +
    bytes[11]! +
    bytes[13]! +
    bytes[15]! +
    bytes[17]! +
    bytes[19]!;
  const sum = (high << 8) + low;
  return (sum & 0xffff) + (sum >>> 16) === 0xffff;
}

/** Checksum of an IPv4 header of `headerBytes` at `offset`; 0 when its checksum field is right. */
export function headerChecksum(bytes: Buffer, headerBytes: number, offset = 0): number {
  return ~fold(sumWords(bytes, offset, offset + headerBytes)) & 0xffff;
}

/** Checksum of a TCP segment with its pseudo header; 0 when its checksum field is right. */
export function tcpChecksum(packet: Buffer, headerBytes: number, totalBytes: number): number {
  const addresses = sumWords(packet, 12, 20);
  const segment = sumWords(packet, headerBytes, totalBytes);
  return ~fold(addresses + PROTOCOL_TCP + (totalBytes - headerBytes) + segment) & 0xffff;
}
