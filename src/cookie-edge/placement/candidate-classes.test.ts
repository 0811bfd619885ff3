/** Each class of candidates, and what no class takes. */
import test from 'ava';
import { allBut, type Mechanism } from '../../common/mechanisms.js';
import type { LocalBackendState } from '../backend-health/local-backend-state.js';
import { CandidateClassifier, type CandidateClass } from './candidate-classes.js';
import { LAPSED_RECORD_MS } from './constants.js';
import { eject, stateOf } from './placement-test-support.js';

const NOW_MS = 1_200;
const SLOW_HANDSHAKE_MS = 45;

interface Case {
  readonly name: string;
  readonly state: () => LocalBackendState;
  readonly expected: CandidateClass | undefined;
  readonly nowMs?: number;
  readonly isOutlier?: boolean;
  readonly off?: Mechanism;
}

function plain(): LocalBackendState {
  return stateOf('a');
}

function failed(): LocalBackendState {
  const state = stateOf('a');
  state.recordFailure(NOW_MS - 10, NOW_MS - 160);
  return state;
}

function ejected(): LocalBackendState {
  const state = stateOf('a');
  eject(state);
  return state;
}

function waiting(): LocalBackendState {
  const state = stateOf('a');
  state.pendingOpenings = 1;
  state.pendingSinceMs = NOW_MS - SLOW_HANDSHAKE_MS - 1;
  return state;
}

function lapsed(lastSignOfLifeMs?: number): LocalBackendState {
  const state = stateOf('a', {}, { departed: true, lapsed: true, departedAtMs: 1_000 });
  if (lastSignOfLifeMs !== undefined) state.recordSignOfLife(lastSignOfLifeMs);
  return state;
}

function remembered(): LocalBackendState {
  return stateOf('a', {}, { departed: true, lapsed: true, remembered: true, departedAtMs: 1_000 });
}

const CASES: readonly Case[] = [
  { name: 'without failures', state: plain, expected: 'alive' },
  { name: 'that is an outlier', state: plain, isOutlier: true, expected: 'outlier' },
  { name: 'with one failure', state: failed, expected: 'suspect' },
  { name: 'with one failure that is an outlier', state: failed, isOutlier: true, expected: 'suspect' },
  { name: 'with a slow handshake', state: waiting, expected: 'suspect' },
  {
    name: 'with a slow handshake, avoidance off',
    state: waiting,
    off: 'slow-answer-avoidance',
    expected: 'alive',
  },
  { name: 'that was ejected', state: ejected, nowMs: 1_099, expected: 'ejected' },
  { name: 'that is due for a trial opening', state: ejected, expected: 'trial' },
  { name: 'that is due, trial openings off', state: ejected, off: 'trial-openings', expected: 'alive' },
  { name: 'with a lapsed record and a sign of life', state: () => lapsed(1_100), expected: 'lapsed' },
  {
    name: 'with a lapsed record, lapsed records off',
    state: () => lapsed(1_100),
    off: 'lapsed-records',
    expected: undefined,
  },
  { name: 'with a lapsed record and no sign of life since', state: () => lapsed(1_000), expected: undefined },
  {
    name: 'that is remembered, without any sign of life',
    state: () => remembered(),
    expected: 'lapsed',
  },
  {
    name: 'that is remembered and has failed',
    state: () => {
      const state = remembered();
      state.recordFailure(NOW_MS - 10, NOW_MS - 160);
      return state;
    },
    expected: undefined,
  },
  {
    name: 'that was remembered long ago',
    state: () => remembered(),
    nowMs: 1_000 + LAPSED_RECORD_MS,
    expected: undefined,
  },
  {
    name: 'with a record that lapsed long ago',
    state: () => lapsed(1_100),
    nowMs: 1_000 + LAPSED_RECORD_MS,
    expected: undefined,
  },
];

for (const { name, state, expected, nowMs = NOW_MS, isOutlier = false, off } of CASES) {
  test(`a back end ${name} is ${expected ?? 'no candidate'}`, (t) => {
    const classifier = new CandidateClassifier(allBut(off ? [off] : []));
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
    backends: [plain().backend],
    eligibleStateOf: () => undefined,
    nowMs: NOW_MS,
    slowHandshakeMs: SLOW_HANDSHAKE_MS,
  });
  t.deepEqual(alive, []);
});
