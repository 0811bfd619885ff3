import test from 'ava';
import { seededRandom } from './random.js';

test('equal seeds repeat, and near seeds start in unrelated places', (t) => {
  const firstOf = (seed: number): number => seededRandom(seed)();
  const seeds = Array.from({ length: 200 }, (_unused, index) => index);
  t.deepEqual(seeds.map(firstOf), seeds.map(firstOf));
  const mean = seeds.reduce((sum, seed) => sum + firstOf(seed), 0) / seeds.length;
  t.true(mean > 0.4 && mean < 0.6, String(mean));
  t.is(new Set(seeds.map(firstOf)).size, seeds.length);
});
