import test from 'ava';
import { combine32 } from '../../common/hash.js';
import type { LoadLevels } from '../load/index.js';
import { MAX_TIED_CANDIDATES } from './constants.js';
import { countTiedToCompare, findLeastBusyIndex, findLeastLoaded } from './tie-breaking.js';
import { stateOf } from './placement-test-support.js';

const FLOW_HASH = 7;
const STATES = ['a', 'b', 'c', 'd', 'e', 'f'].map((id) => stateOf(id));

function loadReports(levels: readonly number[], isKnown = true): LoadLevels {
  const byHash = new Map(STATES.map(({ idHash }, index) => [idHash, levels[index] ?? 1]));
  return { isKnown: () => isKnown, levelOf: (idHash) => byHash.get(idHash) ?? 1 };
}

/** Own flows at eight back ends, reports, and the number of equals that are weighed. */
const COUNT_CASES: readonly (readonly [string, number, LoadLevels | undefined, number])[] = [
  ['without reports', 0, undefined, 1],
  ['with reports that are too old', 0, loadReports([], false), 1],
  ['with reports and one own flow', 1, loadReports([]), MAX_TIED_CANDIDATES],
  ['with reports and two own flows', 2, loadReports([]), 1],
];

for (const [name, ownFlows, reports, expected] of COUNT_CASES) {
  test(`${name} ${expected} of eight equals are weighed`, (t) => {
    const states = Array.from({ length: 8 }, (_unused, index) => stateOf(`s-${index}`));
    states[0]!.openFlows = ownFlows;
    t.is(countTiedToCompare(states, reports, 0), expected);
  });
}

test('the least loaded are ranked by flow, whatever their order', (t) => {
  const loadOf = (state: { idHash: number }): number => (state === STATES[1] || state === STATES[4] ? 1 : 2);
  const leastLoaded = findLeastLoaded(STATES, FLOW_HASH, 4, loadOf);
  const ranks = [STATES[1]!, STATES[4]!].map(({ idHash }) => combine32(FLOW_HASH, idHash));
  t.deepEqual(
    leastLoaded.map(({ rank }) => rank),
    ranks.sort((left, right) => right - left),
  );
  t.deepEqual(findLeastLoaded([...STATES].reverse(), FLOW_HASH, 4, loadOf), leastLoaded);
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
const LEVEL_CASES: readonly (readonly [readonly number[], number])[] = [
  [[], -1],
  [[1, 1, 1], 0],
  [[1.5, 1, 1], 1],
  [[1.5, 2, 1.25], 2],
  [[1.5, 1.5], 0],
];

for (const [levels, expected] of LEVEL_CASES) {
  test(`of equals with the levels ${levels.join(', ') || 'of none'} number ${expected} is chosen`, (t) => {
    const equals = levels.map((_level, index) => ({ state: STATES[index]!, rank: 0 }));
    t.is(findLeastBusyIndex(equals, loadReports(levels), 0), expected);
    t.is(findLeastBusyIndex(equals, undefined, 0), levels.length > 0 ? 0 : -1);
  });
}
