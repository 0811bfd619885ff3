/** How fast daemons become current, and how often they call the source, during and after an outage of the source. */
import test from 'ava';
import { READS_PER_SECOND, FIRST_READS, TARGET_READERS } from './constants.js';
import {
  injectReaderFault,
  startSettledCluster,
  SETTLE_MS,
  SpreadingCluster,
  timeUntilVersion,
} from './spreading-test-support.js';

test('after an outage of the source all daemons are soon current, without a thundering herd of calls', async (t) => {
  const cluster = await startSettledCluster(30);
  cluster.source.faults.set('*', 'refuse');
  await cluster.clock.advanceAsync(12_000, 10);
  const callsBefore = cluster.source.calls;
  const version = cluster.source.changeRoutes();
  cluster.source.faults.clear();
  const tookMs = await timeUntilVersion(cluster, version);
  t.true(tookMs <= 1_500, `${tookMs} ms`);
  t.true(cluster.source.calls - callsBefore <= 2 * 30 * 3, `${cluster.source.calls - callsBefore} calls`);
  await cluster.clock.advanceAsync(SETTLE_MS, 10);
  t.is(cluster.readers().length, TARGET_READERS);
});

/** Each read calls the source for both topics. */
const CALLS_PER_READ = 2;

for (const fault of ['refuse', 'silent'] as const) {
  test(`calls to the source in an outage (${fault}) do not grow with the fleet`, async (t) => {
    const OUTAGE_S = 6;
    const calls: number[] = [];
    for (const size of [60, 150]) {
      const cluster = await startSettledCluster(size);
      const callsBefore = cluster.source.calls;
      cluster.source.faults.set('*', fault);
      await cluster.clock.advanceAsync(OUTAGE_S * 1_000, 10);
      calls.push(cluster.source.calls - callsBefore);
    }
    const maxCalls = CALLS_PER_READ * (FIRST_READS + OUTAGE_S * (READS_PER_SECOND + TARGET_READERS));
    for (const number of calls) t.true(number <= maxCalls, `${calls.join(' and ')} calls`);
  });
}

for (const seed of [1, 2, 3]) {
  test(`a change reaches a large fleet in time while the source refuses two thirds of it, seed ${seed}`, async (t) => {
    const cluster = await startSettledCluster(60, seed);
    injectReaderFault(cluster, 'refuse');
    cluster.daemons.forEach(({ id }, index) => {
      if (index % 3 !== 0) cluster.source.faults.set(id, 'refuse');
    });
    const tookMs = await timeUntilVersion(cluster, cluster.source.changeRoutes());
    t.true(tookMs <= 2_900, `${tookMs} ms`);
  });
}

test('a large fleet that started during an outage does not follow the source all at once after it', async (t) => {
  const SIZE = 88;
  const cluster = new SpreadingCluster(0);
  cluster.source.faults.set('*', 'silent');
  for (let index = 0; index < SIZE; index += 1) cluster.seeds.push(cluster.startDaemon().endpoint);
  cluster.seeds.splice(3);
  await cluster.clock.advanceAsync(1_200, 10);
  cluster.source.faults.clear();
  const callsBefore = cluster.source.calls;
  const areAllComplete = (): boolean => cluster.daemons.every(({ knowledge }) => knowledge.isComplete());
  t.true((await cluster.timeUntil(areAllComplete, 3_000)) <= 2_500);
  await cluster.clock.advanceAsync(1_000, 10);
  t.true(cluster.source.calls - callsBefore <= SIZE, `${cluster.source.calls - callsBefore} calls`);
});

for (const size of [8, 88]) {
  test(`${size} daemons that started before any routes existed soon have the first ones`, async (t) => {
    const cluster = new SpreadingCluster(0);
    cluster.source.removeRoutes();
    for (let index = 0; index < size; index += 1) cluster.seeds.push(cluster.startDaemon().endpoint);
    cluster.seeds.splice(3);
    await cluster.clock.advanceAsync(700, 10);
    const tookMs = await timeUntilVersion(cluster, cluster.source.changeRoutes());
    t.true(tookMs <= 1_000, `${tookMs} ms`);
  });
}
