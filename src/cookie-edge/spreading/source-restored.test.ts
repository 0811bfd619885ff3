/**
 * Guards against daemons that ignore the changes of a source that was restored from an older snapshot. The revisions of
 * such a source go back and are assigned again. A daemon that orders everything by revision alone ignores new changes
 * until their revisions exceed the known one. The observed failure:
 *
 * - After an outage of two seconds the two readers ignored the current route table 591 times, as older than the one in
 *   force (SQ2008: version 27 with revision 19, while version 24 with revision 21 was in force).
 * - Each of them made about 100 calls a second: a watch from revision 21 was refused, and a read returned a lower
 *   revision.
 * - Only they noted that a back end was leaving. It still received requests 3.4 s later; the bound is 3.0 s.
 */
import test from 'ava';
import { startSettledCluster, type SpreadingCluster } from './spreading-test-support.js';

/** Time in ms within which a change must be in force on every daemon. */
const BOUND_MS = 3_000;

/** Versions in force before the outage of the source, and after the next change. */
const VERSION_BEFORE = 24;
const VERSION_AFTER = 27;

/** Duration of the outage in ms, and time in ms between it and the next change. */
const OUTAGE_MS = 2_000;
const PAUSE_MS = 4_000;

const SEEDS = [1, 2, 3];

/** Starts seven daemons that know revision 11, and returns a snapshot of the source at revision 6. */
async function clusterAheadOfSnapshot(seed: number) {
  const cluster = await startSettledCluster(7, seed);
  const { source, clock } = cluster;
  for (const id of ['b', 'c', 'd']) source.changeBackend(id);
  source.changeRoutes({ version: 16 });
  const snapshot = source.takeSnapshot();
  for (const version of [18, 19, 20, 22, VERSION_BEFORE]) source.changeRoutes({ version });
  await clock.advanceAsync(PAUSE_MS, 10);
  return { cluster, source, clock, snapshot };
}

function allHaveVersion(cluster: SpreadingCluster, version: number): () => boolean {
  return () => cluster.daemons.every((daemon) => daemon.version === version);
}

function allKnowDraining(cluster: SpreadingCluster, id: string): () => boolean {
  return () => cluster.daemons.every(({ knowledge }) => knowledge.backends.get(id)?.record.draining);
}

test('after a restore from an older snapshot, changes and drains reach all daemons in time', async (t) => {
  for (const seed of SEEDS) {
    const { cluster, source, clock, snapshot } = await clusterAheadOfSnapshot(seed);
    source.faults.set('*', 'refuse');
    await clock.advanceAsync(OUTAGE_MS, 10);
    source.restore(snapshot);
    source.changeRoutes({ version: VERSION_BEFORE });
    source.faults.clear();
    await clock.advanceAsync(PAUSE_MS, 10);
    t.true(allHaveVersion(cluster, VERSION_BEFORE)(), `seed ${seed}: the table in force stays`);
    source.changeRoutes({ version: VERSION_AFTER });
    source.changeBackend('a', { draining: true });
    const changeMs = await cluster.timeUntil(allHaveVersion(cluster, VERSION_AFTER), BOUND_MS);
    t.true(changeMs <= BOUND_MS, `seed ${seed}: the change took ${changeMs} ms`);
    const drainMs = await cluster.timeUntil(allKnowDraining(cluster, 'a'), BOUND_MS - changeMs);
    t.true(drainMs <= BOUND_MS, `seed ${seed}: the drain took ${drainMs} ms`);
  }
});

test('changes are not missed when the restored source has passed the known revision', async (t) => {
  for (const seed of SEEDS) {
    const { cluster, source, clock, snapshot } = await clusterAheadOfSnapshot(seed);
    source.faults.set('*', 'silent');
    await clock.advanceAsync(OUTAGE_MS, 10);
    source.restore(snapshot);
    source.changeRoutes({ version: VERSION_AFTER });
    source.changeBackend('a', { draining: true });
    for (const id of ['e', 'f', 'g', 'h', 'i', 'j']) source.changeBackend(id);
    source.faults.clear();
    const changeMs = await cluster.timeUntil(allHaveVersion(cluster, VERSION_AFTER), BOUND_MS);
    t.true(changeMs <= BOUND_MS, `seed ${seed}: the change took ${changeMs} ms`);
    const drainMs = await cluster.timeUntil(allKnowDraining(cluster, 'a'), BOUND_MS);
    t.true(drainMs <= BOUND_MS, `seed ${seed}: the drain took ${drainMs} ms`);
  }
});

test('a source restored from an older snapshot is not called in a loop', async (t) => {
  const WATCHED_MS = 5_000;
  for (const seed of SEEDS) {
    const { cluster, source, clock, snapshot } = await clusterAheadOfSnapshot(seed);
    source.faults.set('*', 'refuse');
    await clock.advanceAsync(OUTAGE_MS, 10);
    source.restore(snapshot);
    source.faults.clear();
    const callsBefore = source.calls;
    await clock.advanceAsync(WATCHED_MS, 10);
    const calls = source.calls - callsBefore;
    // Each daemon may read and watch both topics once, and two readers watch both at least every 0.3 s.
    const maxCalls = cluster.daemons.length * 4 + 2 * 2 * (WATCHED_MS / 300);
    t.true(calls <= maxCalls, `seed ${seed}: ${calls} calls, ${Math.round(maxCalls)} allowed`);
  }
});
