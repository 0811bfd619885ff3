import test, { type ExecutionContext } from 'ava';
import fc from 'fast-check';
import { VirtualClock } from '../../common/clock.js';
import { seededRandom, type RandomSource } from '../../common/random.js';
import { decodeSegment, type Segment } from '../../fabric/index.js';
import { RETRANSMIT_INITIAL_MS } from './constants.js';
import { encodeMessage, MessageReader, SegmentConnection, type ConnectionListener } from './index.js';

const CLIENT = { address: 0x0ac80001, port: 1_024 };
const SERVER = { address: 0x0a010001, port: 443 };

interface Link {
  readonly lossShare: number;
  readonly duplicateShare: number;
  /** Packets wait between 1 ms and this. */
  readonly maxDelayMs: number;
}

interface End {
  readonly events: string[];
  received: string;
  connection: SegmentConnection | undefined;
}

function newEnd(): End {
  return { events: [], received: '', connection: undefined };
}

function listen(end: End): ConnectionListener {
  return {
    onOpen: () => end.events.push('open'),
    onData: (bytes) => (end.received += bytes.toString('latin1')),
    onPeerClosed: () => end.events.push('peer-closed'),
    onClosed: () => end.events.push('closed'),
    onFailed: (failure) => end.events.push(failure),
  };
}

/** Two ends over a link on a virtual clock. `filter` may drop packets on purpose. */
class Wire {
  readonly clock = new VirtualClock();
  readonly client = newEnd();
  readonly server = newEnd();
  accepts = true;
  filter: (segment: Segment, towards: End) => boolean = () => true;
  private readonly random: RandomSource;

  constructor(
    private readonly link: Link = { lossShare: 0, duplicateShare: 0, maxDelayMs: 1 },
    seed = 1,
  ) {
    this.random = seededRandom(seed);
  }

  open(initialSequence = 0xfffffff0): SegmentConnection {
    this.client.connection = SegmentConnection.open({
      local: CLIENT,
      remote: SERVER,
      clock: this.clock,
      initialSequence,
      transmit: (packet) => this.carry(packet, this.server),
      listener: listen(this.client),
    });
    return this.client.connection;
  }

  private carry(packet: Buffer, towards: End): void {
    const copies = this.random() < this.link.duplicateShare ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      if (this.random() < this.link.lossShare) continue;
      const delayMs = 1 + this.random() * (this.link.maxDelayMs - 1);
      this.clock.schedule(delayMs, () => this.arrive(packet, towards));
    }
  }

  private arrive(packet: Buffer, towards: End): void {
    const segment = decodeSegment(packet);
    if (typeof segment === 'string') throw new Error(`malformed segment: ${segment}`);
    if (!this.filter(segment, towards)) return;
    if (towards.connection) towards.connection.receive(segment);
    else if (this.accepts && segment.syn) this.accept(segment);
  }

  accept(syn: Segment, initialSequence = 0x7fffffff): void {
    this.server.connection = SegmentConnection.accept(
      {
        local: SERVER,
        remote: CLIENT,
        clock: this.clock,
        initialSequence,
        transmit: (packet) => this.carry(packet, this.client),
        listener: listen(this.server),
      },
      syn,
    );
  }
}

function text(length: number, random: RandomSource): string {
  return Array.from({ length }, () => String.fromCharCode(97 + Math.floor(random() * 26))).join('');
}

/** Sends texts both ways in pieces, closes both ends, and checks that all arrived once, whole and in order. */
function exchangeAll(t: ExecutionContext, wire: Wire, seed: number): void {
  const random = seededRandom(seed);
  const pieces = Array.from({ length: 12 }, () => text(1 + Math.floor(random() * 5_000), random));
  let answered = '';
  const client = wire.open();
  for (const piece of pieces) {
    client.write(Buffer.from(piece));
    wire.clock.advance(30);
    wire.server.connection?.write(Buffer.from(piece));
    if (wire.server.connection) answered += piece;
  }
  client.close();
  wire.clock.advance(20_000);
  wire.server.connection?.close();
  wire.clock.advance(30_000);
  t.is(wire.server.received, pieces.join(''));
  t.is(wire.client.received, answered);
  t.deepEqual(wire.client.events, ['open', 'peer-closed', 'closed']);
  t.deepEqual(wire.server.events, ['open', 'peer-closed', 'closed']);
}

const LINKS: readonly (Link & { readonly name: string })[] = [
  { name: 'clean', lossShare: 0, duplicateShare: 0, maxDelayMs: 1 },
  { name: 'reordering', lossShare: 0, duplicateShare: 0, maxDelayMs: 40 },
  { name: 'duplicating', lossShare: 0, duplicateShare: 0.5, maxDelayMs: 20 },
  { name: 'lossy', lossShare: 0.1, duplicateShare: 0, maxDelayMs: 1 },
  { name: 'all at once', lossShare: 0.1, duplicateShare: 0.2, maxDelayMs: 40 },
];

for (const link of LINKS) {
  test(`bytes arrive once, whole and in order over a ${link.name} link`, (t) => {
    for (let seed = 1; seed <= 10; seed += 1) exchangeAll(t, new Wire(link, seed), seed);
  });
}

