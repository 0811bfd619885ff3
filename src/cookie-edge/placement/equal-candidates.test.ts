import test from 'ava';
import { combine32 } from '../../common/hash.js';
import type { LoadLevels } from '../load/index.js';
import { LOAD_CHOICES } from './constants.js';
import { countEqualsToWeigh, findLeastBusy, findLeastLoaded } from './equal-candidates.js';
import { stateOf } from './placement-test-support.js';

const FLOW_HASH = 7;
const STATES = ['a', 'b', 'c', 'd', 'e', 'f'].map((id) => stateOf(id));

function reportsOf(levels: readonly number[], isKnown = true): LoadLevels {
  const byHash = new Map(STATES.map(({ idHash }, index) => [idHash, levels[index] ?? 1]));
  return { isKnown: () => isKnown, levelOf: (idHash) => byHash.get(idHash) ?? 1 };
}

/** Own flows at eight back ends, reports, and the number of equals that are weighed. */
const COUNTS: readonly (readonly [string, number, LoadLevels | undefined, number])[] = [
  ['without reports', 0, undefined, 1],
  ['with reports that are too old', 0, reportsOf([], false), 1],
  ['with reports and one own flow', 1, reportsOf([]), LOAD_CHOICES],
  ['with reports and two own flows', 2, reportsOf([]), 1],
];

for (const [name, ownFlows, reports, expected] of COUNTS) {
  test(`${name} ${expected} of eight equals are weighed`, (t) => {
    const states = Array.from({ length: 8 }, (_unused, index) => stateOf(`s-${index}`));
    states[0]!.openFlows = ownFlows;
    t.is(countEqualsToWeigh(states, reports, 0), expected);
  });
}

test('the least loaded are ranked by flow, whatever their order', (t) => {
  const load = (state: { idHash: number }): number => (state === STATES[1] || state === STATES[4] ? 1 : 2);
  const found = findLeastLoaded(STATES, FLOW_HASH, 4, load);
  const ranks = [STATES[1]!, STATES[4]!].map(({ idHash }) => combine32(FLOW_HASH, idHash));
  t.deepEqual(
    found.map(({ rank }) => rank),
    ranks.sort((left, right) => right - left),
  );
  t.deepEqual(findLeastLoaded([...STATES].reverse(), FLOW_HASH, 4, load), found);
});

test('of more equals than asked for the highest ranks are kept', (t) => {
  const all = findLeastLoaded(STATES, FLOW_HASH, STATES.length, () => 1);
  t.is(all.length, STATES.length);
  for (let count = 1; count <= STATES.length; count += 1) {
    t.deepEqual(
      findLeastLoaded(STATES, FLOW_HASH, count, () => 1),
      all.slice(0, count),
    );
  }
  t.deepEqual(
    findLeastLoaded([], FLOW_HASH, 4, () => 1),
    [],
  );
});

test('equal ranks keep the order of the candidates', (t) => {
  const twins = [stateOf('a'), stateOf('a')];
  const found = findLeastLoaded(twins, FLOW_HASH, 2, () => 1);
  t.is(found[0]?.state, twins[0]);
  t.is(found[1]?.state, twins[1]);
});

/** Levels in the order of the equals, and which one is chosen. */
const LEVELS: readonly (readonly [readonly number[], number])[] = [
  [[], -1],
  [[1, 1, 1], 0],
  [[1.5, 1, 1], 1],
  [[1.5, 2, 1.25], 2],
  [[1.5, 1.5], 0],
];

for (const [levels, expected] of LEVELS) {
  test(`of equals with the levels ${levels.join(', ') || 'of none'} number ${expected} is chosen`, (t) => {
    const equals = levels.map((_level, index) => ({ state: STATES[index]!, rank: 0 }));
    t.is(findLeastBusy(equals, reportsOf(levels), 0), expected);
    t.is(findLeastBusy(equals, undefined, 0), levels.length > 0 ? 0 : -1);
  });
}
