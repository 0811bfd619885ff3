/** Packets of the cookie edge, packets of the tunnelled edge with its relay header, and cookies of back ends. */
import {
  decodePacket as decodePlatformPacket,
  emptyPacket,
  encodeReset,
  encodeBackendPrefix,
  writeCookie,
} from '../../platform/packet-codec.js';
import { headerChecksum, tcpChecksum } from '../../src/fabric/checksum.js';
import { decodePacket, emptyPacketView } from '../../src/fabric/packet-decoder.js';
import { encodeRelayFrame, isRelayFrame, relayHops } from '../../src/fabric/relay-frame.js';
import { buildReset, decodeSegment, encodeSegment } from '../../src/fabric/segment-codec.js';
import { CookieRegistry } from '../../src/cookie-edge/forwarding/cookie-registry.js';
import { fromHex, mapValues, toHex, toPlain } from './wire-support.js';

const ADDRESSES = '0100000a 409c 0200c80a 5000 efbeadde';

/**
 * Packets of callers as they arrive: length, flags, sequence, acknowledgement, echo, addresses with ports, sum,
 * data.
 */
const CALLER_PACKETS = {
  data: `0500 10 04030201 08070605 0c0b0a09 ${ADDRESSES} 68656c6c6f`,
  withoutData: `0000 10 04030201 08070605 00000000 ${ADDRESSES}`,
  syn: `0000 20 04030201 00000000 00000000 ${ADDRESSES}`,
  synSentAgain: `0000 20 04030201 02000000 00000000 ${ADDRESSES}`,
  fin: `0000 50 ffffffff feffffff 0c0b0a89 ${ADDRESSES}`,
  reset: `0000 02 04030201 08070605 0c0b0a09 ${ADDRESSES}`,
  allFlagsUnknownToo: `0000 dd 04030201 08070605 0c0b0a09 ${ADDRESSES}`,
  synWithData: `0100 20 04030201 00000000 00000000 ${ADDRESSES} 68`,
  synWithAck: `0000 30 04030201 00000000 00000000 ${ADDRESSES}`,
  cutHead: '0000 10 0403',
  cutData: `0500 10 04030201 08070605 0c0b0a09 ${ADDRESSES} 6865`,
  dataTooLong: `b104 10 04030201 08070605 0c0b0a09 ${ADDRESSES}`,
  moreThanItsLength: `0100 10 04030201 08070605 0c0b0a09 ${ADDRESSES} 6865`,
} as const;

const RESET_TARGET = {
  sourceAddress: 0x0a000001,
  sourcePort: 40_000,
  destinationAddress: 0x0ac80002,
  destinationPort: 80,
  acknowledgement: 0x05060708,
  retransmissionCount: 0,
};

const BACKEND_IDS = ['', 'b-1', 'b-2', 'orders-00c0ffee', 'srv-0123456789abcdef', 'überlast', 'x'.repeat(64)];
const TARGET_IDS = [...BACKEND_IDS, 'srv-ABCDEF', 'srv-f0123456789abcdef', 'none-zzz'];

/** What a caller's packet holds; the count in a SYN is recorded by the name of its place on the wire. */
function decodeCallerPacket(digits: string): unknown {
  const view = emptyPacket();
  const dropped = decodePlatformPacket(fromHex(digits), view);
  if (dropped !== undefined) return { hex: toHex(fromHex(digits)), dropped };
  const { retransmissionCount, ...fields } = view;
  const decoded = { ...fields, acknowledgement: fields.acknowledgement || retransmissionCount };
  return { hex: toHex(fromHex(digits)), decoded };
}

function packetWithCookie(): string {
  const packet = fromHex(CALLER_PACKETS.data);
  writeCookie(packet, 0x89abcdef);
  return toHex(packet);
}

/** Packets of the cookie edge. */
export function computeCookieEdgePackets(): Promise<unknown> {
  return Promise.resolve({
    received: mapValues(CALLER_PACKETS, decodeCallerPacket),
    withCookie: packetWithCookie(),
    reset: toHex(encodeReset(RESET_TARGET)),
    targets: Object.fromEntries(TARGET_IDS.map((id) => [id, toHex(encodeBackendPrefix(id))])),
  });
}

type Backend = Parameters<CookieRegistry['add']>[0];

function knownBackend(id: string, createdRevision: number): Backend {
  const record = {
    id,
    service: 'orders',
    endpoint: { host: '10.1.0.1', port: 7_000 },
    zone: 'a',
    capacity: 4,
    draining: false,
    coldMs: 0,
    createdRevision,
    revision: createdRevision,
  };
  return {
    id,
    record,
    departed: false,
    lapsed: false,
    removedRevision: -1,
    departedAtMs: undefined,
    coldUntilMs: 0,
  };
}

/** Two ids with equal first hashes, found by trying. */
const COLLIDING_IDS = ['i-1897b', 'i-538a8'] as const;

function collidingCookies(): unknown {
  const registry = new CookieRegistry();
  const backends = COLLIDING_IDS.map((id, index) => knownBackend(id, 10 - index));
  backends.forEach((backend) => registry.add(backend));
  const cookies = backends.map((backend) => [backend.id, registry.cookieOf(backend)]);
  return { collisions: registry.collisions, cookies: Object.fromEntries(cookies) as unknown };
}

