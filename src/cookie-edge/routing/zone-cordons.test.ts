import test from 'ava';
import fc from 'fast-check';
import { VirtualClock } from '../../common/clock.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { RoutingKnowledge } from './knowledge.js';
import { backendAt, tableAt, updateAt } from './routing-test-support.js';
import type { RoutingUpdate } from './types.js';

function knowledgeOf(followsCordons = true): RoutingKnowledge {
  const clock = new VirtualClock();
  clock.advance(1_000);
  return new RoutingKnowledge({ clock, events: SILENT_EVENT_LOG, retentionMs: 60_000, followsCordons });
}

function origin(since: number, confirmedAtMs = 0): Parameters<RoutingKnowledge['apply']>[2] {
  return { since, confirmedAtMs, mayHaveLapsed: false };
}

function list(revision: number, ...cordons: readonly [string, number][]): RoutingUpdate {
  return updateAt(revision, {
    complete: true,
    cordons: cordons.map(([zone, recordedAt]) => ({ zone, revision: recordedAt })),
  });
}

function cordon(zone: string, revision: number): RoutingUpdate {
  return updateAt(revision, { cordons: [{ zone, revision }] });
}

function uncordon(zone: string, revision: number, removalRevision = revision): RoutingUpdate {
  return updateAt(revision, { cordonRemovals: [{ zone, revision: removalRevision }] });
}

test('nothing is complete before the cordons are known, where they are followed', (t) => {
  for (const [follows, before] of [
    [true, false],
    [false, true],
  ] as const) {
    const knowledge = knowledgeOf(follows);
    knowledge.apply('routes', updateAt(5, { complete: true, routes: [tableAt(5)] }), origin(-1));
    const backends = [backendAt('a', 2)];
    knowledge.apply('backends', updateAt(5, { complete: true, backends }), origin(-1));
    t.is(knowledge.isComplete(), before);
    knowledge.apply('cordons', list(5), origin(-1));
    t.true(knowledge.isComplete());
  }
});

test('cordons are ignored where they are not followed', (t) => {
  const knowledge = knowledgeOf(false);
  knowledge.apply('cordons', list(5, ['north', 3]), origin(-1));
  t.false(knowledge.cordons.has('north'));
});

/**
 * Updates in the order in which they come, each with the revision it starts from, and whether `north` is cordoned then.
 */
const CASES: readonly (readonly [string, readonly (readonly [RoutingUpdate, number])[], boolean])[] = [
  [
    'cordoned',
    [
      [list(3), -1],
      [cordon('north', 4), 3],
    ],
    true,
  ],
  [
    'taken back, told with the revision of the removal',
    [
      [list(4, ['north', 4]), -1],
      [uncordon('north', 6), 4],
    ],
    false,
  ],
  [
    'taken back, told with the revision of the record',
    [
      [list(4, ['north', 4]), -1],
      [uncordon('north', 6, 4), 4],
    ],
    false,
  ],
  [
    'taken back and cordoned again',
    [
      [list(4, ['north', 4]), -1],
      [uncordon('north', 6, 4), 4],
      [cordon('north', 7), 6],
    ],
    true,
  ],
  [
    'cordoned again before the removal is heard of',
    [
      [list(4, ['north', 4]), -1],
      [cordon('north', 7), 4],
      [uncordon('north', 7, 4), 4],
    ],
    true,
  ],
  [
    'an older list of a lagging peer after the removal',
    [
      [list(9), -1],
      [list(6, ['north', 4]), -1],
    ],
    false,
  ],
  [
    'an older change of a lagging peer after the removal',
    [
      [list(9), -1],
      [cordon('north', 4), 3],
    ],
    false,
  ],
  [
    'an older list without it',
    [
      [list(9, ['north', 8]), -1],
      [list(6), -1],
    ],
    true,
  ],
  [
    'not listed any more',
    [
      [list(4, ['north', 4]), -1],
      [list(9), -1],
    ],
    false,
  ],
  [
    'taken back in a gap, then an older list',
    [
      [list(3), -1],
      [uncordon('north', 8), 7],
      [list(6, ['north', 5]), -1],
    ],
    false,
  ],
  ['another zone is cordoned', [[list(4, ['south', 4]), -1]], false],
];

for (const [name, updates, expected] of CASES) {
  test(`a zone is ${expected ? '' : 'not '}cordoned: ${name}`, (t) => {
    const knowledge = knowledgeOf();
    for (const [update, since] of updates) knowledge.apply('cordons', update, origin(since));
    t.is(knowledge.cordons.has('north'), expected);
  });
}

test('a change after a gap is taken, but the topic is to be read anew', (t) => {
  const knowledge = knowledgeOf();
  knowledge.apply('cordons', list(3), origin(-1));
  t.false(knowledge.apply('cordons', cordon('north', 9), origin(7)));
  t.true(knowledge.cordons.has('north'));
  t.is(knowledge.revisionOf('cordons'), 3);
});

test('an answer about one topic confirms the others that are known up to its revision, and no others', (t) => {
  const knowledge = knowledgeOf();
  knowledge.apply('routes', updateAt(5, { complete: true, routes: [tableAt(5)] }), origin(-1));
  knowledge.apply('cordons', list(7), origin(-1));
  knowledge.apply('backends', updateAt(6, { complete: true, backends: [] }), origin(-1, 900));
  t.is(knowledge.ageOf('backends'), 100);
  t.is(knowledge.ageOf('cordons'), 100, 'nothing newer than revision 6 existed, and 7 is known');
  t.is(knowledge.ageOf('routes'), 1_000, 'a change of routes at revision 6 may be missing');
});

test('whatever the order of lists and changes, and however often they come, the newest state remains', (t) => {
  const history: (readonly [RoutingUpdate, number])[] = [];
  const state = new Map<string, number>();
  for (let revision = 1; revision <= 12; revision += 1) {
    const zone = ['north', 'south', 'east'][revision % 3] as string;
    const wasCordoned = state.delete(zone);
    if (!wasCordoned) state.set(zone, revision);
    history.push([wasCordoned ? uncordon(zone, revision) : cordon(zone, revision), revision - 1]);
    history.push([list(revision, ...state), -1]);
  }
  const orders = fc.shuffledSubarray([...history, ...history], { minLength: history.length });
  fc.assert(
    fc.property(orders, (order) => {
      const knowledge = knowledgeOf();
      for (const [update, since] of order) knowledge.apply('cordons', update, origin(since));
      knowledge.apply('cordons', list(12, ...state), origin(-1));
      const zones = knowledge.cordons.all().map(({ zone }) => zone);
      return zones.sort().join() === [...state.keys()].sort().join();
    }),
    { seed: 27, numRuns: 300 },
  );
  t.pass();
});
