import test from 'ava';
import fc from 'fast-check';
import { headerChecksum } from './checksum.js';
import { decodePacket, emptyPacketView } from './packet-decoder.js';
import { isRelayFrame, relayHops } from './relay-frame.js';
import { buildReset, decodeSegment, encodeSegment, type Segment } from './segment-codec.js';
import type { EdgeDropReason } from './types.js';

const PROPERTY = { seed: 20_261, numRuns: 2_000 };

const SEGMENT: Segment = {
  sourceAddress: 0x0ac80001,
  destinationAddress: 0x0a010001,
  sourcePort: 1_024,
  destinationPort: 443,
  syn: false,
  ack: true,
  fin: false,
  rst: false,
  sequence: 0xfffffffe,
  acknowledgement: 7,
  payload: Buffer.from('payload'),
};

/** A copy of a valid packet with `change` applied and the header checksum made right again. */
function altered(change: (packet: Buffer) => void, packet = Buffer.from(encodeSegment(SEGMENT))): Buffer {
  change(packet);
  packet.writeUInt16BE(0, 10);
  packet.writeUInt16BE(headerChecksum(packet, (packet[0]! & 0x0f) * 4), 10);
  return packet;
}

interface MalformedCase {
  readonly name: string;
  readonly packet: Buffer;
  readonly reason: EdgeDropReason;
}

const VALID = encodeSegment(SEGMENT);

const MALFORMED: readonly MalformedCase[] = [
  { name: 'empty', packet: Buffer.alloc(0), reason: 'truncated' },
  { name: 'one byte', packet: VALID.subarray(0, 1), reason: 'truncated' },
  { name: 'cut in the IPv4 header', packet: VALID.subarray(0, 19), reason: 'truncated' },
  { name: 'cut in the TCP header', packet: VALID.subarray(0, 39), reason: 'truncated' },
  { name: 'cut in the payload', packet: VALID.subarray(0, VALID.length - 1), reason: 'truncated' },
  { name: 'IPv6', packet: altered((packet) => (packet[0] = 0x65)), reason: 'not-ipv4' },
  { name: 'header length 4', packet: altered((packet) => (packet[0] = 0x44)), reason: 'not-ipv4' },
  {
    name: 'header longer than the packet',
    packet: altered((packet) => {
      packet[0] = 0x4f;
      packet.writeUInt16BE(47, 2);
    }),
    reason: 'truncated',
  },
  {
    name: 'total length past the datagram',
    packet: altered((packet) => packet.writeUInt16BE(48, 2)),
    reason: 'truncated',
  },
  { name: 'bytes after the packet', packet: Buffer.concat([VALID, Buffer.alloc(1)]), reason: 'oversized' },
  {
    name: 'larger than a jumbo frame',
    packet: encodeSegment({ ...SEGMENT, payload: Buffer.alloc(9_000) }),
    reason: 'oversized',
  },
  { name: 'TTL 0', packet: altered((packet) => (packet[8] = 0)), reason: 'ttl-exceeded' },
  {
    name: 'first fragment',
    packet: altered((packet) => packet.writeUInt16BE(0x2000, 6)),
    reason: 'fragment',
  },
  {
    name: 'later fragment',
    packet: altered((packet) => packet.writeUInt16BE(0x0001, 6)),
    reason: 'fragment',
  },
  { name: 'UDP', packet: altered((packet) => (packet[9] = 17)), reason: 'not-tcp' },
  { name: 'TCP header length 4', packet: altered((packet) => (packet[32] = 0x40)), reason: 'truncated' },
  { name: 'TCP header past the end', packet: altered((packet) => (packet[32] = 0xf0)), reason: 'truncated' },
  {
    name: 'destination altered under the old checksum',
    packet: Buffer.from(VALID).fill(0x99, 16, 17),
    reason: 'bad-checksum',
  },
];

for (const { name, packet, reason } of MALFORMED) {
  test(`malformed packet: ${name} is ${reason}`, (t) => {
    t.is(decodePacket(packet, emptyPacketView()), reason);
  });
}

test('any IPv4/TCP segment survives encoding and decoding', (t) => {
  const word = fc.integer({ min: 0, max: 0xffffffff });
  const port = fc.integer({ min: 0, max: 0xffff });
  const segments = fc.record({
    sourceAddress: word,
    destinationAddress: word,
    sourcePort: port,
    destinationPort: port,
    syn: fc.boolean(),
    ack: fc.boolean(),
    fin: fc.boolean(),
    rst: fc.boolean(),
    sequence: word,
    acknowledgement: word,
    payload: fc.uint8Array({ maxLength: 100 }).map((bytes) => Buffer.from(bytes)),
  });
  fc.assert(
    fc.property(segments, (segment) => {
      t.deepEqual(decodeSegment(encodeSegment(segment)), segment);
    }),
    PROPERTY,
  );
});

