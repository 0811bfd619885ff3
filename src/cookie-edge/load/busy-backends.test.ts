import test from 'ava';
import { hashString } from '../../common/hash.js';
import { findBusyBackends, type RatedBackend } from './busy-backends.js';
import { MAX_BUSY_BACKENDS_PER_REPORT, TAG_MASK } from './constants.js';

function ratedBackendsOf(rates: readonly (number | undefined)[], service = 'alpha'): RatedBackend[] {
  return rates.map((rate, index) => ({ id: `${service}-${index}`, service, rate }));
}

function tagOf(id: string): number {
  return hashString(id) & TAG_MASK;
}

/** Title, rates, and the indices of the busy back ends in the expected order. */
const CASES: readonly (readonly [string, readonly (number | undefined)[], readonly number[]])[] = [
  ['no back ends', [], []],
  ['no rates yet', [undefined, undefined], []],
  ['no calls', [0, 0], []],
  ['equal rates', [5, 5, 5], []],
  ['a rate of exactly `BUSY_LEVEL` times the mean', [11, 9], []],
  ['a rate above `BUSY_LEVEL` times the mean', [12, 8], [0]],
  ['busiest first', [12, 20, 1, 1], [1, 0]],
  ['an unknown rate does not count towards the mean', [10, 10, undefined], []],
];

for (const [name, rates, busyIndices] of CASES) {
  test(`finds busy back ends: ${name}`, (t) => {
    t.deepEqual(
      findBusyBackends(ratedBackendsOf(rates)).map(({ tag }) => tag),
      busyIndices.map((index) => tagOf(`alpha-${index}`)),
    );
  });
}

test('the level is a multiple of the mean of the same service', (t) => {
  const rated = [...ratedBackendsOf([30, 10]), ...ratedBackendsOf([300, 300], 'beta')];
  t.deepEqual(findBusyBackends(rated), [{ tag: tagOf('alpha-0'), level: 1.5 }]);
});

test('the list of busy back ends is cut to its maximum length', (t) => {
  const rates = Array.from({ length: 4 * MAX_BUSY_BACKENDS_PER_REPORT }, (_, index) =>
    index % 2 === 0 ? 10 : 0,
  );
  t.is(findBusyBackends(ratedBackendsOf(rates)).length, MAX_BUSY_BACKENDS_PER_REPORT);
});
