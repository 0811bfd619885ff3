import test from 'ava';
import fc from 'fast-check';
import { VirtualClock } from '../../common/clock.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { RoutingKnowledge } from './knowledge.js';
import { backendAt, tableAt, updateAt } from './routing-test-support.js';
import type { RoutingUpdate } from './types.js';

function createKnowledge(followsCordons = true): RoutingKnowledge {
  const clock = new VirtualClock();
  clock.advance(1_000);
  return new RoutingKnowledge({ clock, events: SILENT_EVENT_LOG, retentionMs: 60_000, followsCordons });
}

function originSince(since: number, confirmedAtMs = 0): Parameters<RoutingKnowledge['apply']>[2] {
  return { since, confirmedAtMs, mayHaveLapsed: false };
}

function completeUpdate(revision: number, ...cordons: readonly [string, number][]): RoutingUpdate {
  return updateAt(revision, {
    complete: true,
    cordons: cordons.map(([zone, cordonRevision]) => ({ zone, revision: cordonRevision })),
  });
}

function cordonUpdate(zone: string, revision: number): RoutingUpdate {
  return updateAt(revision, { cordons: [{ zone, revision }] });
}

function removalUpdate(zone: string, revision: number, removalRevision = revision): RoutingUpdate {
  return updateAt(revision, { cordonRemovals: [{ zone, revision: removalRevision }] });
}

test('the state is incomplete before the first list of cordons, if cordons are followed', (t) => {
  for (const [follows, isCompleteWithoutCordons] of [
    [true, false],
    [false, true],
  ] as const) {
    const knowledge = createKnowledge(follows);
    knowledge.apply('routes', updateAt(5, { complete: true, routes: [tableAt(5)] }), originSince(-1));
    const backends = [backendAt('a', 2)];
    knowledge.apply('backends', updateAt(5, { complete: true, backends }), originSince(-1));
    t.is(knowledge.isComplete(), isCompleteWithoutCordons);
    knowledge.apply('cordons', completeUpdate(5), originSince(-1));
    t.true(knowledge.isComplete());
  }
});

test('cordons are ignored if they are not followed', (t) => {
  const knowledge = createKnowledge(false);
  knowledge.apply('cordons', completeUpdate(5, ['north', 3]), originSince(-1));
  t.false(knowledge.cordons.has('north'));
});

/**
 * Name, updates in order of arrival, each with the revision that it starts from, and whether `north` is cordoned after
 * them.
 */
const CASES: readonly (readonly [string, readonly (readonly [RoutingUpdate, number])[], boolean])[] = [
  [
    'cordoned',
    [
      [completeUpdate(3), -1],
      [cordonUpdate('north', 4), 3],
    ],
    true,
  ],
  [
    'removed, with the revision of the removal',
    [
      [completeUpdate(4, ['north', 4]), -1],
      [removalUpdate('north', 6), 4],
    ],
    false,
  ],
  [
    'removed, with the revision of the record',
    [
      [completeUpdate(4, ['north', 4]), -1],
      [removalUpdate('north', 6, 4), 4],
    ],
    false,
  ],
  [
    'removed and cordoned again',
    [
      [completeUpdate(4, ['north', 4]), -1],
      [removalUpdate('north', 6, 4), 4],
      [cordonUpdate('north', 7), 6],
    ],
    true,
  ],
  [
    'cordoned again before the earlier removal arrives',
    [
      [completeUpdate(4, ['north', 4]), -1],
      [cordonUpdate('north', 7), 4],
      [removalUpdate('north', 7, 4), 4],
    ],
    true,
  ],
  [
    'an outdated list from a lagging peer after the removal',
    [
      [completeUpdate(9), -1],
      [completeUpdate(6, ['north', 4]), -1],
    ],
    false,
  ],
  [
    'an outdated change from a lagging peer after the removal',
    [
      [completeUpdate(9), -1],
      [cordonUpdate('north', 4), 3],
    ],
    false,
  ],
  [
    'missing from an outdated list',
    [
      [completeUpdate(9, ['north', 8]), -1],
      [completeUpdate(6), -1],
    ],
    true,
  ],
  [
    'missing from a later list',
    [
      [completeUpdate(4, ['north', 4]), -1],
      [completeUpdate(9), -1],
    ],
    false,
  ],
  [
    'removed by changes after a gap, then an outdated list',
    [
      [completeUpdate(3), -1],
      [removalUpdate('north', 8), 7],
      [completeUpdate(6, ['north', 5]), -1],
    ],
    false,
  ],
  ['another zone is cordoned', [[completeUpdate(4, ['south', 4]), -1]], false],
];

for (const [name, updates, expected] of CASES) {
  test(`a zone is ${expected ? '' : 'not '}cordoned: ${name}`, (t) => {
    const knowledge = createKnowledge();
    for (const [update, since] of updates) knowledge.apply('cordons', update, originSince(since));
    t.is(knowledge.cordons.has('north'), expected);
  });
}

test('a change after a gap is applied, but the topic must be read again', (t) => {
  const knowledge = createKnowledge();
  knowledge.apply('cordons', completeUpdate(3), originSince(-1));
  t.false(knowledge.apply('cordons', cordonUpdate('north', 9), originSince(7)));
  t.true(knowledge.cordons.has('north'));
  t.is(knowledge.revisionOf('cordons'), 3);
});

test('a response about one topic confirms only the topics that are known up to its revision', (t) => {
  const knowledge = createKnowledge();
  knowledge.apply('routes', updateAt(5, { complete: true, routes: [tableAt(5)] }), originSince(-1));
  knowledge.apply('cordons', completeUpdate(7), originSince(-1));
  knowledge.apply('backends', updateAt(6, { complete: true, backends: [] }), originSince(-1, 900));
  t.is(knowledge.ageOf('backends'), 100);
  t.is(knowledge.ageOf('cordons'), 100, 'nothing newer than revision 6 existed, and 7 is known');
  t.is(knowledge.ageOf('routes'), 1_000, 'a change of routes at revision 6 may be missing');
});

test('reordered and repeated lists and changes lead to the newest state', (t) => {
  const history: (readonly [RoutingUpdate, number])[] = [];
  const state = new Map<string, number>();
  for (let revision = 1; revision <= 12; revision += 1) {
    const zone = ['north', 'south', 'east'][revision % 3] as string;
    const wasCordoned = state.delete(zone);
    if (!wasCordoned) state.set(zone, revision);
    history.push([wasCordoned ? removalUpdate(zone, revision) : cordonUpdate(zone, revision), revision - 1]);
    history.push([completeUpdate(revision, ...state), -1]);
  }
  const orders = fc.shuffledSubarray([...history, ...history], { minLength: history.length });
  fc.assert(
    fc.property(orders, (order) => {
      const knowledge = createKnowledge();
      for (const [update, since] of order) knowledge.apply('cordons', update, originSince(since));
      knowledge.apply('cordons', completeUpdate(12, ...state), originSince(-1));
      const zones = knowledge.cordons.all().map(({ zone }) => zone);
      return zones.sort().join() === [...state.keys()].sort().join();
    }),
    { seed: 27, numRuns: 300 },
  );
  t.pass();
});
