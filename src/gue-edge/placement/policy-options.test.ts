import test from 'ava';
import { exceptionShareForBudget } from './policy-options.js';

const BUDGETS = [
  { bytes: 4_000, openings: 2_000, share: 0.1 },
  { bytes: 4_000, openings: 100, share: 0.13 },
  { bytes: 0, openings: 100, share: 0 },
  { bytes: 4_000, openings: 0, share: 0.13 },
] as const;
for (const { bytes, openings, share } of BUDGETS) {
  test(`a budget of ${bytes} B/s at ${openings} openings/s allows a share of ${share} exceptions`, (t) => {
    t.is(exceptionShareForBudget(bytes, openings, 20, 0.13), share);
  });
}
