/** Checks the wait of a watch by the state of its topic. */
import test from 'ava';
import { FIRST_WATCH_WAIT_MS } from './constants.js';
import { freshnessTimings } from './freshness.js';
import { isOverdue, canUseLongWatch, computeWatchWaitMs, type WatchRequest } from './watch-wait.js';

const TIMINGS = freshnessTimings(3_000);
const ORDINARY: WatchRequest = { ageMs: 0, isLongWatchEnabled: false, isRevisionStable: true };
const LONG: WatchRequest = { ...ORDINARY, isLongWatchEnabled: true };

const WAIT_CASES: readonly (readonly [string, WatchRequest, number])[] = [
  ['never confirmed', { ...ORDINARY, ageMs: Infinity }, FIRST_WATCH_WAIT_MS],
  ['rarely changing, never confirmed', { ...LONG, ageMs: Infinity }, FIRST_WATCH_WAIT_MS],
  ['just confirmed', ORDINARY, TIMINGS.watchWaitMs],
  ['500 ms left of the maximum age', { ...ORDINARY, ageMs: TIMINGS.readerAgeMs - 500 }, 500],
  ['at the maximum age', { ...ORDINARY, ageMs: TIMINGS.readerAgeMs }, TIMINGS.watchMinWaitMs],
  ['rarely changing, revision stable', LONG, TIMINGS.longWatchWaitMs],
  ['rarely changing, revision changing', { ...LONG, isRevisionStable: false }, TIMINGS.watchWaitMs],
  [
    'rarely changing, confirmation overdue',
    { ...LONG, ageMs: TIMINGS.confirmAfterMs },
    Math.max(TIMINGS.watchMinWaitMs, TIMINGS.readerAgeMs - TIMINGS.confirmAfterMs),
  ],
];

for (const [name, request, expected] of WAIT_CASES) {
  test(`wait: ${name}`, (t) => {
    t.is(computeWatchWaitMs(request, TIMINGS), expected);
  });
}

test('a long watch requires a topic that rarely changes, a stable revision, and a recent confirmation', (t) => {
  t.true(canUseLongWatch(LONG, TIMINGS));
  t.false(canUseLongWatch(ORDINARY, TIMINGS));
  t.false(canUseLongWatch({ ...LONG, isRevisionStable: false }, TIMINGS));
  t.false(canUseLongWatch({ ...LONG, ageMs: TIMINGS.confirmAfterMs }, TIMINGS));
  t.false(isOverdue(TIMINGS.confirmAfterMs - 1, TIMINGS));
  t.true(isOverdue(TIMINGS.confirmAfterMs, TIMINGS));
});
