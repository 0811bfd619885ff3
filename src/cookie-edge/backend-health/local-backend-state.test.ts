/** How failures, trial openings and signs of life change whether a back end gets new flows. */
import test from 'ava';
import { createBackendState } from '../placement/placement-test-support.js';

test('failed trial openings double the ejection time, and a sign of life ends the ejection', (t) => {
  const state = createBackendState('a');
  state.recordFailure(100, 0);
  t.false(state.tryEject(100, 50));
  t.is(state.liveness(120), 'suspect');
  state.recordFailure(200, 100);
  t.false(state.tryEject(200, 0), 'no other back end gave a sign of life either');
  t.true(state.tryEject(200, 150));
  t.is(state.liveness(1_199), 'ejected');
  t.is(state.liveness(1_300), 'trial');
  state.recordTrial(1_300);
  t.is(state.liveness(1_301), 'ejected', 'one trial at a time');
  state.recordFailure(1_500, 1_300);
  t.true(state.tryEject(1_500, 1_400));
  t.false(state.tryEject(3_600, 3_500), 'only a later failure causes another ejection');
  t.is(state.liveness(3_400), 'ejected');
  t.is(state.liveness(3_600), 'trial');
  t.true(state.recordSignOfLife(3_700));
  t.is(state.liveness(3_701), 'alive');
  state.recordFailure(3_800, 3_600);
  t.is(state.failuresSinceSignOfLife, 0, 'a failure that began before the last sign of life');
});
