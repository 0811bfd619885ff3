/** Standing against the base, and who is admitted, taken out and dropped. */
import test from 'ava';
import { ADMISSION_WAIT_MS } from './constants.js';
import { newRecord, type Lifecycle, type MemberRecord } from './member-record.js';
import { QuorumBase, type QuorumStanding } from './quorum-base.js';

const ENDPOINT = { host: '10.0.0.1', port: 1 };
const SETTLE_MS = 10_000;

function member(id: string, lifecycle: Lifecycle = 'active', changedAtMs = 0): MemberRecord {
  const identity = { id, zone: 'a', control: ENDPOINT, admin: ENDPOINT, data: ENDPOINT };
  return { ...newRecord(identity, { incarnation: 1, refutation: 0 }, lifecycle, 0), changedAtMs };
}

/** Base, members that cannot be reached, members that are not known, changed lifecycles, and the standing. */
const STANDINGS: readonly (readonly [
  string,
  string,
  string,
  string,
  Readonly<Record<string, Lifecycle>>,
  QuorumStanding,
])[] = [
  ['all', 'abcd', '', '', {}, 'majority'],
  ['three of four', 'abcd', 'a', '', {}, 'majority'],
  ['half with the lowest id', 'abcd', 'cd', '', {}, 'tie'],
  ['half without the lowest id', 'abcd', 'ab', '', {}, 'minority'],
  ['half, one member not known', 'abcd', 'c', 'd', {}, 'minority'],
  ['one of four', 'abcd', 'bcd', '', {}, 'minority'],
  ['failed members are not reached', 'abc', '', '', { b: 'failed', c: 'failed' }, 'minority'],
  ['planned leavers do not count', 'abc', 'c', '', { b: 'left', a: 'leaving' }, 'minority'],
  ['after planned leaves one is enough', 'abc', '', '', { b: 'left', a: 'leaving' }, 'majority'],
  ['all have left', 'ab', '', '', { a: 'left', b: 'left' }, 'majority'],
];

for (const [name, ids, unreachable, unknown, lifecycles, expected] of STANDINGS) {
  test(`standing: ${name}`, (t) => {
    const records = [...ids].map((id) => member(id));
    const base = new QuorumBase();
    base.create(records);
    const now = new Map(
      records.map((each) => [each.idHash, member(each.identity.id, lifecycles[each.identity.id])]),
    );
    const standing = base.standing(
      (idHash) => {
        const record = now.get(idHash);
        return record && unknown.includes(record.identity.id) ? undefined : record;
      },
      (record) => !unreachable.includes(record.identity.id),
    );
    t.is(standing, expected);
  });
}

test('without a base there is a minority, and without an owner there is no base', (t) => {
  const base = new QuorumBase();
  base.create([member('a', 'joining')]);
  t.is(base.epoch, 0);
  t.is(
    base.standing(
      () => undefined,
      () => true,
    ),
    'minority',
  );
});

const A = member('a');
const B = member('b');
const NEWCOMER = member('c', 'active', 1_000);

function ids(base: QuorumBase, members: readonly MemberRecord[]): string {
  return members
    .filter((each) => base.idHashes.includes(each.idHash))
    .map((each) => each.identity.id)
    .join('');
}

interface EvolveCase {
  readonly name: string;
  readonly live: readonly MemberRecord[];
  readonly atMs: number;
  readonly prepare?: (base: QuorumBase) => void;
  readonly maySettle?: boolean;
  readonly members: string;
  readonly epoch: number;
}

const EVOLUTIONS: readonly EvolveCase[] = [
  {
    name: 'a newcomer waits',
    live: [A, B, NEWCOMER],
    atMs: 999 + ADMISSION_WAIT_MS,
    members: 'ab',
    epoch: 1,
  },
  {
    name: 'a newcomer is admitted',
    live: [A, B, NEWCOMER],
    atMs: 1_000 + ADMISSION_WAIT_MS,
    members: 'abc',
    epoch: 1,
  },
  {
    name: 'nobody is admitted after a suspicion',
    live: [A, B, NEWCOMER],
    atMs: 1_000 + ADMISSION_WAIT_MS,
    prepare: (base) => base.noteSuspicion(1_001),
    members: 'ab',
    epoch: 1,
  },
  {
    name: 'a suspect is not admitted',
    live: [A, B, { ...NEWCOMER, suspected: true }],
    atMs: 1_000 + ADMISSION_WAIT_MS,
    members: 'ab',
    epoch: 1,
  },
  {
    name: 'a planned leaver is taken out',
    live: [A, member('b', 'leaving')],
    atMs: 0,
    members: 'a',
    epoch: 1,
  },
  {
    name: 'a failed member stays until the view has settled',
    live: [A],
    atMs: SETTLE_MS - 1,
    prepare: (base) => base.noteFailure(0),
    members: 'ab',
    epoch: 1,
  },
  {
    name: 'a failed member is dropped, which raises the epoch',
    live: [A],
    atMs: SETTLE_MS,
    prepare: (base) => base.noteFailure(0),
    members: 'a',
    epoch: 2,
  },
  {
    name: 'a member alone drops nobody',
    live: [A],
    atMs: SETTLE_MS,
    maySettle: false,
    members: 'ab',
    epoch: 1,
  },
];

for (const { name, live, atMs, prepare, maySettle = true, members, epoch } of EVOLUTIONS) {
  test(`evolution: ${name}`, (t) => {
    const base = new QuorumBase();
    base.create([A, B]);
    prepare?.(base);
    base.evolve(live, atMs, SETTLE_MS, maySettle);
    t.is(ids(base, [A, B, NEWCOMER]), members);
    t.is(base.epoch, epoch);
  });
}
