import test from 'ava';
import { VirtualClock } from '../../common/clock.js';
import {
  SUSPENSION_MS,
  LOOKUP_TIMEOUT_MS,
  MAX_QUERIES_PER_ROUND,
  ROUND_BURST,
  ROUND_INTERVAL_MS,
  ROUNDS_PER_SECOND,
} from './constants.js';
import { OpeningLookup, type LookupOutcome } from './opening-lookup.js';
import type { OpeningQuery } from './types.js';

const SYN = {
  sourceAddress: 1,
  sourcePort: 40_001,
  destinationAddress: 2,
  destinationPort: 443,
  retransmissionCount: 1,
  waitedMs: 0,
  remainingHoldMs: 350,
};
const { waitedMs: _waitedMs, remainingHoldMs: _remainingHoldMs, ...QUERY } = SYN;

/** A daemon with the peers `north` and `south`. */
class LookupHarness {
  readonly clock = new VirtualClock();
  readonly queries: OpeningQuery[] = [];
  rounds = 0;
  /** True if all peers answer each query within 1 ms that they have not placed the opening. */
  areAnswersPrompt = false;
  /** Waiting times with which the edge delivered SYNs again. */
  readonly redelivered: number[] = [];
  readonly ended: LookupOutcome[] = [];
  peers: readonly string[] = ['north', 'south'];
  isSearchingPeers = false;
  readonly lookup = new OpeningLookup({
    clock: this.clock,
    edge: { keepPacket: () => (waitedMs) => this.redelivered.push(waitedMs) },
    peers: {
      hasPeers: () => this.peers.length > 0 || this.isSearchingPeers,
      askAboutOpenings: (queries) => {
        this.rounds += 1;
        if (this.areAnswersPrompt) this.clock.schedule(1, () => this.answerAll(queries));
        this.queries.push(...queries);
        return this.peers;
      },
      shareHandshakes: () => undefined,
    },
    onEnd: (_query, outcome) => this.ended.push(outcome),
  });

  /** Starts a lookup and sends its query. */
  start(syn: typeof SYN & { readonly acknowledgement?: number } = SYN): LookupOutcome['kind'] {
    const { kind } = this.lookup.lookUp(syn);
    this.clock.advance(0);
    return kind;
  }

  private answerAll(queries: readonly OpeningQuery[]): void {
    for (const { retransmissionCount: _retransmissionCount, ...flow } of queries) {
      for (const peer of this.peers) this.lookup.applyAnswer({ ...flow, backendId: undefined }, peer);
    }
  }

  answer(peer: string, backendId?: string): void {
    this.lookup.applyAnswer({ ...QUERY, backendId }, peer);
  }
}

test('a first SYN is placed without asking peers', (t) => {
  const harness = new LookupHarness();
  t.deepEqual(harness.lookup.lookUp({ ...SYN, retransmissionCount: 0 }), { kind: 'not-needed' });
  t.deepEqual(harness.queries, []);
});

test('a retransmitted SYN waits for the first peer that has placed the opening', (t) => {
  const harness = new LookupHarness();
  t.is(harness.start(), 'pending');
  t.deepEqual(harness.queries, [QUERY]);
  harness.clock.advance(3);
  harness.answer('south', 'b');
  t.deepEqual(harness.redelivered, [3]);
  const found = { kind: 'found', backendId: 'b', peer: 'south' } as const;
  t.deepEqual(harness.lookup.lookUp(SYN), found);
  harness.answer('north', 'a');
  t.deepEqual(harness.lookup.lookUp(SYN), found, 'a later answer changes nothing');
  t.is(harness.queries.length, 1);
});

test('a lookup ends as soon as all peers have answered that they have not placed the opening', (t) => {
  const harness = new LookupHarness();
  harness.start();
  harness.answer('north');
  harness.answer('north');
  t.deepEqual(harness.redelivered, [], 'a repeated answer counts once');
  harness.answer('south');
  t.deepEqual(harness.ended, [{ kind: 'not-found', asked: 2, unanswered: 0 }]);
});

test('a lookup ends at its timeout without the answer of a dead peer', (t) => {
  const harness = new LookupHarness();
  harness.start();
  harness.answer('north');
  harness.clock.advance(LOOKUP_TIMEOUT_MS);
  t.deepEqual(harness.ended, [{ kind: 'not-found', asked: 2, unanswered: 1 }]);
  t.deepEqual(harness.redelivered, [LOOKUP_TIMEOUT_MS]);
});

test('no peer is asked about a SYN that may not be held, or if no peer is known', (t) => {
  const harness = new LookupHarness();
  t.deepEqual(harness.lookup.lookUp({ ...SYN, remainingHoldMs: 0 }), { kind: 'not-needed' });
  harness.peers = [];
  t.deepEqual(harness.lookup.lookUp(SYN), { kind: 'not-needed' });
});

// Guards against a daemon that has just started and decides on a packet before it knows its peers.
test('a daemon that searches for peers asks as soon as it knows them', (t) => {
  const harness = new LookupHarness();
  harness.peers = [];
  harness.isSearchingPeers = true;
  t.is(harness.start(), 'pending');
  harness.clock.advance(ROUND_INTERVAL_MS - 1);
  harness.peers = ['north'];
  harness.clock.advance(1);
  harness.answer('north', 'b');
  t.deepEqual(harness.ended, [{ kind: 'found', backendId: 'b', peer: 'north' }]);
});

