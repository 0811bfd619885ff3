/** How daemons that start learn from their peers whether the list of back ends is to be believed. */
import test from 'ava';
import { settled, SpreadingCluster } from './spreading-test-support.js';

const SIZE = 12;

test('a daemon that starts among settled ones believes its list at once', async (t) => {
  const cluster = await settled(SIZE);
  t.true(cluster.daemons.every(({ settlement }) => settlement.state === 'settled'));
  const started = cluster.add();
  const tookMs = await cluster.timeUntil(() => started.settlement.state === 'settled', 5_000);
  t.true(tookMs < 500, `${tookMs} ms`);
});

test('daemons that all start together do not settle each other before the time', async (t) => {
  const cluster = new SpreadingCluster(SIZE);
  const isAnySettled = (): boolean =>
    cluster.daemons.some(({ settlement }) => settlement.state === 'settled');
  const tookMs = await cluster.timeUntil(isAnySettled, 5_000);
  t.true(tookMs >= 2_500, `${tookMs} ms`);
});

test('one settled daemon settles those that start beside it; without gossip they settle by time', async (t) => {
  const cluster = await settled(SIZE);
  for (const daemon of cluster.daemons.slice(1)) cluster.kill(daemon);
  const started = Array.from({ length: SIZE }, () => cluster.add());
  const areSettled = (): boolean => started.every(({ settlement }) => settlement.state === 'settled');
  t.true((await cluster.timeUntil(areSettled, 5_000)) < 2_500);
  const alone = new SpreadingCluster(1);
  await alone.timeUntil(() => alone.daemons[0]?.settlement.state === 'settled', 5_000);
  t.is(alone.daemons[0]?.settlement.state, 'settled');
});

test('a daemon whose peers believe their lists believes its own, though the source refuses it alone', async (t) => {
  const cluster = await settled(SIZE);
  const [refused] = cluster.daemons;
  cluster.source.faults.set(refused!.id, 'refuse');
  await cluster.clock.advanceAsync(6_000, 10);
  t.is(refused?.settlement.state, 'settled');
});
