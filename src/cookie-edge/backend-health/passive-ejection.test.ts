/** When a back end is ejected, when it is suspect, and when it gets a trial opening. */
import test from 'ava';
import { EJECT_MAX_MS, EJECT_MIN_MS, SUSPECT_MS } from './constants.js';
import { PassiveEjection, type EjectionDecision, type EjectionPhase } from './passive-ejection.js';

const NEVER = Number.NEGATIVE_INFINITY;

/** Failures as [noticed, began], then the evaluation at `atMs`. Times in ms. */
interface EvaluationCase {
  readonly name: string;
  readonly failures: readonly (readonly [number, number])[];
  readonly atMs: number;
  readonly othersLastSignOfLifeMs: number;
  readonly expected: EjectionDecision;
}

const TWO_FAILURES = [
  [200, 50],
  [300, 150],
] as const;

const EVALUATIONS: readonly EvaluationCase[] = [
  { name: 'no failure', failures: [], atMs: 300, othersLastSignOfLifeMs: 250, expected: 'too-few-failures' },
  {
    name: 'one failure',
    failures: [[200, 50]],
    atMs: 300,
    othersLastSignOfLifeMs: 250,
    expected: 'too-few-failures',
  },
  {
    name: 'other back ends never answered',
    failures: TWO_FAILURES,
    atMs: 300,
    othersLastSignOfLifeMs: NEVER,
    expected: 'no-other-answers',
  },
  {
    name: 'other back ends answered last when the failure began',
    failures: TWO_FAILURES,
    atMs: 300,
    othersLastSignOfLifeMs: 50,
    expected: 'no-other-answers',
  },
  {
    name: 'other back ends answered since',
    failures: TWO_FAILURES,
    atMs: 300,
    othersLastSignOfLifeMs: 51,
    expected: 'eject',
  },
];

for (const { name, failures, atMs, othersLastSignOfLifeMs, expected } of EVALUATIONS) {
  test(`evaluation: ${name}`, (t) => {
    const ejection = new PassiveEjection();
    for (const [noticedMs, failureStartMs] of failures) ejection.recordFailure(noticedMs, failureStartMs);
    t.is(ejection.evaluate(atMs, othersLastSignOfLifeMs), expected);
  });
}

function createEjectionStartedAt(nowMs: number): PassiveEjection {
  const ejection = new PassiveEjection();
  ejection.recordFailure(nowMs, nowMs - 200);
  ejection.recordFailure(nowMs, nowMs - 150);
  ejection.evaluate(nowMs, nowMs);
  return ejection;
}

test('evaluation: a failure causes one ejection only, and a failure during an ejection causes none', (t) => {
  const ejection = createEjectionStartedAt(1_000);
  t.is(ejection.evaluate(1_100, 1_100), 'already-evaluated');
  ejection.recordFailure(1_200, 1_050);
  t.is(ejection.evaluate(1_200, 1_200), 'already-ejected');
  t.is(ejection.evaluate(1_000 + EJECT_MIN_MS, 1_200), 'already-evaluated');
  ejection.recordFailure(1_000 + EJECT_MIN_MS, 1_900);
  t.is(ejection.evaluate(1_000 + EJECT_MIN_MS, 1_900), 'eject');
});

test('the ejection time doubles up to its maximum, and a sign of life resets it', (t) => {
  const ejection = createEjectionStartedAt(0);
  let endMs = EJECT_MIN_MS;
  for (const expectedMs of [2 * EJECT_MIN_MS, 4 * EJECT_MIN_MS, EJECT_MAX_MS, EJECT_MAX_MS]) {
    ejection.recordFailure(endMs, endMs - 150);
    t.is(ejection.evaluate(endMs, endMs), 'eject');
    t.is(ejection.phaseAt(endMs + expectedMs - 1), 'ejected');
    t.is(ejection.phaseAt(endMs + expectedMs), 'trial');
    endMs += expectedMs;
  }
  t.true(ejection.recordSignOfLife());
  t.is(ejection.failures, 0);
  t.false(ejection.recordSignOfLife());
  ejection.recordFailure(endMs + 1, endMs);
  ejection.recordFailure(endMs + 2, endMs);
  t.is(ejection.evaluate(endMs + 2, endMs + 1), 'eject');
  t.is(ejection.phaseAt(endMs + 2 + EJECT_MIN_MS), 'trial');
});

function createEjectionWithFailureAt(nowMs: number): PassiveEjection {
  const ejection = new PassiveEjection();
  ejection.recordFailure(nowMs, nowMs - 150);
  return ejection;
}

function recordTrialAt(ejection: PassiveEjection, nowMs: number): PassiveEjection {
  ejection.recordTrial(nowMs);
  return ejection;
}

const TRIAL_MS = 1_000 + EJECT_MIN_MS;

const PHASES: readonly (readonly [string, PassiveEjection, number, EjectionPhase])[] = [
  ['without failures', new PassiveEjection(), 0, 'no-failure'],
  ['just after one failure', createEjectionWithFailureAt(1_000), 1_000 + SUSPECT_MS - 1, 'suspect'],
  ['long after one failure', createEjectionWithFailureAt(1_000), 1_000 + SUSPECT_MS, 'failures-expired'],
  ['during an ejection', createEjectionStartedAt(1_000), TRIAL_MS - 1, 'ejected'],
  ['after an ejection', createEjectionStartedAt(1_000), TRIAL_MS, 'trial'],
  [
    'just before the next trial opening is due',
    recordTrialAt(createEjectionStartedAt(1_000), TRIAL_MS),
    TRIAL_MS + EJECT_MIN_MS - 1,
    'ejected',
  ],
  [
    'when the next trial opening is due',
    recordTrialAt(createEjectionStartedAt(1_000), TRIAL_MS),
    TRIAL_MS + EJECT_MIN_MS,
    'trial',
  ],
];

for (const [name, ejection, nowMs, expected] of PHASES) {
  test(`phase: ${name}`, (t) => {
    t.is(ejection.phaseAt(nowMs), expected);
  });
}
