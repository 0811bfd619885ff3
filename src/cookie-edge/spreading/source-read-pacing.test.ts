import test from 'ava';
import { READS_PER_SECOND, FIRST_READS } from './constants.js';
import { readDelayMs, readBackoffMs } from './source-read-pacing.js';

const SPREAD_MS = 500;

/** Returns the delays of all daemons of a fleet, in ascending order of their positions. */
function delaysOfFleet(daemons: number): number[] {
  return Array.from({ length: daemons }, (_, index) =>
    readDelayMs((index + 1) / daemons, daemons, SPREAD_MS),
  );
}

for (const daemons of [1, 2, 7, FIRST_READS]) {
  test(`all of ${daemons} daemons read within the spread`, (t) => {
    t.true(delaysOfFleet(daemons).every((delayMs) => delayMs >= 0 && delayMs <= SPREAD_MS));
  });
}

test('few daemons read first, and more follow while there is no response', (t) => {
  const readsInFirstHalf = delaysOfFleet(FIRST_READS).filter((delayMs) => delayMs <= SPREAD_MS / 2);
  t.true(readsInFirstHalf.length <= FIRST_READS / 4, `${readsInFirstHalf.length} in the first half`);
});

test('after the first reads a fleet of any size reads at the same rate', (t) => {
  for (const daemons of [88, 300, 1_100]) {
    const readsInNextSecond = delaysOfFleet(daemons).filter(
      (delayMs) => delayMs > SPREAD_MS && delayMs <= SPREAD_MS + 1_000,
    );
    t.true(
      Math.abs(readsInNextSecond.length - READS_PER_SECOND) <= 1,
      `${daemons}: ${readsInNextSecond.length}`,
    );
    t.is((daemons / readBackoffMs(daemons)) * 1_000, READS_PER_SECOND);
  }
});
