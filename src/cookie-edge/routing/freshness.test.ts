/** Checks the durations derived from the freshness bound. */
import test from 'ava';
import { DEFAULT_FRESHNESS_BOUND_MS, freshnessTimings, type FreshnessTimings } from './freshness.js';

/** Expected durations in ms by bound. */
const CASES: readonly (readonly [boundMs: number, timings: FreshnessTimings])[] = [
  [
    1_000,
    {
      watchWaitMs: 450,
      longWatchWaitMs: 1_800,
      confirmAfterMs: 500,
      watchMinWaitMs: 100,
      readerAgeMs: 550,
      pullAfterMs: 600,
      readAfterMs: 667,
      readSpreadMs: 167,
      readerFreshMs: 1_333,
      readerMissedMs: 2_000,
    },
  ],
  [
    DEFAULT_FRESHNESS_BOUND_MS,
    {
      watchWaitMs: 1_350,
      longWatchWaitMs: 5_400,
      confirmAfterMs: 1_500,
      watchMinWaitMs: 300,
      readerAgeMs: 1_650,
      pullAfterMs: 1_800,
      readAfterMs: 2_001,
      readSpreadMs: 501,
      readerFreshMs: 3_999,
      readerMissedMs: 6_000,
    },
  ],
  [
    6_000,
    {
      watchWaitMs: 2_700,
      longWatchWaitMs: 10_800,
      confirmAfterMs: 3_000,
      watchMinWaitMs: 600,
      readerAgeMs: 3_300,
      pullAfterMs: 3_600,
      readAfterMs: 4_002,
      readSpreadMs: 1_002,
      readerFreshMs: 7_998,
      readerMissedMs: 12_000,
    },
  ],
];

for (const [boundMs, timings] of CASES) {
  test(`durations for a bound of ${boundMs} ms`, (t) => t.deepEqual(freshnessTimings(boundMs), timings));
}

test('a bound above 6,000 ms counts as 6,000 ms', (t) => {
  t.deepEqual(freshnessTimings(60_000), freshnessTimings(6_000));
});

for (const boundMs of [500, 1_000, DEFAULT_FRESHNESS_BOUND_MS, 6_000]) {
  test(`with a bound of ${boundMs} ms the durations elapse in order`, (t) => {
    const timings = freshnessTimings(boundMs);
    t.true(
      Math.abs(timings.watchWaitMs + timings.readerAgeMs - boundMs) <= 1,
      'wait and age add up to the bound',
    );
    t.true(timings.readerAgeMs < timings.pullAfterMs);
    t.true(timings.pullAfterMs < timings.readAfterMs);
    t.true(timings.readAfterMs + timings.readSpreadMs < boundMs, 'the first read begins within the bound');
    t.true(timings.readerFreshMs < timings.readerMissedMs);
  });
}
