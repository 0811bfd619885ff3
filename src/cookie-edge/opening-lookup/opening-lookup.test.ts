import test from 'ava';
import { VirtualClock } from '../../common/clock.js';
import { LOOKUP_BURST, LOOKUP_TIMEOUT_MS, LOOKUPS_PER_SECOND } from './constants.js';
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
  /** Waiting times with which the edge delivered SYNs again. */
  readonly redelivered: number[] = [];
  readonly ended: LookupOutcome[] = [];
  peers: readonly string[] = ['north', 'south'];
  readonly lookup = new OpeningLookup({
    clock: this.clock,
    edge: { keepPacket: () => (waitedMs) => this.redelivered.push(waitedMs) },
    peers: {
      askAboutOpening: (query) => {
        this.queries.push(query);
        return this.peers;
      },
    },
    onEnd: (_query, outcome) => this.ended.push(outcome),
  });

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
  t.deepEqual(harness.lookup.lookUp(SYN), { kind: 'pending' });
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
  harness.lookup.lookUp(SYN);
  harness.answer('north');
  harness.answer('north');
  t.deepEqual(harness.redelivered, [], 'a repeated answer counts once');
  harness.answer('south');
  t.deepEqual(harness.ended, [{ kind: 'not-found', asked: 2, unanswered: 0 }]);
});

test('a lookup ends at its timeout without the answer of a dead peer', (t) => {
  const harness = new LookupHarness();
  harness.lookup.lookUp(SYN);
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

test('the next retransmission of a SYN is looked up again', (t) => {
  const harness = new LookupHarness();
  harness.lookup.lookUp(SYN);
  harness.clock.advance(LOOKUP_TIMEOUT_MS);
  t.deepEqual(harness.lookup.lookUp({ ...SYN, retransmissionCount: 2 }), { kind: 'pending' });
});

test('lookups after the loss of all daemons are limited, and the others are placed at once', (t) => {
  const harness = new LookupHarness();
  const start = (sourcePort: number): string => harness.lookup.lookUp({ ...SYN, sourcePort }).kind;
  const outcomes = Array.from({ length: LOOKUP_BURST + 10 }, (_unused, port) => start(port));
  t.is(outcomes.filter((kind) => kind === 'pending').length, LOOKUP_BURST);
  harness.clock.advance(1_000);
  const later = Array.from({ length: LOOKUP_BURST }, (_unused, port) => start(1_000 + port));
  t.is(later.filter((kind) => kind === 'pending').length, LOOKUPS_PER_SECOND);
});

test('a stopped daemon delivers no SYN', (t) => {
  const harness = new LookupHarness();
  harness.lookup.lookUp(SYN);
  harness.lookup.stop();
  harness.clock.advance(LOOKUP_TIMEOUT_MS);
  t.deepEqual(harness.redelivered, []);
});
