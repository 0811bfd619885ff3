import test from 'ava';
import type { Liveness } from '../backend-health/local-backend-state.js';
import type { Placement } from '../placement/index.js';
import { createBackendState } from '../placement/placement-test-support.js';
import type { FlowPhase } from './flow-cache.js';
import { decideRetransmission, mayLeaveFirstBackend } from './retransmission-rule.js';

/** Phase of the flow, liveness of its back end, and whether another back end is considered. */
const CASES: readonly (readonly [FlowPhase, Liveness, boolean])[] = [
  ['opening', 'alive', false],
  ['opening', 'suspect', false],
  ['opening', 'trial', false],
  ['opening', 'ejected', true],
  ['open', 'ejected', false],
  ['closing', 'ejected', false],
];

for (const [phase, liveness, expected] of CASES) {
  test(`a flow that is ${phase} ${expected ? 'may leave' : 'stays at'} a back end that is ${liveness}`, (t) => {
    t.is(mayLeaveFirstBackend(phase, liveness), expected);
  });
}

test('a retransmission goes to another back end only if there is an alternative other than the first', (t) => {
  const [first, other] = [createBackendState('a'), createBackendState('b')];
  const placementAt = (state: typeof first): Placement => ({
    state,
    rule: 'least-flows',
    candidates: 2,
    passedOver: 0,
  });
  t.is(decideRetransmission(first, undefined), 'first-back-end');
  t.is(decideRetransmission(first, placementAt(first)), 'first-back-end');
  t.is(decideRetransmission(first, placementAt(other)), 'another-back-end');
});
