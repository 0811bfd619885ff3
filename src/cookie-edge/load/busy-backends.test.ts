/** Which back ends are busy. */
import test from 'ava';
import { hashString } from '../../common/hash.js';
import { busyBackends, type RatedBackend } from './busy-backends.js';
import { MAX_REPORTED, TAG_MASK } from './constants.js';

function ratesOf(rates: readonly (number | undefined)[], service = 'alpha'): RatedBackend[] {
  return rates.map((rate, index) => ({ id: `${service}-${index}`, service, rate }));
}

function tagOf(id: string): number {
  return hashString(id) & TAG_MASK;
}

/** Rates, and the indices of those that are busy. */
const CASES: readonly (readonly [string, readonly (number | undefined)[], readonly number[]])[] = [
  ['no back ends', [], []],
  ['no rates yet', [undefined, undefined], []],
  ['no calls', [0, 0], []],
  ['equal rates', [5, 5, 5], []],
  ['at the level', [11, 9], []],
  ['above the level', [12, 8], [0]],
  ['the busiest first', [12, 20, 1, 1], [1, 0]],
  ['an unknown rate does not count towards the mean', [10, 10, undefined], []],
];

for (const [name, rates, busy] of CASES) {
  test(`busy: ${name}`, (t) => {
    t.deepEqual(
      busyBackends(ratesOf(rates)).map(({ tag }) => tag),
      busy.map((index) => tagOf(`alpha-${index}`)),
    );
  });
}

test('levels are multiples of the mean of the own service', (t) => {
  const rated = [...ratesOf([30, 10]), ...ratesOf([300, 300], 'beta')];
  t.deepEqual(busyBackends(rated), [{ tag: tagOf('alpha-0'), level: 1.5 }]);
});

test('at most so many are reported', (t) => {
  const rates = Array.from({ length: 4 * MAX_REPORTED }, (_, index) => (index % 2 === 0 ? 10 : 0));
  t.is(busyBackends(ratesOf(rates)).length, MAX_REPORTED);
});
