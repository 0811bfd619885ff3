/** Packets as the platform's pages lay them out: a little-endian head of 31 bytes, then data. */
import { createHash, createHmac } from 'node:crypto';

export const HEAD_BYTES = 31;
export const MAX_DATA_BYTES = 1200;
export const SYN = 32;
export const ACK = 16;
export const FIN = 64;
export const RST = 2;
const BOUNCED = 1;

/** Key of the sum. Daemons do not know it. */
const SUM_KEY = 'key of clients and back ends';

/** Returns an IPv4 address as an unsigned 32-bit integer. */
export function toNumber(ip) {
  return ip.split('.').reduce((sum, part) => sum * 256 + Number(part), 0);
}

/** Returns an unsigned 32-bit integer as an IPv4 address. */
export function toAddress(number) {
  return [24, 16, 8, 0].map((shift) => (number >>> shift) & 0xff).join('.');
}

/** Returns the keyed sum of an encoded packet. It covers everything but `echo`, BOUNCED and the sum itself. */
function sumOf(packet) {
  const copy = Buffer.from(packet);
  copy[2] &= ~BOUNCED;
  copy.writeUInt32LE(0, 11);
  copy.writeUInt32LE(0, 27);
  return createHmac('sha256', SUM_KEY).update(copy).digest().readUInt32LE(0);
}

/** Encodes a packet of a client or a back end. */
export function encode({ flags, seq, ack, echo = 0, src, sport, dst, dport, data = Buffer.alloc(0) }) {
  const packet = Buffer.concat([Buffer.alloc(HEAD_BYTES), data]);
  packet.writeUInt16LE(data.length, 0);
  packet[2] = flags;
  packet.writeUInt32LE(seq >>> 0, 3);
  packet.writeUInt32LE(ack >>> 0, 7);
  packet.writeUInt32LE(echo, 11);
  packet.writeUInt32LE(src, 15);
  packet.writeUInt16LE(sport, 19);
  packet.writeUInt32LE(dst, 21);
  packet.writeUInt16LE(dport, 25);
  packet.writeUInt32LE(sumOf(packet), 27);
  return packet;
}

/** Decodes a packet. `isGenuine` is false if its sum is not that of its sender. */
export function decode(packet) {
  const length = packet.readUInt16LE(0);
  const sum = packet.readUInt32LE(27);
  return {
    flags: packet[2] & ~BOUNCED,
    seq: packet.readUInt32LE(3),
    ack: packet.readUInt32LE(7),
    echo: packet.readUInt32LE(11),
    src: packet.readUInt32LE(15),
    sport: packet.readUInt16LE(19),
    dst: packet.readUInt32LE(21),
    dport: packet.readUInt16LE(25),
    sum,
    data: packet.subarray(HEAD_BYTES, HEAD_BYTES + length),
    isGenuine: packet.length === HEAD_BYTES + length && sum === sumOf(packet),
  };
}

/** Returns `left - right` as a signed difference of sequence numbers, which wrap around. */
export function difference(left, right) {
  return (left - right) | 0;
}

/** Returns a 32-bit hash of a text. */
export function hash(text) {
  return createHash('sha256').update(text).digest().readUInt32LE(0);
}

/** Returns the flags of a packet as a text. */
export function describeFlags(flags) {
  const names = { SYN, ACK, FIN, RST };
  return Object.keys(names)
    .filter((name) => (flags & names[name]) !== 0)
    .join('+');
}
