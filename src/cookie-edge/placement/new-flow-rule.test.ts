/** Each outcome for the first SYN of a flow. */
import test from 'ava';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { LocalBackendStates } from '../backend-health/local-backend-states.js';
import { ForwarderHarness } from '../forwarding/cookie-test-support.js';
import { backendAt, SERVICE_ADDRESS, SERVICE_PORT } from '../routing/routing-test-support.js';
import {
  BackendEligibility,
  ColdAdmission,
  NewFlowRule,
  OpeningPlacement,
  TrafficSplitter,
} from './index.js';
import { eject } from './placement-test-support.js';

const FLOW = {
  sourceAddress: 1,
  sourcePort: 2,
  destinationAddress: SERVICE_ADDRESS,
  destinationPort: SERVICE_PORT,
};
const NOW_MS = 1_200;

function createRule(harness: ForwarderHarness) {
  const { knowledge } = harness;
  const states = new LocalBackendStates(SILENT_EVENT_LOG, () => undefined);
  const coldAdmission = new ColdAdmission({ overage: 2, slack: 10, isOwner: () => true });
  const rule = new NewFlowRule({
    knowledge,
    coldAdmission,
    splitter: new TrafficSplitter(() => 1 / 2),
    eligibility: new BackendEligibility({
      knowledge,
      coldAdmission,
      stateOf: (backend) => states.stateOf(backend),
      regionOf: () => undefined,
    }),
    placement: new OpeningPlacement({ zone: 'north', zoneMargin: 0, zoneLoadFactor: 1 }),
    settlement: { state: 'settled', isKnownEmpty: () => false },
    isOutlier: () => false,
    slowHandshakeMs: () => 45,
  });
  return { rule, states };
}

test('without complete knowledge the SYN is dropped', (t) => {
  const { rule } = createRule(new ForwarderHarness());
  t.deepEqual(rule.decide(FLOW, NOW_MS), { kind: 'drop', reason: 'starting' });
  t.is(rule.chooseForRetransmission(FLOW, NOW_MS), undefined);
});

test('without a route the flow is refused', (t) => {
  const { rule } = createRule(new ForwarderHarness().applyRecords([backendAt('a', 1)]));
  const unroutedFlow = { ...FLOW, destinationPort: SERVICE_PORT + 1 };
  t.deepEqual(rule.decide(unroutedFlow, NOW_MS), { kind: 'refuse', reason: 'no-route' });
  t.is(rule.chooseForRetransmission(unroutedFlow, NOW_MS), undefined);
});

test('without a candidate the flow is refused', (t) => {
  const { rule } = createRule(new ForwarderHarness().applyRecords([backendAt('a', 1, { draining: true })]));
  t.like(rule.decide(FLOW, NOW_MS), { kind: 'refuse', reason: 'no-backend', route: { name: 'route-1' } });
  t.is(rule.chooseForRetransmission(FLOW, NOW_MS), undefined);
});

test('with a candidate the flow is placed', (t) => {
  const harness = new ForwarderHarness().applyRecords([backendAt('a', 1)]);
  const { rule, states } = createRule(harness);
  const placement = {
    state: states.stateOf(harness.knowledge.backends.get('a')!),
    rule: 'least-flows',
    candidates: 1,
    passedOver: 0,
  };
  t.like(rule.decide(FLOW, NOW_MS), { kind: 'place', route: { name: 'route-1' } });
  t.deepEqual(rule.chooseForRetransmission(FLOW, NOW_MS) as unknown, placement);
});

test('a trial opening is not chosen again after it was recorded', (t) => {
  const harness = new ForwarderHarness().applyRecords([backendAt('a', 1), backendAt('b', 2)]);
  const { rule, states } = createRule(harness);
  eject(states.stateOf(harness.knowledge.backends.get('a')!));
  const trial = rule.chooseForRetransmission(FLOW, NOW_MS)!;
  t.is(trial.rule, 'trial');
  t.is(rule.chooseForRetransmission(FLOW, NOW_MS)?.rule, 'trial');
  rule.recordPlacement(trial, NOW_MS);
  t.is(rule.chooseForRetransmission(FLOW, NOW_MS)?.rule, 'least-flows');
});
