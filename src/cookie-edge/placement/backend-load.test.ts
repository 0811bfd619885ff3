import test from 'ava';
import { allBut, type Mechanism } from '../../common/mechanisms.js';
import type { LocalBackendState } from '../backend-health/local-backend-state.js';
import { loadWithNewFlow } from './backend-load.js';
import { stateOf } from './placement-test-support.js';

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
  ['empty', stateOf('a'), 1 / 2],
  ['with three flows', withFlows(stateOf('a'), 3), 2],
  ['with one open flow and two recently closed ones', withFlows(stateOf('a'), 1, 2), 2],
  ['with one open flow and two recently closed ones', withFlows(stateOf('a'), 1, 2), 1, 'closed-flows'],
  ['without a capacity', withFlows(stateOf('a', { capacity: 0 }), 1), 2],
  ['in slow start', withFlows(stateOf('a', {}, inSlowStart), 1), 2],
  ['in slow start', withFlows(stateOf('a', {}, inSlowStart), 1), 1, 'cold-share'],
  ['past its slow start', withFlows(stateOf('a', {}, { coldUntilMs: NOW_MS }), 1), 1],
  ['of another zone', withFlows(stateOf('a', otherZone), 1), 1.5 + 0.25],
];

for (const [name, state, expected, switchedOff] of CASES) {
  test(`a back end ${name} has the load ${expected}${switchedOff ? ` without ${switchedOff}` : ''}`, (t) => {
    const isOn = allBut(switchedOff ? [switchedOff] : []);
    const options = { zone: 'north', zoneMargin: 0.25, zoneLoadFactor: 1.5, isOn };
    t.is(loadWithNewFlow(state, NOW_MS, options), expected);
  });
}
