/** When a measure counts as above its limit. */
import test from 'ava';
import { isLimitExceeded } from './limit-guard.js';

/** Whether the limit of 100 was exceeded before, the measure, and whether it is now. */
const MEASURES: readonly (readonly [boolean, number, boolean])[] = [
  [false, 0, false],
  [false, 99, false],
  [false, 100, true],
  [true, 99, true],
  [true, 90, true],
  [true, 89, false],
];

for (const [before, value, expected] of MEASURES) {
  test(`${value} of 100 ${before ? 'after' : 'before'} the limit was reached`, (t) => {
    t.is(isLimitExceeded(before, value, 100), expected);
  });
}