test('a burst of losses is made good within one timeout and a round trip each', (t) => {
  const wire = new Wire();
  const client = wire.open();
  wire.clock.advance(100);
  const lost = new Set<number>();
  wire.filter = (segment, towards) => {
    const first = towards === wire.server && segment.payload.length > 0 && !lost.has(segment.sequence);
    if (first) lost.add(segment.sequence);
    return !first;
  };
  const messages = Array.from({ length: 20 }, (_, index) => `message ${index};`);
  for (const message of messages) client.write(Buffer.from(message));
  wire.clock.advance(RETRANSMIT_INITIAL_MS + messages.length * 2);
  t.is(lost.size, messages.length);
  t.is(wire.server.received, messages.join(''));
  t.deepEqual(wire.client.events, ['open']);
});

test('a repeated SYN gets the same SYN-ACK', (t) => {
  const wire = new Wire();
  const initials: number[] = [];
  wire.filter = (segment, towards) => {
    if (towards !== wire.client || !segment.syn) return true;
    initials.push(segment.sequence);
    return initials.length >= 3;
  };
  wire.open();
  wire.clock.advance(3_000);
  t.deepEqual(wire.client.events, ['open']);
  t.true(initials.length >= 3);
  t.is(new Set(initials).size, 1);
});

interface FailureCase {
  readonly name: string;
  readonly provoke: (wire: Wire, client: SegmentConnection) => void;
  readonly advanceMs: number;
  readonly events: readonly string[];
}

const resetTowardsClient = (segment: Partial<Segment>): Segment => ({
  sourceAddress: SERVER.address,
  sourcePort: SERVER.port,
  destinationAddress: CLIENT.address,
  destinationPort: CLIENT.port,
  syn: false,
  ack: false,
  fin: false,
  rst: true,
  sequence: 0,
  acknowledgement: 0,
  payload: Buffer.alloc(0),
  ...segment,
});

const FAILURES: readonly FailureCase[] = [
  {
    name: 'a reset that acknowledges the SYN refuses',
    provoke: (_wire, client) =>
      client.receive(resetTowardsClient({ ack: true, acknowledgement: 0xfffffff1 })),
    advanceMs: 0,
    events: ['refused'],
  },
  {
    name: 'a reset for another SYN is ignored',
    provoke: (_wire, client) => client.receive(resetTowardsClient({ ack: true, acknowledgement: 5 })),
    advanceMs: 100,
    events: ['open'],
  },
  {
    name: 'nobody answers the SYN',
    provoke: (wire) => (wire.accepts = false),
    advanceMs: 20_000,
    events: ['open-timeout'],
  },
  {
    name: 'acknowledgements stop',
    provoke: (wire, client) => {
      wire.clock.advance(100);
      wire.filter = () => false;
      client.write(Buffer.from('lost'));
    },
    advanceMs: 20_000,
    events: ['open', 'give-up'],
  },
  {
    name: 'silence without anything to acknowledge is no failure',
    provoke: (wire) => {
      wire.clock.advance(100);
      wire.filter = () => false;
    },
    advanceMs: 600_000,
    events: ['open'],
  },
  {
    name: 'the peer resets',
    provoke: (wire) => {
      wire.clock.advance(100);
      wire.server.connection?.abort();
    },
    advanceMs: 100,
    events: ['open', 'reset'],
  },
  {
    name: 'a reset from before the window is ignored',
    provoke: (wire, client) => {
      wire.clock.advance(100);
      client.receive(resetTowardsClient({ sequence: 0x7ffffff0 }));
    },
    advanceMs: 100,
    events: ['open'],
  },
  {
    name: 'a second opening by the same peer after a crash is found out',
    provoke: (wire, client) => {
      const syns: Segment[] = [];
      wire.filter = (segment) => {
        if (segment.syn && !segment.ack) syns.push(segment);
        return true;
      };
      wire.clock.advance(2);
      wire.accept(syns[0]!, 99);
      client.write(Buffer.from('never taken'));
    },
    advanceMs: 1_000,
    events: ['open', 'reset'],
  },
];

for (const { name, provoke, advanceMs, events } of FAILURES) {
  test(`failure: ${name}`, (t) => {
    const wire = new Wire();
    provoke(wire, wire.open());
    wire.clock.advance(advanceMs);
    t.deepEqual(wire.client.events, events);
    t.is(wire.server.received, '');
  });
}

test('messages survive any cutting of the stream, and an altered one is told', (t) => {
  const messages = fc.array(fc.record({ id: fc.string(), number: fc.integer() }), { maxLength: 5 });
  fc.assert(
    fc.property(messages, fc.integer({ min: 1, max: 50 }), (sent, pieceBytes) => {
      const stream = Buffer.concat(sent.map((message) => encodeMessage(message)));
      const reader = new MessageReader();
      const received: unknown[] = [];
      for (let start = 0; start < stream.length; start += pieceBytes) {
        received.push(...reader.push(stream.subarray(start, start + pieceBytes)));
      }
      t.deepEqual(received, sent);
    }),
    { seed: 7, numRuns: 200 },
  );
  const altered = encodeMessage({ id: 'one' });
  altered[altered.length - 3]! ^= 1;
  t.deepEqual(new MessageReader().push(altered), [undefined]);
});
