import test from 'ava';
import { READS_PER_SECOND, FIRST_READS } from './constants.js';
import { readDelayMs, readBackoffMs } from './source-read-pacing.js';

const SPREAD_MS = 500;

/** Delays of all daemons of a fleet, in their order. */
function delays(daemons: number): number[] {
  return Array.from({ length: daemons }, (_, index) =>
    readDelayMs((index + 1) / daemons, daemons, SPREAD_MS),
  );
}

for (const daemons of [1, 2, 7, FIRST_READS]) {
  test(`${daemons} daemons all take their turns within the spread`, (t) => {
    t.true(delays(daemons).every((delayMs) => delayMs >= 0 && delayMs <= SPREAD_MS));
  });
}

test('few begin, and more follow while nobody has an answer', (t) => {
  const early = delays(FIRST_READS).filter((delayMs) => delayMs <= SPREAD_MS / 2);
  t.true(early.length <= FIRST_READS / 4, `${early.length} in the first half`);
});

test('beyond the first ones a fleet of any size asks at the same rate', (t) => {
  for (const daemons of [88, 300, 1_100]) {
    const inSecond = delays(daemons).filter((delayMs) => delayMs > SPREAD_MS && delayMs <= SPREAD_MS + 1_000);
    t.true(Math.abs(inSecond.length - READS_PER_SECOND) <= 1, `${daemons}: ${inSecond.length}`);
    t.is((daemons / readBackoffMs(daemons)) * 1_000, READS_PER_SECOND);
  }
});
