/** Each class of candidates, and back ends that are no candidates. */
import test from 'ava';
import { allBut, type Mechanism } from '../../common/mechanisms.js';
import type { LocalBackendState } from '../backend-health/local-backend-state.js';
import { CandidateClassifier, type CandidateClass } from './candidate-classes.js';
import { LAPSED_RECORD_TTL_MS } from './constants.js';
import { eject, createBackendState } from './placement-test-support.js';

const NOW_MS = 1_200;
const SLOW_HANDSHAKE_MS = 45;

interface Case {
  readonly name: string;
  readonly state: () => LocalBackendState;
  readonly expected: CandidateClass | undefined;
  readonly nowMs?: number;
  readonly isOutlier?: boolean;
  readonly switchedOff?: Mechanism;
}

function healthyState(): LocalBackendState {
  return createBackendState('a');
}

function failedState(): LocalBackendState {
  const state = createBackendState('a');
  state.recordFailure(NOW_MS - 10, NOW_MS - 160);
  return state;
}

function ejectedState(): LocalBackendState {
  const state = createBackendState('a');
  eject(state);
  return state;
}

function stateWithSlowHandshake(): LocalBackendState {
  const state = createBackendState('a');
  state.pendingOpenings = 1;
  state.pendingSinceMs = NOW_MS - SLOW_HANDSHAKE_MS - 1;
  return state;
}

function lapsedState(lastSignOfLifeMs?: number): LocalBackendState {
  const state = createBackendState('a', {}, { departed: true, lapsed: true, departedAtMs: 1_000 });
  if (lastSignOfLifeMs !== undefined) state.recordSignOfLife(lastSignOfLifeMs);
  return state;
}

function neverListedState(): LocalBackendState {
  return createBackendState(
    'a',
    {},
    { departed: true, lapsed: true, isNeverListed: true, departedAtMs: 1_000 },
  );
}

const CASES: readonly Case[] = [
  { name: 'without failures', state: healthyState, expected: 'alive' },
  { name: 'that is an outlier', state: healthyState, isOutlier: true, expected: 'outlier' },
  { name: 'with one failure', state: failedState, expected: 'suspect' },
  { name: 'with one failure that is an outlier', state: failedState, isOutlier: true, expected: 'suspect' },
  { name: 'with a slow handshake', state: stateWithSlowHandshake, expected: 'suspect' },
  {
    name: 'with a slow handshake, avoidance off',
    state: stateWithSlowHandshake,
    switchedOff: 'slow-answer-avoidance',
    expected: 'alive',
  },
  { name: 'that was ejected', state: ejectedState, nowMs: 1_099, expected: 'ejected' },
  { name: 'that is due for a trial opening', state: ejectedState, expected: 'trial' },
  {
    name: 'that is due for a trial opening, trial openings off',
    state: ejectedState,
    switchedOff: 'trial-openings',
    expected: 'alive',
  },
  { name: 'with a lapsed record and a sign of life', state: () => lapsedState(1_100), expected: 'lapsed' },
  {
    name: 'with a lapsed record, lapsed records off',
    state: () => lapsedState(1_100),
    switchedOff: 'lapsed-records',
    expected: undefined,
  },
  {
    name: 'with a lapsed record and no sign of life since',
    state: () => lapsedState(1_000),
    expected: undefined,
  },
  {
    name: 'that was never listed and has given no sign of life',
    state: () => neverListedState(),
    expected: 'lapsed',
  },
  {
    name: 'that was never listed and has failed',
    state: () => {
      const state = neverListedState();
      state.recordFailure(NOW_MS - 10, NOW_MS - 160);
      return state;
    },
    expected: undefined,
  },
  {
    name: 'that was never listed and departed long ago',
    state: () => neverListedState(),
    nowMs: 1_000 + LAPSED_RECORD_TTL_MS,
    expected: undefined,
  },
  {
    name: 'with a record that lapsed long ago',
    state: () => lapsedState(1_100),
    nowMs: 1_000 + LAPSED_RECORD_TTL_MS,
    expected: undefined,
  },
];

for (const { name, state, expected, nowMs = NOW_MS, isOutlier = false, switchedOff } of CASES) {
  test(`a back end ${name} is ${expected ?? 'no candidate'}`, (t) => {
    const classifier = new CandidateClassifier(allBut(switchedOff ? [switchedOff] : []));
    const subject = state();
    const request = {
      backends: [subject.backend],
      eligibleStateOf: () => subject,
      isOutlier: () => isOutlier,
      nowMs,
      slowHandshakeMs: SLOW_HANDSHAKE_MS,
    };
    t.is(classifier.classOf(subject, request), expected);
    const candidates = classifier.classify(request);
    const list = expected === 'trial' ? 'ejected' : expected;
    for (const key of ['alive', 'outlier', 'suspect', 'ejected', 'lapsed'] as const) {
      t.deepEqual(candidates[key], key === list ? [subject] : []);
    }
    t.is(candidates.trial, expected === 'trial' ? subject : undefined);
  });
}

test('an excluded back end is no candidate', (t) => {
  const { alive } = new CandidateClassifier().classify({
    backends: [healthyState().backend],
    eligibleStateOf: () => undefined,
    nowMs: NOW_MS,
    slowHandshakeMs: SLOW_HANDSHAKE_MS,
  });
  t.deepEqual(alive, []);
});
