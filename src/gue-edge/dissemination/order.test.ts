/** The order of trees, and the choice of readers: pure rules that everything else rests on. */
import test from 'ava';
import fc from 'fast-check';
import { VirtualClock } from '../../common/clock.js';
import type { Member, MemberState } from '../membership/types.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { leaseCandidates, slotsOf } from './reader-candidates.js';
import { newCounters } from './statistics.js';
import { NO_TREE, supersedes, type TreeStamp } from './stamp.js';
import { TreeHolder } from './tree-holder.js';

function stamp(version: number, readerToken: number, digest: string): TreeStamp {
  return { version, readerToken, digest, acceptedAtWallMs: 0, nodeCount: 0 };
}

const ORDER: readonly {
  readonly candidate: TreeStamp;
  readonly current: TreeStamp;
  readonly wins: boolean;
}[] = [
  { candidate: stamp(1, 1, 'a'), current: NO_TREE, wins: true },
  { candidate: stamp(3, 1, 'a'), current: stamp(2, 9, 'b'), wins: true },
  { candidate: stamp(2, 9, 'b'), current: stamp(3, 1, 'a'), wins: false },
  { candidate: stamp(2, 9, 'a'), current: stamp(2, 1, 'a'), wins: false },
  { candidate: stamp(2, 9, 'a'), current: stamp(2, 1, 'b'), wins: true },
  { candidate: stamp(2, 1, 'b'), current: stamp(2, 9, 'a'), wins: false },
  { candidate: stamp(2, 1, 'b'), current: stamp(2, 1, 'a'), wins: true },
];

for (const { candidate, current, wins } of ORDER) {
  const text = `${candidate.version}/${candidate.readerToken}/${candidate.digest.slice(0, 1)}`;
  const other = `${current.version}/${current.readerToken}/${current.digest.slice(0, 1)}`;
  test(`${text} ${wins ? 'replaces' : 'does not replace'} ${other}`, (t) => {
    t.is(supersedes(candidate, current), wins);
  });
}

function holderWith(first: TreeStamp): TreeHolder {
  const holder = new TreeHolder(new VirtualClock(), SILENT_EVENT_LOG, newCounters());
  offer(holder, first);
  return holder;
}

/** Does what a distributor does when it meets a peer's tree; true when the tree took effect. */
function offer(holder: TreeHolder, met: TreeStamp): boolean {
  holder.meet(met, 'peer');
  if (!holder.wants(met)) return false;
  const settings = { version: met.version, services: [] };
  const changes = { nodes: new Map(), removedPaths: new Set<string>() };
  return holder.install({ tree: { stamp: met, settings, entries: new Map() }, changes }, 'pull');
}

const ANY_STAMP = fc
  .tuple(fc.integer({ min: 1, max: 3 }), fc.integer({ min: 1, max: 4 }), fc.constantFrom('a', 'b', 'c'))
  .map(([version, token, digest]) => stamp(version, token, digest));

test('members that meet in any order end with one tree, and never go back to an older version', (t) => {
  fc.assert(
    fc.property(
      fc.array(ANY_STAMP, { minLength: 2, maxLength: 6 }),
      fc.array(fc.tuple(fc.nat(5), fc.nat(5)), { maxLength: 30 }),
      (stamps, meetings) => {
        const holders = stamps.map(holderWith);
        const meet = (left: number, right: number): boolean => {
          const [receiver, sender] = [holders[left % holders.length], holders[right % holders.length]];
          if (!receiver || !sender) return false;
          const before = receiver.stamp().version;
          const changed = offer(receiver, sender.stamp());
          if (receiver.stamp().version < before) throw new Error('went back');
          return changed;
        };
        for (const [left, right] of meetings) meet(left, right);
        let changes = 1;
        for (let round = 0; round < 30 && changes > 0; round += 1) {
          changes = 0;
          for (let left = 0; left < holders.length; left += 1) {
            for (let right = 0; right < holders.length; right += 1) changes += meet(left, right) ? 1 : 0;
          }
        }
        const contents = new Set(
          holders.map((holder) => `${holder.stamp().version}/${holder.stamp().digest}`),
        );
        return contents.size === 1;
      },
    ),
    { seed: 31, numRuns: 2_000 },
  );
  t.pass();
});

function member(id: string, zone: string, state: MemberState = 'active'): Member {
  const endpoint = { host: '127.0.0.1', port: 1 };
  const endpoints = { control: endpoint, admin: endpoint, data: endpoint };
  return { id, region: 'r', zone, ...endpoints, incarnation: 1, state, settingsVersion: 0 };
}

const THIRTY = Array.from({ length: 30 }, (_, index) => member(`member-${index}`, `zone-${index % 3}`));

test('the candidates of the two leases stand in three zones, two for each lease', (t) => {
  const candidates = [0, 1].map((slot) => leaseCandidates('r', slot, THIRTY));
  t.deepEqual(
    candidates.map((list) => new Set(list.map(({ zone }) => zone)).size),
    [2, 2],
  );
  t.is(new Set(candidates.flat().map(({ zone }) => zone)).size, 3);
});

test('a member that leaves changes the candidates only where it was one', (t) => {
  for (const leaving of THIRTY) {
    const others = THIRTY.map((each) => (each === leaving ? member(each.id, each.zone, 'leaving') : each));
    for (const slot of [0, 1]) {
      const before = leaseCandidates('r', slot, THIRTY).map(({ id }) => id);
      const after = leaseCandidates('r', slot, others).map(({ id }) => id);
      if (!before.includes(leaving.id)) t.deepEqual(after, before);
      else t.false(after.includes(leaving.id));
    }
  }
});

test('a single member is a candidate for each lease, and a member alone in its zone too', (t) => {
  t.deepEqual(slotsOf('only', 'r', [member('only', 'a')]), [0, 1]);
  t.deepEqual(slotsOf('other', 'r', [member('only', 'a')]), []);
  const two = [member('first', 'a'), member('second', 'a')];
  t.is(leaseCandidates('r', 0, two).length, 2);
});
