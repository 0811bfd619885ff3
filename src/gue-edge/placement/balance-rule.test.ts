import test from 'ava';
import {
  limitedCorrection,
  nextBias,
  offsetOpenings,
  reportMaxAgeMs,
  reportWeight,
  toleratedExcess,
} from './balance-rule.js';
import {
  MAX_BIAS_FLOWS,
  MIN_BIAS_FLOWS,
  MIN_BIAS_SHARE,
  REPORT_CORRECTION_SHARE,
  REPORT_GAIN,
  REPORT_MAX_AGE_LIFETIMES,
  REPORT_MAX_AGE_MS,
  REPORT_OFFSET_TURNOVERS,
} from './constants.js';

test('an exception raises the bias, a first choice lowers it, within its bounds', (t) => {
  t.true(nextBias(3, true, 0.14) > 3);
  t.true(nextBias(3, false, 0.14) < 3);
  t.is(nextBias(3, false, 0), 3);
  t.is(nextBias(MAX_BIAS_FLOWS, true, 0.14), MAX_BIAS_FLOWS);
  t.is(nextBias(MIN_BIAS_FLOWS, false, 0.14), MIN_BIAS_FLOWS);
});

test('a large share tolerates more than the bias', (t) => {
  t.is(toleratedExcess(3, 10), 3);
  t.is(toleratedExcess(3, 1_000), 1_000 * MIN_BIAS_SHARE);
});

const CORRECTIONS = [
  ['agrees with the own count', 4, 4, 100, 0],
  ['others hold more', 10, 0, 100, 10 * REPORT_GAIN],
  ['others hold less', -10, 0, 100, -10 * REPORT_GAIN],
  ['limited above', 1_000, 0, 100, 100 * REPORT_CORRECTION_SHARE],
  ['limited below', -1_000, 0, 100, -100 * REPORT_CORRECTION_SHARE],
] as const;
for (const [name, totalExcess, ownExcess, share, expected] of CORRECTIONS) {
  test(`correction by a report: ${name}`, (t) =>
    t.is(limitedCorrection(totalExcess, ownExcess, share), expected));
}

test('a constant error is learned over turnovers, at least one opening', (t) => {
  t.is(offsetOpenings(0), 1);
  t.is(offsetOpenings(100), 100 * REPORT_OFFSET_TURNOVERS);
});

test('a report loses its weight with age, sooner for short flows', (t) => {
  t.is(reportMaxAgeMs(10_000), 10_000 * REPORT_MAX_AGE_LIFETIMES);
  t.is(reportMaxAgeMs(Infinity), REPORT_MAX_AGE_MS);
  t.is(reportWeight(0, 1_000), 1);
  t.is(reportWeight(500, 1_000), 0.5);
  t.is(reportWeight(2_000, 1_000), 0);
});
