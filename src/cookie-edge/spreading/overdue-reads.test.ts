/** How soon a change is in force at daemons that reach the source, but learn nothing of it from their peers. */
import test from 'ava';
import { formatEndpoint } from '../../common/types.js';
import { tableAt } from '../routing/routing-test-support.js';
import { startSettledCluster, timeUntilVersion } from './spreading-test-support.js';

/** Freshness bound of the simulated daemons, in ms. */
const BOUND_MS = 3_000;
const FLEET_SIZE = 74;
/** Longest wait in ms for a moment at which all daemons were just confirmed. */
const CONFIRMATION_WAIT_MS = 5_000;
/** Duration of an outage in which every daemon's confirmation becomes overdue, in ms. */
const OUTAGE_MS = 6_000;
/** Age of a confirmation that was just received, in ms. */
const JUST_CONFIRMED_MS = 300;

/** Routes that do not fit a datagram. */
const MANY_ROUTES = Array.from({ length: 200 }, (_unused, index) => ({
  ...tableAt(1).routes[0]!,
  name: `route-${index}`,
  port: 1_000 + index,
}));

for (const seed of [5, 6, 8, 11]) {
  for (const size of [4, 8, 16]) {
    test(`a large change reaches ${size} daemons that are left of a fleet within the bound, seed ${seed}`, async (t) => {
      const cluster = await startSettledCluster(FLEET_SIZE, seed);
      const readers = cluster.readers();
      const left = cluster.daemons.filter((daemon) => !readers.includes(daemon)).slice(-size);
      await cluster.timeUntil(() => cluster.maxAge(left) < JUST_CONFIRMED_MS, CONFIRMATION_WAIT_MS);
      for (const daemon of [...cluster.daemons]) if (!left.includes(daemon)) cluster.killDaemon(daemon);
      const tookMs = await timeUntilVersion(cluster, cluster.source.changeRoutes({ routes: MANY_ROUTES }));
      t.true(tookMs <= BOUND_MS, `the change took ${tookMs} ms`);
    });
  }
}

test('a daemon whose fetches of a large change fail reads it from the source within the bound', async (t) => {
  const cluster = await startSettledCluster(FLEET_SIZE);
  const readers = cluster.readers();
  const failing = cluster.daemons.filter((daemon) => !readers.includes(daemon)).slice(-10);
  for (const { endpoint } of failing) cluster.network.daemonsWithoutFetch.add(formatEndpoint(endpoint));
  const tookMs = await timeUntilVersion(cluster, cluster.source.changeRoutes({ routes: MANY_ROUTES }));
  t.true(tookMs <= BOUND_MS, `the change took ${tookMs} ms`);
});

for (const seed of [1, 2, 3, 4]) {
  test(`a change after an outage reaches the few daemons that are left within the bound, seed ${seed}`, async (t) => {
    const cluster = await startSettledCluster(FLEET_SIZE, seed);
    const left = cluster.daemons.slice(-4);
    cluster.source.faults.set('*', 'silent');
    await cluster.clock.advanceAsync(OUTAGE_MS, 10);
    for (const daemon of [...cluster.daemons]) if (!left.includes(daemon)) cluster.killDaemon(daemon);
    cluster.source.faults.clear();
    const tookMs = await timeUntilVersion(cluster, cluster.source.changeRoutes());
    t.true(tookMs <= BOUND_MS, `the change took ${tookMs} ms`);
  });
}
