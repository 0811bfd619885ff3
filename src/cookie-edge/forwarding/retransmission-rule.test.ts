import test from 'ava';
import type { Liveness } from '../backend-health/local-backend-state.js';
import type { Placement } from '../placement/index.js';
import { createBackendState } from '../placement/placement-test-support.js';
import type { FlowPhase } from './flow-cache.js';
import { decideRetransmission, mayLeaveFirstBackend } from './retransmission-rule.js';

/**
 * Phase of the flow, liveness of its back end, whether that has left the route, and whether another back end is
 * considered.
 */
const CASES: readonly (readonly [FlowPhase, Liveness, boolean, boolean])[] = [
  ['opening', 'alive', false, false],
  ['opening', 'suspect', false, false],
  ['opening', 'trial', false, false],
  ['opening', 'ejected', false, true],
  ['open', 'ejected', false, false],
  ['closing', 'ejected', false, false],
  ['opening', 'alive', true, true],
  ['opening', 'suspect', true, true],
  ['open', 'alive', true, false],
  ['closing', 'alive', true, false],
];

for (const [phase, liveness, hasLeftRoute, expected] of CASES) {
  const backend = `a back end that is ${liveness}${hasLeftRoute ? ' and has left the route' : ''}`;
  test(`a flow that is ${phase} ${expected ? 'may leave' : 'stays at'} ${backend}`, (t) => {
    t.is(mayLeaveFirstBackend(phase, liveness, hasLeftRoute), expected);
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
