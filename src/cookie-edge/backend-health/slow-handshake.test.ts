/** When a pending handshake counts as slow. */
import test from 'ava';
import { HANDSHAKE_AVERAGE_START_MS, SLOW_HANDSHAKE_FACTOR, SLOW_HANDSHAKE_MARGIN_MS } from './constants.js';
import { HandshakeTimes, hasSlowHandshake } from './slow-handshake.js';

test('the limit follows the moving average', (t) => {
  const handshakeTimes = new HandshakeTimes();
  t.is(
    handshakeTimes.slowHandshakeMs,
    HANDSHAKE_AVERAGE_START_MS * SLOW_HANDSHAKE_FACTOR + SLOW_HANDSHAKE_MARGIN_MS,
  );
  for (let count = 0; count < 500; count += 1) handshakeTimes.record(3);
  t.true(
    Math.abs(handshakeTimes.slowHandshakeMs - (3 * SLOW_HANDSHAKE_FACTOR + SLOW_HANDSHAKE_MARGIN_MS)) < 0.01,
  );
});

/** Title, pending openings, since when, now, and whether that is slow at a limit of 45 ms. */
const CASES: readonly (readonly [string, number, number, number, boolean])[] = [
  ['nothing pending', 0, 0, 1_000, false],
  ['at the limit', 1, 100, 145, false],
  ['above the limit', 1, 100, 146, true],
  ['several pending', 3, 100, 146, true],
];

for (const [name, pending, sinceMs, nowMs, expected] of CASES) {
  test(`slow handshake: ${name}`, (t) => {
    t.is(hasSlowHandshake(pending, sinceMs, nowMs, 45), expected);
  });
}
