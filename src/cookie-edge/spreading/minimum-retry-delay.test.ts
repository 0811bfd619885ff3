import test from 'ava';
import { READS_PER_SECOND } from './constants.js';
import { minimumRetryDelayMs } from './source-read-pacing.js';

const OUTAGE = {
  isPaced: true,
  isComplete: true,
  ageMs: 2_000,
  pullAfterMs: 1_800,
  daemons: 10 * READS_PER_SECOND,
  lacksAnnouncedChange: false,
};

const CASES = [
  { name: 'an outage of the whole fleet', change: {}, delayMs: 10_000 },
  { name: 'few daemons', change: { daemons: READS_PER_SECOND }, delayMs: 0 },
  { name: 'pacing switched off', change: { isPaced: false }, delayMs: 0 },
  { name: 'no complete data yet', change: { isComplete: false }, delayMs: 0 },
  { name: 'a change that a peer announced is missing', change: { lacksAnnouncedChange: true }, delayMs: 0 },
  { name: 'a current confirmation', change: { ageMs: 1_799 }, delayMs: 0 },
];

for (const { name, change, delayMs } of CASES) {
  test(`${name}: the next call is at least ${delayMs} ms later`, (t) => {
    t.is(minimumRetryDelayMs({ ...OUTAGE, ...change }), delayMs);
  });
}