/** The cookies that name back ends. */
export function computeCookies(): Promise<unknown> {
  const registry = new CookieRegistry();
  const backends = BACKEND_IDS.map((id) => knownBackend(id, 1));
  backends.forEach((backend) => registry.add(backend));
  const cookies = backends.map((backend) => [backend.id, registry.cookieOf(backend)]);
  const openingCookies = backends.map((backend) => [backend.id, registry.openingCookieOf(backend)]);
  return Promise.resolve({
    cookies: Object.fromEntries(cookies) as unknown,
    openingCookies: Object.fromEntries(openingCookies) as unknown,
    colliding: collidingCookies(),
  });
}

const NO_FLAGS = { syn: false, ack: false, fin: false, rst: false };
const SEGMENT = {
  sourceAddress: 0x0a000001,
  destinationAddress: 0xc0a80002,
  sourcePort: 40_000,
  destinationPort: 443,
  ...NO_FLAGS,
  sequence: 0xfffffff0,
  acknowledgement: 0x01020304,
  payload: Buffer.alloc(0),
};
const SEGMENTS = {
  syn: { ...SEGMENT, syn: true, acknowledgement: 0 },
  synAck: { ...SEGMENT, syn: true, ack: true },
  data: { ...SEGMENT, ack: true, payload: Buffer.from('hello') },
  fin: { ...SEGMENT, ack: true, fin: true, payload: Buffer.from('odd') },
  reset: { ...SEGMENT, rst: true },
} as const;

function segmentForms(segment: (typeof SEGMENTS)[keyof typeof SEGMENTS]): unknown {
  const bytes = encodeSegment(segment);
  const view = emptyPacketView();
  const dropped = decodePacket(bytes, view);
  const reset = buildReset(view);
  const { bytes: _inner, ...seen } = view;
  return {
    hex: toHex(bytes),
    ...(dropped ? { dropped } : { seen: toPlain(seen) }),
    decoded: toPlain(decodeSegment(bytes)),
    answeredBy: reset ? toHex(reset) : null,
  };
}

/** A packet with IP and TCP options, as a fabric may bring it: the header checksum is set here. */
function packetWithOptions(): Buffer {
  const plain = encodeSegment(SEGMENTS.data);
  const ip = Buffer.concat([plain.subarray(0, 20), fromHex('01010100')]);
  const tcp = Buffer.concat([plain.subarray(20, 40), fromHex('02040578'), plain.subarray(40)]);
  const packet = Buffer.concat([ip, tcp]);
  packet[0] = 0x46;
  packet[24 + 12] = 0x60;
  packet.writeUInt16BE(packet.length, 2);
  packet.writeUInt16BE(0, 10);
  packet.writeUInt16BE(headerChecksum(packet, 24), 10);
  packet.writeUInt16BE(0, 24 + 16);
  packet.writeUInt16BE(tcpChecksum(packet, 24, packet.length), 24 + 16);
  return packet;
}

/** A data packet with the byte at `offset` replaced, and its header checksum right again unless `keepSum` is set. */
function changedPacket(offset: number, value: number, keepSum = false): Buffer {
  const packet = encodeSegment(SEGMENTS.data);
  packet[offset] = value;
  if (keepSum) return packet;
  packet.writeUInt16BE(0, 10);
  packet.writeUInt16BE(headerChecksum(packet, 20), 10);
  return packet;
}

/** Packets that are dropped, by what is wrong with them. */
function malformedPackets(): Readonly<Record<string, Buffer>> {
  const data = encodeSegment(SEGMENTS.data);
  return {
    empty: Buffer.alloc(0),
    cut: data.subarray(0, 30),
    longer: Buffer.concat([data, Buffer.alloc(1)]),
    ipv6: changedPacket(0, 0x65),
    shortHeader: changedPacket(0, 0x44),
    udp: changedPacket(9, 17),
    wrongSum: changedPacket(12, 0x0b, true),
    noTtl: changedPacket(8, 0),
    fragment: changedPacket(6, 0x20),
    tcpHeaderTooShort: changedPacket(32, 0x40),
    wrongTcpSum: changedPacket(44, 0x21),
  };
}

function relayForms(): unknown {
  const packet = encodeSegment(SEGMENTS.data);
  const frames = [0, 1, 2, 3, 4].map((hops) => encodeRelayFrame(packet, hops));
  const read = (frame: Buffer): unknown => ({ relayed: isRelayFrame(frame), hops: relayHops(frame) ?? null });
  return {
    frames: frames.map((frame) => (frame ? { hex: toHex(frame), ...(read(frame) as object) } : null)),
    barePacket: read(packet),
    otherVersion: read(fromHex('71020100')),
    cut: read(fromHex('7101')),
  };
}

/** Packets of the tunnelled edge and the header between balancers. */
export function computeTunnelledPackets(): Promise<unknown> {
  const withOptions = packetWithOptions();
  return Promise.resolve({
    segments: mapValues(SEGMENTS, segmentForms),
    withOptions: { hex: toHex(withOptions), decoded: toPlain(decodeSegment(withOptions)) },
    malformed: mapValues(malformedPackets(), (packet) => toPlain(decodeSegment(packet))),
    relay: relayForms(),
  });
}
