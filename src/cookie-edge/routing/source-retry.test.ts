/** Checks the backoff after a failed call, and when an outage begins. */
import test from 'ava';
import { OUTAGE_AFTER_MS, RETRY_MAX_MS, RETRY_MIN_MS } from './constants.js';
import { isOutage, retryDelayMs } from './source-retry.js';

/** Name, consecutive failed calls, minimum delay, and expected delay. */
const DELAY_CASES: readonly (readonly [string, number, number, number])[] = [
  ['first failure', 1, 0, RETRY_MIN_MS],
  ['second failure', 2, 0, 2 * RETRY_MIN_MS],
  ['enough failures to reach the bound', 5, 0, RETRY_MAX_MS],
  ['many failures', 1_000, 0, RETRY_MAX_MS],
  ['a smaller minimum', 2, RETRY_MIN_MS, 2 * RETRY_MIN_MS],
  ['a larger minimum', 1, 300, 300],
  ['a minimum above the bound', 1_000, 8_000, 8_000],
];

for (const [name, failedCalls, minimumMs, expected] of DELAY_CASES) {
  test(`delay: ${name}`, (t) => {
    t.is(retryDelayMs(failedCalls, minimumMs), expected);
  });
}

test('an outage begins after `OUTAGE_AFTER_MS` without a response', (t) => {
  t.false(isOutage(OUTAGE_AFTER_MS - 1));
  t.true(isOutage(OUTAGE_AFTER_MS));
});
