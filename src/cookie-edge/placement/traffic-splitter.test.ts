/** Which service of a split gets a flow. The shares over many flows are tested in `forwarding/cookie-parts.test.ts`. */
import test from 'ava';
import { allBut } from '../../common/mechanisms.js';
import { TrafficSplitter } from './traffic-splitter.js';

/** Weights of the services 0, 1, ..., those with a candidate, and the services of the next flows. */
const CASES: readonly (readonly [
  string,
  readonly number[],
  readonly number[],
  readonly (string | undefined)[],
])[] = [
  ['no service', [], [], [undefined, undefined]],
  ['one service', [1], [0], ['0', '0']],
  ['one service without a candidate', [1], [], ['0', '0']],
  ['equal weights', [1, 1], [0, 1], ['0', '1', '0', '1']],
  ['weights of 3 and 1', [3, 1], [0, 1], ['0', '0', '1', '0']],
  ['a service without a candidate', [3, 1], [1], ['1', '1', '1']],
  ['no service with a candidate', [3, 1], [], ['0', '0', '1', '0']],
];

for (const [name, weights, withCandidate, expected] of CASES) {
  test(`a split with ${name} gives ${expected.join()}`, (t) => {
    const splitter = new TrafficSplitter(() => 1 / 2);
    const targets = weights.map((weight, index) => ({ service: String(index), weight }));
    const route = { name: 'r', address: 1, port: 1, targets };
    const chosen = expected.map(() =>
      splitter.choose(route, (service) => withCandidate.includes(Number(service))),
    );
    t.deepEqual(chosen, [...expected]);
  });
}

test('without credits a service is drawn by its share', (t) => {
  const draws = [0, 0, 0.7, 0.8];
  const splitter = new TrafficSplitter(() => draws.shift() ?? 0, allBut(['split-credit']));
  const targets = [
    { service: '0', weight: 3 },
    { service: '1', weight: 1 },
  ];
  const route = { name: 'r', address: 1, port: 1, targets };
  t.is(
    splitter.choose(route, () => true),
    '0',
  );
  t.is(
    splitter.choose(route, () => true),
    '1',
  );
});
