import test from 'ava';
import { combine32 } from '../../common/hash.js';
import type { LoadLevels } from '../load/index.js';
import { MAX_TIED_CANDIDATES } from './constants.js';
import { findLeastBusyIndex, findLeastLoaded, tiedCandidateLimit } from './tie-breaking.js';
import { createBackendState } from './placement-test-support.js';

const FLOW_HASH = 7;
const STATES = ['a', 'b', 'c', 'd', 'e', 'f'].map((id) => createBackendState(id));

function createLoadLevels(levels: readonly number[], hasValidReport = true): LoadLevels {
  const byHash = new Map(STATES.map(({ idHash }, index) => [idHash, levels[index] ?? 1]));
  return { hasValidReport: () => hasValidReport, levelOf: (idHash) => byHash.get(idHash) ?? 1 };
}

/** Name, own flows to eight back ends, load reports, expected number of tied candidates that are compared. */
const COUNT_CASES: readonly (readonly [string, number, LoadLevels | undefined, number])[] = [
  ['without reports', 0, undefined, 1],
  ['with expired reports', 0, createLoadLevels([], false), 1],
  ['with reports and one own flow', 1, createLoadLevels([]), MAX_TIED_CANDIDATES],
  ['with reports and two own flows', 2, createLoadLevels([]), 1],
];

for (const [name, ownFlows, reports, expected] of COUNT_CASES) {
  test(`${name}, ${expected} of eight tied candidates are compared`, (t) => {
    const states = Array.from({ length: 8 }, (_unused, index) => createBackendState(`s-${index}`));
    states[0]!.openFlows = ownFlows;
    t.is(tiedCandidateLimit(states, reports, 0), expected);
  });
}

test('the least loaded candidates are ranked by the hash of the flow, independent of their order', (t) => {
  const loadOf = (state: { idHash: number }): number => (state === STATES[1] || state === STATES[4] ? 1 : 2);
  const leastLoaded = findLeastLoaded(STATES, FLOW_HASH, 4, loadOf);
  const ranks = [STATES[1]!, STATES[4]!].map(({ idHash }) => combine32(FLOW_HASH, idHash));
  t.deepEqual(
    leastLoaded.map(({ rank }) => rank),
    ranks.sort((left, right) => right - left),
  );
  t.deepEqual(findLeastLoaded([...STATES].reverse(), FLOW_HASH, 4, loadOf), leastLoaded);
});

test('only the highest ranks are kept if more candidates tie than requested', (t) => {
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

test('candidates of equal rank keep their order', (t) => {
  const twins = [createBackendState('a'), createBackendState('a')];
  const found = findLeastLoaded(twins, FLOW_HASH, 2, () => 1);
  t.is(found[0]?.state, twins[0]);
  t.is(found[1]?.state, twins[1]);
});

/** Load levels of the tied candidates in order, and the index of the chosen one. */
const LEVEL_CASES: readonly (readonly [readonly number[], number])[] = [
  [[], -1],
  [[1, 1, 1], 0],
  [[1.5, 1, 1], 1],
  [[1.5, 2, 1.25], 2],
  [[1.5, 1.5], 0],
];

for (const [levels, expected] of LEVEL_CASES) {
  test(`of tied candidates with load levels ${levels.join(', ') || '(none)'}, index ${expected} is chosen`, (t) => {
    const tied = levels.map((_level, index) => ({ state: STATES[index]!, rank: 0 }));
    t.is(findLeastBusyIndex(tied, createLoadLevels(levels), 0), expected);
    t.is(findLeastBusyIndex(tied, undefined, 0), levels.length > 0 ? 0 : -1);
  });
}
