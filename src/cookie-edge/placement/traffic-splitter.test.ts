/** Which service of a traffic split gets a flow, and the shares over many flows. */
import test from 'ava';
import { allBut } from '../../common/mechanisms.js';
import { seededRandom } from '../../common/random.js';
import type { Route } from '../routing/index.js';
import { SERVICE_ADDRESS } from '../routing/routing-test-support.js';
import { TrafficSplitter } from './traffic-splitter.js';

/** Name, weights of the services 0, 1, ..., services with a candidate, expected services of the next flows. */
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
  test(`a traffic split with ${name} chooses ${expected.join()}`, (t) => {
    const splitter = new TrafficSplitter(() => 1 / 2);
    const targets = weights.map((weight, index) => ({ service: String(index), weight }));
    const route = { name: 'r', address: 1, port: 1, targets };
    const chosen = expected.map(() =>
      splitter.chooseService(route, (service) => withCandidate.includes(Number(service))),
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
    splitter.chooseService(route, () => true),
    '0',
  );
  t.is(
    splitter.chooseService(route, () => true),
    '1',
  );
});

function routeWith(...weights: number[]): Route {
  const targets = weights.map((weight, index) => ({ service: `service-${index}`, weight }));
  return { name: 'route', address: SERVICE_ADDRESS, port: 80, targets };
}

for (const weights of [
  [90, 10],
  [50, 30, 20],
  [1, 1],
  [99, 1],
]) {
  test(`weights of ${weights.join(':')} are met in 200 consecutive flows`, (t) => {
    const splitter = new TrafficSplitter(seededRandom(5));
    const route = routeWith(...weights);
    const chosen = Array.from({ length: 1_000 }, () => splitter.chooseService(route, () => true));
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    for (let start = 0; start + 200 <= chosen.length; start += 50) {
      weights.forEach((weight, index) => {
        const chosenCount = chosen
          .slice(start, start + 200)
          .filter((name) => name === `service-${index}`).length;
        t.true(Math.abs(chosenCount / 200 - weight / total) <= 0.01, `${chosenCount} of 200 from ${start}`);
      });
    }
  });
}

test('a service without a candidate is skipped, and credits are reset when the weights change', (t) => {
  const splitter = new TrafficSplitter(seededRandom(5));
  for (let flow = 0; flow < 50; flow += 1) {
    t.is(
      splitter.chooseService(routeWith(90, 10), (service) => service === 'service-1'),
      'service-1',
    );
  }
  const chosen = Array.from({ length: 100 }, () => splitter.chooseService(routeWith(10, 90), () => true));
  t.true(Math.abs(chosen.filter((name) => name === 'service-1').length - 90) <= 1);
});