test('arbitrary bytes never throw and are never taken as a packet by chance', (t) => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
      const datagram = Buffer.from(bytes);
      if (isRelayFrame(datagram)) relayHops(datagram);
      return decodePacket(datagram, emptyPacketView()) !== undefined;
    }),
    PROPERTY,
  );
  t.pass();
});

test('a bit flipped in the IPv4 header, or a packet cut anywhere, is always dropped', (t) => {
  for (let bit = 0; bit < 160; bit += 1) {
    const packet = Buffer.from(VALID);
    packet[bit >>> 3]! ^= 1 << (bit & 7);
    t.not(decodePacket(packet, emptyPacketView()), undefined, `bit ${bit}`);
  }
  for (let length = 0; length < VALID.length; length += 1) {
    t.not(decodePacket(VALID.subarray(0, length), emptyPacketView()), undefined, `cut at ${length}`);
  }
});

test('what the decoder accepts of a mutated packet is within its bounds', (t) => {
  const mutations = fc.array(
    fc.record({ offset: fc.nat(VALID.length - 1), value: fc.integer({ min: 0, max: 255 }) }),
    { maxLength: 4 },
  );
  fc.assert(
    fc.property(mutations, (changes) => {
      const packet = altered((bytes) => changes.forEach(({ offset, value }) => (bytes[offset] = value)));
      const view = emptyPacketView();
      if (decodePacket(packet, view) !== undefined) return;
      const segment = decodeSegment(packet);
      t.true(segment === 'bad-checksum' || (typeof segment === 'object' && segment.payload.length <= 7));
      t.notThrows(() => buildReset(view));
      t.is(packet[9], 6);
    }),
    PROPERTY,
  );
});

test('IPv4 and TCP options are passed over, and the header checksum covers them', (t) => {
  const options = Buffer.from([1, 1, 1, 0]);
  const withOptions = Buffer.concat([VALID.subarray(0, 20), options, VALID.subarray(20)]);
  const packet = altered((bytes) => {
    bytes[0] = 0x46;
    bytes.writeUInt16BE(bytes.length, 2);
  }, withOptions);
  const view = emptyPacketView();
  t.is(decodePacket(packet, view), undefined);
  t.deepEqual([view.sourcePort, view.destinationPort], [SEGMENT.sourcePort, SEGMENT.destinationPort]);
  packet[21]! ^= 1;
  t.is(decodePacket(packet, view), 'bad-checksum');
});

interface ResetCase {
  readonly name: string;
  readonly cause: Partial<Segment>;
  readonly reset: Partial<Segment> | undefined;
}

const RESETS: readonly ResetCase[] = [
  {
    name: 'a SYN is acknowledged',
    cause: { syn: true, ack: false, sequence: 0xffffffff, payload: Buffer.alloc(0) },
    reset: { sequence: 0, acknowledgement: 0, ack: true },
  },
  {
    name: 'data without ACK is acknowledged to its end',
    cause: { ack: false, fin: true, sequence: 10 },
    reset: { sequence: 0, acknowledgement: 18, ack: true },
  },
  {
    name: 'an ACK gives the sequence number',
    cause: { acknowledgement: 4_000_000_000 },
    reset: { sequence: 4_000_000_000, acknowledgement: 0, ack: false },
  },
  { name: 'a reset is not answered', cause: { rst: true }, reset: undefined },
];

for (const { name, cause, reset } of RESETS) {
  test(`reset: ${name}`, (t) => {
    const view = emptyPacketView();
    t.is(decodePacket(encodeSegment({ ...SEGMENT, ...cause }), view), undefined);
    const answer = buildReset(view);
    if (!reset) t.is(answer, undefined);
    else
      t.like(answer && decodeSegment(answer), {
        ...reset,
        rst: true,
        sourcePort: 443,
        destinationPort: 1_024,
      });
  });
}

interface FrameCase {
  readonly name: string;
  readonly frame: readonly number[];
  readonly hops: number | undefined;
}

const FRAMES: readonly FrameCase[] = [
  { name: 'two hops', frame: [0x71, 1, 2, 0], hops: 2 },
  { name: 'cut header', frame: [0x71, 1, 2], hops: undefined },
  { name: 'unknown version', frame: [0x71, 2, 2, 0], hops: undefined },
];

for (const { name, frame, hops } of FRAMES) {
  test(`relay frame: ${name}`, (t) => t.is(relayHops(Buffer.from(frame)), hops));
}
