import test from 'ava';
import { askDelayMs, askIntervalMs } from './source-read-pacing.js';
import { ASKS_A_SECOND, FIRST_ASKERS } from './constants.js';

const SPREAD_MS = 500;

/** Delays of all daemons of a fleet, in their order. */
function delays(daemons: number): number[] {
  return Array.from({ length: daemons }, (_, index) => askDelayMs((index + 1) / daemons, daemons, SPREAD_MS));
}

for (const daemons of [1, 2, 7, FIRST_ASKERS]) {
  test(`${daemons} daemons all take their turns within the spread`, (t) => {
    t.true(delays(daemons).every((delayMs) => delayMs >= 0 && delayMs <= SPREAD_MS));
  });
}

test('few begin, and more follow while nobody has an answer', (t) => {
  const early = delays(FIRST_ASKERS).filter((delayMs) => delayMs <= SPREAD_MS / 2);
  t.true(early.length <= FIRST_ASKERS / 4, `${early.length} in the first half`);
});

test('beyond the first ones a fleet of any size asks at the same rate', (t) => {
  for (const daemons of [88, 300, 1_100]) {
    const inSecond = delays(daemons).filter((delayMs) => delayMs > SPREAD_MS && delayMs <= SPREAD_MS + 1_000);
    t.true(Math.abs(inSecond.length - ASKS_A_SECOND) <= 1, `${daemons}: ${inSecond.length}`);
    t.is((daemons / askIntervalMs(daemons)) * 1_000, ASKS_A_SECOND);
  }
});
