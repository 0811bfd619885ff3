import test from 'ava';
import { allBut, type Mechanism } from '../../common/mechanisms.js';
import type { LocalBackendState } from '../backend-health/local-backend-state.js';
import { loadWithNewFlow } from './backend-load.js';
import { createBackendState } from './placement-test-support.js';

const NOW_MS = 1_000;

function withFlows(state: LocalBackendState, openCount: number, closedCount = 0): LocalBackendState {
  state.openFlows = openCount + closedCount;
  for (let flow = 0; flow < closedCount; flow += 1) state.recordClosed(NOW_MS);
  return state;
}

const inSlowStart = { coldUntilMs: NOW_MS + 1 };
const otherZone = { zone: 'south' };

/** Name, state, expected load with one more flow, mechanism that is switched off. */
const CASES: readonly (readonly [string, LocalBackendState, number, Mechanism?])[] = [
  ['empty', createBackendState('a'), 1 / 2],
  ['with three flows', withFlows(createBackendState('a'), 3), 2],
  ['with one open flow and two recently closed ones', withFlows(createBackendState('a'), 1, 2), 2],
  [
    'with one open flow and two recently closed ones',
    withFlows(createBackendState('a'), 1, 2),
    1,
    'closed-flows',
  ],
  ['without a capacity', withFlows(createBackendState('a', { capacity: 0 }), 1), 2],
  ['in slow start', withFlows(createBackendState('a', {}, inSlowStart), 1), 2],
  ['in slow start', withFlows(createBackendState('a', {}, inSlowStart), 1), 1, 'cold-share'],
  ['past its slow start', withFlows(createBackendState('a', {}, { coldUntilMs: NOW_MS }), 1), 1],
  ['of another zone', withFlows(createBackendState('a', otherZone), 1), 1.5 + 0.25],
];

for (const [name, state, expected, switchedOff] of CASES) {
  test(`a back end ${name} has the load ${expected}${switchedOff ? ` without ${switchedOff}` : ''}`, (t) => {
    const isOn = allBut(switchedOff ? [switchedOff] : []);
    const options = { zone: 'north', zoneMargin: 0.25, zoneLoadFactor: 1.5, isOn };
    t.is(loadWithNewFlow(state, NOW_MS, options), expected);
  });
}
