import test from 'ava';
import { VirtualClock } from '../../common/clock.js';
import { hashString } from '../../common/hash.js';
import { FAILED_RETENTION_MS, LEFT_RETENTION_MS } from './constants.js';
import { GossipQueue, retransmitLimit } from './gossip-queue.js';
import type { Lifecycle, MemberIdentity } from './member-record.js';
import type { MergeOutcome } from './member-merge.js';
import { MemberTable } from './member-table.js';
import { suspicionTimeoutMs } from './suspicion-timeout.js';
import { DEFAULT_MEMBERSHIP_TIMING } from './constants.js';
import type { MemberUpdate } from './wire.js';

const ENDPOINT = { host: '10.0.0.1', port: 1 };

function identity(id: string): MemberIdentity {
  return { id, zone: 'a', control: ENDPOINT, admin: ENDPOINT, data: ENDPOINT };
}

type Version = readonly [incarnation: number, refutation: number];

function news(
  id: string,
  version: Version,
  lifecycle: Lifecycle,
  more: Partial<MemberUpdate> = {},
): MemberUpdate {
  const [incarnation, refutation] = version;
  const base = { idHash: hashString(id), identity: identity(id), incarnation, refutation, lifecycle };
  return { ...base, suspected: false, accuserHash: 0, ...more };
}

test('which news overrules which', (t) => {
  const suspected = { suspected: true, accuserHash: 9 };
  const short = { identity: undefined };
  const cases: [
    name: string,
    known: MemberUpdate,
    heard: MemberUpdate,
    outcome: MergeOutcome,
    state: string,
  ][] = [
    ['later lifecycle', news('b', [5, 0], 'joining'), news('b', [5, 0], 'active'), 'changed', 'active'],
    ['earlier lifecycle', news('b', [5, 0], 'leaving'), news('b', [5, 0], 'active'), 'known', 'leaving'],
    ['suspicion', news('b', [5, 0], 'active'), news('b', [5, 0], 'active', suspected), 'changed', 'active?'],
    [
      'no refutation',
      news('b', [5, 0], 'active', suspected),
      news('b', [5, 0], 'active'),
      'known',
      'active?',
    ],
    ['refutation', news('b', [5, 0], 'active', suspected), news('b', [5, 1], 'active'), 'changed', 'active'],
    ['old suspicion', news('b', [5, 1], 'active'), news('b', [5, 0], 'active', suspected), 'known', 'active'],
    ['restart', news('b', [5, 7], 'active'), news('b', [6, 0], 'joining'), 'changed', 'joining'],
    [
      'unknown restart',
      news('b', [5, 0], 'active'),
      news('b', [6, 0], 'joining', short),
      'unknown',
      'active',
    ],
    ['old process', news('b', [6, 0], 'active'), news('b', [5, 9], 'failed'), 'known', 'active'],
    [
      'reported failure',
      news('b', [5, 0], 'active'),
      news('b', [5, 0], 'failed'),
      'reported-failed',
      'active?',
    ],
    ['planned leave', news('b', [5, 0], 'active'), news('b', [5, 0], 'left', short), 'changed', 'left'],
    ['never from the dead', news('b', [5, 0], 'left'), news('b', [5, 0], 'active'), 'changed', 'active'],
  ];
  for (const [name, known, heard, outcome, state] of cases) {
    const table = new MemberTable(new VirtualClock(), identity('a'), 1);
    table.merge(known);
    t.is(table.merge(heard), outcome, name);
    const record = table.get(hashString('b'))!;
    t.is(`${record.lifecycle}${record.suspected ? '?' : ''}`, state, name);
  }
});

test('a member that left stays so until it is forgotten, one that failed can refute', (t) => {
  const clock = new VirtualClock();
  const table = new MemberTable(clock, identity('a'), 1);
  const [left, failed] = [hashString('left'), hashString('failed')];
  table.merge(news('left', [5, 0], 'active'));
  table.merge(news('left', [5, 0], 'left'));
  table.merge(news('failed', [5, 0], 'active'));
  table.fail(failed);
  t.is(table.merge(news('left', [5, 0], 'active')), 'known');
  t.is(table.merge(news('failed', [5, 0], 'active')), 'known');
  t.is(table.liveCount, 1);
  t.is(table.merge(news('failed', [5, 1], 'active')), 'changed');
  t.is(table.liveCount, 2);
  table.fail(failed);
  clock.advance(LEFT_RETENTION_MS + 1);
  table.prune();
  t.deepEqual([table.get(left), table.get(failed)?.lifecycle], [undefined, 'failed']);
  clock.advance(FAILED_RETENTION_MS);
  table.prune();
  t.is(table.get(failed), undefined);
});

