/** How starting daemons find out from their peers whether their list of back ends is complete. */
import test from 'ava';
import { startSettledCluster, SpreadingCluster } from './spreading-test-support.js';

const SIZE = 12;

test('a daemon that starts among settled daemons is soon settled', async (t) => {
  const cluster = await startSettledCluster(SIZE);
  t.true(cluster.daemons.every(({ settlement }) => settlement.state === 'settled'));
  const newDaemon = cluster.startDaemon();
  const tookMs = await cluster.timeUntil(() => newDaemon.settlement.state === 'settled', 5_000);
  t.true(tookMs < 500, `${tookMs} ms`);
});

test('daemons that all start together do not cause each other to settle too early', async (t) => {
  const cluster = new SpreadingCluster(SIZE);
  const isAnySettled = (): boolean =>
    cluster.daemons.some(({ settlement }) => settlement.state === 'settled');
  const tookMs = await cluster.timeUntil(isAnySettled, 5_000);
  t.true(tookMs >= 2_500, `${tookMs} ms`);
});

test('one settled peer is enough for starting daemons to settle; without peers a daemon settles after a while', async (t) => {
  const cluster = await startSettledCluster(SIZE);
  for (const daemon of cluster.daemons.slice(1)) cluster.killDaemon(daemon);
  const newDaemons = Array.from({ length: SIZE }, () => cluster.startDaemon());
  const areSettled = (): boolean => newDaemons.every(({ settlement }) => settlement.state === 'settled');
  t.true((await cluster.timeUntil(areSettled, 5_000)) < 2_500);
  const singleDaemonCluster = new SpreadingCluster(1);
  await singleDaemonCluster.timeUntil(
    () => singleDaemonCluster.daemons[0]?.settlement.state === 'settled',
    5_000,
  );
  t.is(singleDaemonCluster.daemons[0]?.settlement.state, 'settled');
});

test('a daemon stays settled among settled peers although the source refuses it', async (t) => {
  const cluster = await startSettledCluster(SIZE);
  const [refused] = cluster.daemons;
  cluster.source.faults.set(refused!.id, 'refuse');
  await cluster.clock.advanceAsync(6_000, 10);
  t.is(refused?.settlement.state, 'settled');
});