// Guards against an open flow that is led astray by a daemon whose first peer answers late after its start.
test('the lookup of an open flow goes on until a daemon that has just started knows a peer', (t) => {
  const harness = new LookupHarness();
  const packet = { ...SYN, retransmissionCount: 0, acknowledgement: 7, remainingHoldMs: LOOKUP_TIMEOUT_MS };
  harness.peers = [];
  harness.isSearchingPeers = true;
  t.is(harness.start(packet), 'pending');
  harness.clock.advance(3 * LOOKUP_TIMEOUT_MS + 1);
  t.deepEqual(harness.ended, []);
  harness.peers = ['north'];
  harness.clock.advance(ROUND_INTERVAL_MS);
  harness.answer('north', 'b');
  t.deepEqual(harness.ended, [{ kind: 'found', backendId: 'b', peer: 'north' }]);
  t.is(harness.redelivered.length, 1);
});

test('the lookup of an open flow ends when a daemon gives up its search for peers', (t) => {
  const harness = new LookupHarness();
  const packet = { ...SYN, retransmissionCount: 0, acknowledgement: 7, remainingHoldMs: LOOKUP_TIMEOUT_MS };
  harness.peers = [];
  harness.isSearchingPeers = true;
  harness.start(packet);
  harness.clock.advance(3 * LOOKUP_TIMEOUT_MS);
  harness.isSearchingPeers = false;
  harness.clock.advance(LOOKUP_TIMEOUT_MS);
  t.deepEqual(harness.ended, [{ kind: 'not-found', asked: 0, unanswered: 0 }]);
});

test('a daemon that finds no peer decides after the timeout', (t) => {
  const harness = new LookupHarness();
  harness.peers = [];
  harness.isSearchingPeers = true;
  harness.start();
  harness.clock.advance(LOOKUP_TIMEOUT_MS);
  t.deepEqual(harness.ended, [{ kind: 'not-found', asked: 0, unanswered: 0 }]);
  harness.isSearchingPeers = false;
  t.is(harness.start({ ...SYN, sourcePort: 1 }), 'not-needed');
});

test('the next retransmission of a SYN is looked up again', (t) => {
  const harness = new LookupHarness();
  harness.start();
  harness.answer('north');
  harness.answer('south');
  t.deepEqual(harness.lookup.lookUp({ ...SYN, retransmissionCount: 2 }), { kind: 'pending' });
});

test('lookups share a round of queries, and those that do not fit are placed at once', (t) => {
  const harness = new LookupHarness();
  harness.start();
  const kinds = Array.from({ length: MAX_QUERIES_PER_ROUND + 1 }, (_unused, sourcePort) =>
    harness.start({ ...SYN, sourcePort }),
  );
  t.deepEqual(kinds.slice(-2), ['pending', 'not-needed']);
  harness.clock.advance(ROUND_INTERVAL_MS);
  t.is(harness.rounds, 2);
  t.is(harness.queries.length, 1 + MAX_QUERIES_PER_ROUND);
});

test('rounds of queries after the loss of all daemons are limited', (t) => {
  const harness = new LookupHarness();
  const openings = (ROUND_BURST + 2) * ROUND_INTERVAL_MS;
  harness.areAnswersPrompt = true;
  const openOneEachMs = (fromPort: number): void => {
    for (let sourcePort = fromPort; sourcePort < fromPort + openings; sourcePort += 1) {
      harness.start({ ...SYN, sourcePort });
      harness.clock.advance(1);
    }
  };
  openOneEachMs(0);
  t.is(harness.rounds, ROUND_BURST);
  harness.clock.advance(1_000);
  openOneEachMs(openings);
  t.is(harness.rounds, ROUND_BURST + ROUNDS_PER_SECOND);
});

test('openings are placed at once for a while after most peers did not answer', (t) => {
  const harness = new LookupHarness();
  harness.peers = ['one', 'two', 'three'];
  harness.start();
  harness.answer('one');
  harness.clock.advance(LOOKUP_TIMEOUT_MS);
  t.is(harness.start({ ...SYN, sourcePort: 1 }), 'not-needed');
  harness.clock.advance(SUSPENSION_MS);
  t.is(harness.start({ ...SYN, sourcePort: 1 }), 'pending');
});

// Guards against an opening cookie that is followed without a question to the few peers that are left.
test('peers are asked about open flows also after most of them did not answer', (t) => {
  const harness = new LookupHarness();
  const packet = { ...SYN, retransmissionCount: 0, acknowledgement: 7, remainingHoldMs: LOOKUP_TIMEOUT_MS };
  t.is(harness.start(packet), 'pending');
  harness.clock.advance(LOOKUP_TIMEOUT_MS);
  t.is(harness.start({ ...packet, sourcePort: 1 }), 'pending');
});

test('a stopped daemon delivers no SYN', (t) => {
  const harness = new LookupHarness();
  harness.start();
  harness.lookup.stop();
  harness.clock.advance(LOOKUP_TIMEOUT_MS);
  t.deepEqual(harness.redelivered, []);
});
