import test from 'ava';
import fc from 'fast-check';
import { VirtualClock } from '../../common/clock.js';
import { combine32 } from '../../common/hash.js';
import { seededRandom } from '../../common/random.js';
import type { Member } from '../membership/types.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { VOTE_DIGEST_BUCKETS, GOSSIP_INTERVAL_MS, VERDICT_SENDS, VOTES_PER_MESSAGE } from './constants.js';
import { HealthGossip } from './gossip.js';
import { decodeUpdate } from './message.js';
import { bucketOf, Verdict, VoteTable, type Vote } from './votes.js';

const VOTES = 10 * VOTES_PER_MESSAGE;

function vote(backendId: number, memberHash = 1, version = 1, verdict = Verdict.VERDICT_HEALTHY): Vote {
  return { backendId, memberHash, version, verdict, passiveFailures: 0, load: undefined, learnedAtMs: 0 };
}

function member(id: string): Member {
  const endpoint = { host: '127.0.0.1', port: 1 };
  return {
    id,
    region: 'r',
    zone: 'z',
    control: endpoint,
    admin: endpoint,
    data: endpoint,
    incarnation: 1,
    state: 'active',
    settingsVersion: 0,
  };
}

function startGossip(budget: { messagesLeft: number }) {
  const clock = new VirtualClock();
  const members = ['self', 'a', 'b', 'c', 'd'].map(member);
  const sent: Uint8Array[] = [];
  let attempts = 0;
  const gossip = new HealthGossip({
    clock,
    random: seededRandom(3),
    events: SILENT_EVENT_LOG,
    table: new VoteTable(),
    membership: {
      selfId: 'self',
      view: () => ({ sequence: 1, members, digest: 0, quorate: true }),
      subscribe: () => () => undefined,
    },
    control: {
      send: (_to, _kind, payload) => {
        attempts += 1;
        if (budget.messagesLeft <= 0) return false;
        budget.messagesLeft -= 1;
        sent.push(payload);
        return true;
      },
      handle: () => undefined,
      availableBytesPerSecond: () => 0,
    },
    onVote: () => undefined,
  });
  gossip.start(AbortSignal.timeout(60_000));
  return { clock, gossip, sent, attempts: () => attempts };
}

test('a spent byte budget costs one message for each peer a round, and nothing is lost', (t) => {
  const budget = { messagesLeft: 0 };
  const { clock, gossip, sent, attempts } = startGossip(budget);
  for (let id = 0; id < VOTES; id += 1) gossip.spread(vote(id), 'verdict');
  clock.advance(GOSSIP_INTERVAL_MS);
  const before = attempts();
  clock.advance(3 * GOSSIP_INTERVAL_MS);
  t.is(attempts() - before, 3 * 3);
  budget.messagesLeft = Number.POSITIVE_INFINITY;
  clock.advance(10 * GOSSIP_INTERVAL_MS);
  const times = new Map<number, number>();
  for (const { backendId } of sent.flatMap((payload) => decodeUpdate(payload, 0).votes)) {
    times.set(backendId, (times.get(backendId) ?? 0) + 1);
  }
  t.is(times.size, VOTES);
  t.deepEqual([...new Set(times.values())], [VERDICT_SENDS]);
});

test('a budget for part of a round sends the first votes and keeps the rest', (t) => {
  const { clock, gossip, sent } = startGossip({ messagesLeft: 12 });
  for (let id = 0; id < VOTES; id += 1) gossip.spread(vote(id), 'verdict');
  clock.advance(GOSSIP_INTERVAL_MS * 10);
  const seen = new Set(
    sent.flatMap((payload) => decodeUpdate(payload, 0).votes.map((each) => each.backendId)),
  );
  t.is(seen.size, 4 * VOTES_PER_MESSAGE);
});

const operation = fc.oneof(
  fc.record({
    backendId: fc.nat(80),
    memberHash: fc.nat(4),
    version: fc.integer({ min: 1, max: 6 }),
    verdict: fc.constantFrom(Verdict.VERDICT_NONE, Verdict.VERDICT_HEALTHY, Verdict.VERDICT_UNHEALTHY),
  }),
  fc.record({ keepMembers: fc.array(fc.nat(4)), keepBackends: fc.array(fc.nat(80)) }),
);

test('the kept digest and buckets equal those computed from all votes', (t) => {
  const check = fc.property(fc.array(operation, { maxLength: 60 }), (operations) => {
    const table = new VoteTable();
    for (const each of operations) {
      if ('keepMembers' in each) table.retain(new Set(each.keepMembers), new Set(each.keepBackends));
      else table.apply(vote(each.backendId, each.memberHash, each.version, each.verdict));
    }
    const all = Array.from({ length: 81 }, (_unused, id) => [...table.votesOn(id)]).flat();
    const digest = new Array<number>(VOTE_DIGEST_BUCKETS).fill(0);
    for (const { backendId, memberHash, verdict } of all) {
      const hash = combine32(combine32(backendId, memberHash), verdict);
      if (verdict !== Verdict.VERDICT_NONE)
        digest[bucketOf(backendId)] = (digest[bucketOf(backendId)]! ^ hash) >>> 0;
    }
    const inBuckets = digest.flatMap((_hash, bucket) => table.votesInBucket(bucket));
    t.deepEqual(table.digest(), digest);
    t.is(inBuckets.length, all.length);
  });
  fc.assert(check, { seed: 11, numRuns: 200 });
});
