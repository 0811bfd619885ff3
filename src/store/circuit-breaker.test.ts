/** When the circuit opens, lets a trial through, and closes. */
import test from 'ava';
import { VirtualClock } from '../common/clock.js';
import { CircuitBreaker, judgePass, openDurationMs, type PassVerdict } from './circuit-breaker.js';
import { CIRCUIT_FAILURE_THRESHOLD, CIRCUIT_OPEN_BASE_MS, CIRCUIT_OPEN_MAX_MS } from './constants.js';

const OPEN = CIRCUIT_FAILURE_THRESHOLD;

/** Failures in a row, whether a trial is under way, now, and the end of the open time. */
const PASSES: readonly (readonly [string, number, boolean, number, number, PassVerdict])[] = [
  ['no failure', 0, false, 0, 0, 'pass'],
  ['one failure too few', OPEN - 1, false, 0, 0, 'pass'],
  ['open', OPEN, false, 99, 100, 'refused'],
  ['open time over', OPEN, false, 100, 100, 'trial'],
  ['trial under way', OPEN, true, 100, 100, 'refused'],
];

for (const [name, failures, trialUnderWay, nowMs, openUntilMs, verdict] of PASSES) {
  test(`request: ${name}`, (t) => {
    t.is(judgePass({ failures, trialUnderWay, nowMs, openUntilMs }), verdict);
  });
}

const DURATIONS: readonly (readonly [string, number, number])[] = [
  ['closed', OPEN - 1, 0],
  ['first', OPEN, CIRCUIT_OPEN_BASE_MS],
  ['after a failed trial', OPEN + 1, 2 * CIRCUIT_OPEN_BASE_MS],
  ['after many', OPEN + 50, CIRCUIT_OPEN_MAX_MS],
];

for (const [name, failures, durationMs] of DURATIONS) {
  test(`open time: ${name}`, (t) => t.is(openDurationMs(failures), durationMs));
}

test('a circuit opens once, tries once, and closes at the first success', (t) => {
  const clock = new VirtualClock();
  const changes: string[] = [];
  const circuit = new CircuitBreaker(
    clock,
    () => 0.5,
    (state) => changes.push(state),
  );
  for (let failure = 0; failure < OPEN; failure += 1) circuit.failed();
  t.deepEqual(
    [circuit.state(), circuit.tryPass(), circuit.remainingMs()],
    ['open', false, CIRCUIT_OPEN_BASE_MS],
  );
  clock.advance(CIRCUIT_OPEN_BASE_MS);
  t.deepEqual([circuit.tryPass(), circuit.state(), circuit.tryPass()], [true, 'half-open', false]);
  circuit.failed();
  t.deepEqual([circuit.state(), circuit.remainingMs()], ['open', 2 * CIRCUIT_OPEN_BASE_MS]);
  clock.advance(2 * CIRCUIT_OPEN_BASE_MS);
  t.true(circuit.tryPass());
  circuit.abandoned();
  t.true(circuit.tryPass(), 'a trial given up by its caller leaves the way to another');
  circuit.succeeded();
  t.deepEqual([circuit.state(), circuit.tryPass()], ['closed', true]);
  t.deepEqual(changes, ['open', 'closed']);
});
