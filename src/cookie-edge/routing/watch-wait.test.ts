/** How long a watch may be held back. */
import test from 'ava';
import { FIRST_WATCH_WAIT_MS } from './constants.js';
import { freshnessTimings } from './freshness.js';
import { isUnconfirmed, mayWatchLong, watchWaitMs, type WatchRequest } from './watch-wait.js';

const TIMINGS = freshnessTimings(3_000);
const ORDINARY: WatchRequest = { ageMs: 0, isLongWatched: false, isSourceCalm: true };
const LONG: WatchRequest = { ...ORDINARY, isLongWatched: true };

const WAITS: readonly (readonly [string, WatchRequest, number])[] = [
  ['never confirmed', { ...ORDINARY, ageMs: Infinity }, FIRST_WATCH_WAIT_MS],
  ['seldom changing, never confirmed', { ...LONG, ageMs: Infinity }, FIRST_WATCH_WAIT_MS],
  ['just confirmed', ORDINARY, TIMINGS.watchWaitMs],
  ['half the age left', { ...ORDINARY, ageMs: TIMINGS.readerAgeMs - 500 }, 500],
  ['too old', { ...ORDINARY, ageMs: TIMINGS.readerAgeMs }, TIMINGS.watchMinWaitMs],
  ['seldom changing, calm source', LONG, TIMINGS.longWatchWaitMs],
  ['seldom changing, source moves', { ...LONG, isSourceCalm: false }, TIMINGS.watchWaitMs],
  [
    'seldom changing, unconfirmed',
    { ...LONG, ageMs: TIMINGS.confirmAfterMs },
    Math.max(TIMINGS.watchMinWaitMs, TIMINGS.readerAgeMs - TIMINGS.confirmAfterMs),
  ],
];

for (const [name, request, expected] of WAITS) {
  test(`wait: ${name}`, (t) => {
    t.is(watchWaitMs(request, TIMINGS), expected);
  });
}

test('a long watch needs a topic that seldom changes, a calm source, and a confirmation', (t) => {
  t.true(mayWatchLong(LONG, TIMINGS));
  t.false(mayWatchLong(ORDINARY, TIMINGS));
  t.false(mayWatchLong({ ...LONG, isSourceCalm: false }, TIMINGS));
  t.false(mayWatchLong({ ...LONG, ageMs: TIMINGS.confirmAfterMs }, TIMINGS));
  t.false(isUnconfirmed(TIMINGS.confirmAfterMs - 1, TIMINGS));
  t.true(isUnconfirmed(TIMINGS.confirmAfterMs, TIMINGS));
});
