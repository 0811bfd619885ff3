/** Daemons while the source does not answer some or all of them, and when it comes back. */
import test from 'ava';
import { READS_PER_SECOND, FIRST_READS, TARGET_READERS } from './constants.js';
import {
  faultReaders,
  settled,
  SETTLE_MS,
  SpreadingCluster,
  timeOfVersion,
} from './spreading-test-support.js';

test('after an outage of the source everybody is current soon, without a herd of calls', async (t) => {
  const cluster = await settled(30);
  cluster.source.faults.set('*', 'refuse');
  await cluster.clock.advanceAsync(12_000, 10);
  const before = cluster.source.calls;
  const version = cluster.source.changeRoutes();
  cluster.source.faults.clear();
  const tookMs = await timeOfVersion(cluster, version);
  t.true(tookMs <= 1_500, `${tookMs} ms`);
  t.true(cluster.source.calls - before <= 2 * 30 * 3, `${cluster.source.calls - before} calls`);
  await cluster.clock.advanceAsync(SETTLE_MS, 10);
  t.is(cluster.readers().length, TARGET_READERS);
});

/** Everybody who asks calls for both topics. */
const CALLS_AN_ASK = 2;

for (const fault of ['refuse', 'silent'] as const) {
  test(`in an outage (${fault}) a large fleet asks no more often than a small one`, async (t) => {
    const OUTAGE_S = 6;
    const calls: number[] = [];
    for (const size of [60, 150]) {
      const cluster = await settled(size);
      const before = cluster.source.calls;
      cluster.source.faults.set('*', fault);
      await cluster.clock.advanceAsync(OUTAGE_S * 1_000, 10);
      calls.push(cluster.source.calls - before);
    }
    const most = CALLS_AN_ASK * (FIRST_READS + OUTAGE_S * (READS_PER_SECOND + TARGET_READERS));
    for (const number of calls) t.true(number <= most, `${calls.join(' and ')} calls`);
  });
}

for (const seed of [1, 2, 3]) {
  test(`a source that refuses two thirds of a large fleet still tells all of it in time, seed ${seed}`, async (t) => {
    const cluster = await settled(60, seed);
    faultReaders(cluster, 'refuse');
    cluster.daemons.forEach(({ id }, index) => {
      if (index % 3 !== 0) cluster.source.faults.set(id, 'refuse');
    });
    const tookMs = await timeOfVersion(cluster, cluster.source.changeRoutes());
    t.true(tookMs <= 2_900, `${tookMs} ms`);
  });
}

test('a large fleet that started during an outage does not follow the source all at once when it returns', async (t) => {
  const SIZE = 88;
  const cluster = new SpreadingCluster(0);
  cluster.source.faults.set('*', 'silent');
  for (let index = 0; index < SIZE; index += 1) cluster.seeds.push(cluster.add().endpoint);
  cluster.seeds.splice(3);
  await cluster.clock.advanceAsync(1_200, 10);
  cluster.source.faults.clear();
  const before = cluster.source.calls;
  const complete = (): boolean => cluster.daemons.every(({ knowledge }) => knowledge.isComplete());
  t.true((await cluster.timeUntil(complete, 3_000)) <= 2_500);
  await cluster.clock.advanceAsync(1_000, 10);
  t.true(cluster.source.calls - before <= SIZE, `${cluster.source.calls - before} calls`);
});

for (const size of [8, 88]) {
  test(`${size} daemons that started before there were any routes have the first ones soon`, async (t) => {
    const cluster = new SpreadingCluster(0);
    cluster.source.withoutRoutes();
    for (let index = 0; index < size; index += 1) cluster.seeds.push(cluster.add().endpoint);
    cluster.seeds.splice(3);
    await cluster.clock.advanceAsync(700, 10);
    const tookMs = await timeOfVersion(cluster, cluster.source.changeRoutes());
    t.true(tookMs <= 1_000, `${tookMs} ms`);
  });
}
