/** How long a suspicion runs. */
import test from 'ava';
import { suspicionTimeoutMs } from './suspicion-timeout.js';

const TIMING = { suspicionMinMs: 1_500, suspicionPerDecadeMs: 700 };

const TIMES: readonly (readonly [string, number, number, number])[] = [
  ['one accuser: the longest time', 1, 10, 3_000],
  ['one confirmation: half-way on a logarithmic scale', 2, 10, 2_250],
  ['three confirmations: the shortest time', 4, 10, 1_500],
  ['more confirmations than needed', 9, 10, 1_500],
  ['watched to its end by another member', Infinity, 10, 1_500],
  ['nobody else could confirm', 1, 2, 1_500],
  ['one member could confirm and has not', 1, 3, 3_000],
  ['one member could confirm and has', 2, 3, 1_500],
  ['a large region: scaled by its size', 4, 1_000, 2_100],
  ['a large region, one accuser', 1, 1_000, 4_200],
];

for (const [name, accusers, members, expectedMs] of TIMES) {
  test(name, (t) => t.is(Math.round(suspicionTimeoutMs(accusers, members, TIMING)), expectedMs));
}
