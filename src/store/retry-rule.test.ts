/** What becomes of one attempt of a call to the platform. */
import test from 'ava';
import {
  hasTimeForRetry,
  isSignOfLife,
  judgeRepeatable,
  judgeWrite,
  type AttemptVerdict,
} from './retry-rule.js';
import type { ExchangeOutcome } from './transport.js';

type Kind<Failure extends string> = AttemptVerdict<Failure>['kind'];

const cause = new Error('fault');

/** Outcome, verdict on a request that may be processed twice, verdict on a write, and whether it is a sign of life. */
const ATTEMPTS: readonly (readonly [
  string,
  ExchangeOutcome,
  Kind<'bad-answer'>,
  Kind<'unknown-outcome'>,
  boolean,
])[] = [
  ['success', { kind: 'answered', status: 200, answer: {} }, 'answered', 'answered', true],
  ['conflict', { kind: 'answered', status: 409, answer: {} }, 'answered', 'answered', true],
  ['last usable status', { kind: 'answered', status: 499, answer: {} }, 'answered', 'answered', true],
  [
    'failure of the platform',
    { kind: 'answered', status: 500, answer: {} },
    'try-again',
    'unknown-outcome',
    false,
  ],
  ['not JSON', { kind: 'unreadable', status: 200, cause }, 'bad-answer', 'unknown-outcome', true],
  ['no connection', { kind: 'not-sent', cause }, 'try-again', 'try-again', false],
  ['deadline passed', { kind: 'lost', timedOut: true, cause }, 'try-again', 'unknown-outcome', false],
  ['connection lost', { kind: 'lost', timedOut: false, cause }, 'try-again', 'unknown-outcome', false],
];

for (const [name, outcome, repeatable, write, alive] of ATTEMPTS) {
  test(name, (t) => {
    t.is(judgeRepeatable(outcome).kind, repeatable);
    t.is(judgeWrite(outcome).kind, write);
    t.is(isSignOfLife(outcome), alive);
  });
}

test('another attempt must start before the deadline', (t) => {
  t.true(hasTimeForRetry(100, 49, 150));
  t.false(hasTimeForRetry(100, 50, 150));
});