test('equal knowledge has equal digests, whatever the order it came in', (t) => {
  const first = new MemberTable(new VirtualClock(), identity('a'), 1);
  const second = new MemberTable(new VirtualClock(), identity('b'), 2);
  first.merge(news('b', [2, 0], 'joining'));
  second.merge(news('a', [1, 0], 'joining'));
  t.deepEqual(first.bucketDigests(), second.bucketDigests());
  first.merge(news('c', [3, 0], 'active'));
  t.notDeepEqual(first.bucketDigests(), second.bucketDigests());
  second.merge(news('c', [3, 0], 'joining'));
  second.merge(news('c', [3, 0], 'active'));
  t.deepEqual(first.bucketDigests(), second.bucketDigests());
  first.fail(hashString('c'));
  second.merge(news('c', [3, 0], 'left'));
  t.deepEqual(first.bucketDigests(), second.bucketDigests());
});

test('news about this member: refuted, believed, or from a process elsewhere', (t) => {
  const table = new MemberTable(new VirtualClock(), identity('a'), 5);
  table.advanceSelf('active');
  t.is(table.merge(news('a', [5, 0], 'joining')), 'known');
  t.is(table.merge(news('a', [4, 3], 'failed')), 'outdated-accusation');
  t.is(table.merge(news('a', [4, 3], 'active')), 'known');
  t.is(table.merge(news('a', [5, 0], 'active', { suspected: true })), 'accused');
  table.refute({ incarnation: 5, refutation: 4 });
  t.like(table.self, { incarnation: 5, refutation: 5, lifecycle: 'active' });
  t.is(table.merge(news('a', [9, 0], 'active', { identity: undefined })), 'unknown');
  t.is(table.merge(news('a', [9, 0], 'active')), 'accused');
  table.refute({ incarnation: 9, refutation: 0 });
  t.like(table.self, { incarnation: 10, refutation: 0 });
});

test('each piece of news is sent a limited number of times, the least sent first', (t) => {
  const clock = new VirtualClock();
  const queue = new GossipQueue(() => 9);
  const table = new MemberTable(clock, identity('a'), 1);
  table.changes.subscribe(({ record }) => queue.add(record, false, 0));
  table.merge(news('b', [5, 0], 'active'));
  table.merge(news('c', [5, 0], 'active'));
  const entryBytes = 16 + 2;
  const sizes = Array.from({ length: 2 * retransmitLimit(9) + 1 }, () => queue.take(entryBytes).length);
  t.deepEqual(sizes, [...Array.from({ length: 2 * retransmitLimit(9) }, () => 1), 0]);
  table.merge(news('d', [5, 0], 'active'));
  queue.take(entryBytes);
  table.merge(news('e', [5, 0], 'active'));
  t.is(
    queue.take(entryBytes)[0],
    queue.take(10 * entryBytes).at(-1),
    'the newcomer went first, then is the most sent',
  );
});

test('confirmations shorten a suspicion from its longest to its shortest time, which grows with the region', (t) => {
  const timing = DEFAULT_MEMBERSHIP_TIMING;
  for (const members of [2, 3, 12, 367, 1_100]) {
    const times = [1, 2, 3, 4, Infinity].map((accusers) => suspicionTimeoutMs(accusers, members, timing));
    t.deepEqual(
      times,
      [...times].sort((left, right) => right - left),
      `${members}`,
    );
    t.true(times.at(-1)! >= timing.suspicionMinMs);
    t.true(times.at(-1)! > timing.quorumGraceMs);
  }
  t.true(suspicionTimeoutMs(1, 1_100, timing) > suspicionTimeoutMs(1, 100, timing));
});
