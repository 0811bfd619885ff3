/** Each placement rule, and the order among them. */
import test from 'ava';
import type { Candidates } from './candidate-classes.js';
import { candidatesForRule, choosePlacementRule, type PlacementRule } from './class-choice.js';
import { createBackendState } from './placement-test-support.js';

/** Numbers of alive, outlier, suspect, ejected and lapsed candidates; whether an ejected one is due for a trial. */
type Counts = readonly [number, number, number, number, number, boolean];

/** Candidates by class, expected rule, expected number of considered candidates. */
const CASES: readonly (readonly [Counts, PlacementRule | undefined, number])[] = [
  [[0, 0, 0, 0, 0, false], undefined, 0],
  [[3, 2, 2, 1, 1, false], 'least-flows', 3],
  [[3, 0, 0, 1, 0, true], 'trial', 1],
  [[1, 0, 0, 9, 0, true], 'trial', 1],
  [[2, 0, 0, 3, 0, false], 'least-flows', 2],
  [[2, 0, 0, 4, 0, false], 'ejected-majority', 6],
  [[0, 2, 1, 1, 0, false], 'outlier', 2],
  [[0, 2, 1, 1, 0, true], 'outlier', 2],
  [[0, 0, 2, 1, 0, false], 'suspect', 2],
  [[0, 1, 1, 4, 7, true], 'ejected-majority', 6],
  [[0, 0, 0, 1, 2, false], 'ejected-majority', 1],
  [[0, 0, 0, 1, 2, true], 'ejected-majority', 1],
  [[0, 0, 0, 0, 2, false], 'lapsed-record', 2],
  [[2, 0, 0, 0, 2, false], 'least-flows', 2],
  [[2, 0, 0, 0, 3, false], 'unsettled-list', 5],
  [[1, 1, 1, 0, 4, false], 'unsettled-list', 5],
  [[0, 1, 0, 0, 4, false], 'unsettled-list', 4],
  [[1, 0, 0, 1, 4, true], 'trial', 1],
];

function candidatesOf([alive, outlier, suspect, ejected, lapsed, hasTrial]: Counts): Candidates {
  const states = (name: string, count: number) =>
    Array.from({ length: count }, (_unused, index) => createBackendState(`${name}-${index}`));
  const ejectedStates = states('ejected', ejected);
  return {
    alive: states('alive', alive),
    outlier: states('outlier', outlier),
    suspect: states('suspect', suspect),
    ejected: ejectedStates,
    lapsed: states('lapsed', lapsed),
    trial: hasTrial ? ejectedStates[0] : undefined,
  };
}

for (const [counts, rule, considered] of CASES) {
  test(`alive, outlier, suspect, ejected, lapsed, trial: ${counts.join()} lead to ${rule ?? 'no rule'}`, (t) => {
    const candidates = candidatesOf(counts);
    t.is(choosePlacementRule(candidates), rule);
    if (rule !== undefined && rule !== 'trial') t.is(candidatesForRule(rule, candidates).length, considered);
  });
}

test('panic mode considers all recorded candidates, in the order of the classes', (t) => {
  const candidates = candidatesOf([1, 1, 1, 9, 1, false]);
  const considered = candidatesForRule('ejected-majority', candidates).map(({ backend }) => backend.id);
  t.deepEqual(considered.slice(0, 4), ['alive-0', 'outlier-0', 'suspect-0', 'ejected-0']);
  t.false(considered.includes('lapsed-0'));
});
