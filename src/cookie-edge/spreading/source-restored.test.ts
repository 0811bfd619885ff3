/**
 * The source of routes and back ends was away for two seconds and came back from a copy some seconds old. Its revisions
 * went back and were given out again, while the daemons ordered everything by revision: what was new had a lower
 * revision than what was known, and was taken for old until the source had counted past that. The two readers wrote
 *
 *     SQ2000 New route table in force. version=24 revision=21
 *     SQ2006 Source of routes and back ends available again. silentMs=3291
 *     SQ2203 Routes and back ends are confirmed to be current again. ageMs=53
 *     SQ2008 Ignored a route table older than the one in force. version=27 revision=19 inForce=24
 *
 * the last one 591 times, and made about 100 calls a second each, since a watch from revision 21 was refused and a read
 * brought a lower one. A back end that left was noted by the two readers and by nobody else, and got requests 3.4 s
 * later; 3.0 s are allowed.
 */
import test from 'ava';
import { settled, type SpreadingCluster } from './spreading-test-support.js';

/** Time within which a change is to be in force on every daemon. */
const BOUND_MS = 3_000;

/** Version that is in force when the source goes away. */
const VERSION_BEFORE = 24;
const VERSION_AFTER = 27;

/** How long the source is away, and how much later the operator makes the next change. */
const AWAY_MS = 2_000;
const CALM_MS = 4_000;

const SEEDS = [1, 2, 3];

/** Seven daemons that know revision 11; the copy holds revision 6. */
async function knowingMoreThanTheCopy(seed: number) {
  const cluster = await settled(7, seed);
  const { source, clock } = cluster;
  for (const id of ['b', 'c', 'd']) source.changeBackend(id);
  source.changeRoutes({ version: 16 });
  const copy = source.copy();
  for (const version of [18, 19, 20, 22, VERSION_BEFORE]) source.changeRoutes({ version });
  await clock.advanceAsync(CALM_MS, 10);
  return { cluster, source, clock, copy };
}

function allHave(cluster: SpreadingCluster, version: number): () => boolean {
  return () => cluster.daemons.every((daemon) => daemon.version === version);
}

function allKnowThatLeaves(cluster: SpreadingCluster, id: string): () => boolean {
  return () => cluster.daemons.every(({ knowledge }) => knowledge.backends.get(id)?.record.draining);
}

test('after the source came back from an older copy, changes and leaves are known to all in time', async (t) => {
  for (const seed of SEEDS) {
    const { cluster, source, clock, copy } = await knowingMoreThanTheCopy(seed);
    source.faults.set('*', 'refuse');
    await clock.advanceAsync(AWAY_MS, 10);
    source.restore(copy);
    source.changeRoutes({ version: VERSION_BEFORE });
    source.faults.clear();
    await clock.advanceAsync(CALM_MS, 10);
    t.true(allHave(cluster, VERSION_BEFORE)(), `seed ${seed}: what was in force stays`);
    source.changeRoutes({ version: VERSION_AFTER });
    source.changeBackend('a', { draining: true });
    const changeMs = await cluster.timeUntil(allHave(cluster, VERSION_AFTER), BOUND_MS);
    t.true(changeMs <= BOUND_MS, `seed ${seed}: the change took ${changeMs} ms`);
    const leaveMs = await cluster.timeUntil(allKnowThatLeaves(cluster, 'a'), BOUND_MS - changeMs);
    t.true(leaveMs <= BOUND_MS, `seed ${seed}: the leave took ${leaveMs} ms`);
  }
});

test('changes are not missed when the restored source has counted past the known revision meanwhile', async (t) => {
  for (const seed of SEEDS) {
    const { cluster, source, clock, copy } = await knowingMoreThanTheCopy(seed);
    source.faults.set('*', 'silent');
    await clock.advanceAsync(AWAY_MS, 10);
    source.restore(copy);
    source.changeRoutes({ version: VERSION_AFTER });
    source.changeBackend('a', { draining: true });
    for (const id of ['e', 'f', 'g', 'h', 'i', 'j']) source.changeBackend(id);
    source.faults.clear();
    const changeMs = await cluster.timeUntil(allHave(cluster, VERSION_AFTER), BOUND_MS);
    t.true(changeMs <= BOUND_MS, `seed ${seed}: the change took ${changeMs} ms`);
    const leaveMs = await cluster.timeUntil(allKnowThatLeaves(cluster, 'a'), BOUND_MS);
    t.true(leaveMs <= BOUND_MS, `seed ${seed}: the leave took ${leaveMs} ms`);
  }
});

test('a source that came back from an older copy is not called in a loop', async (t) => {
  const WATCHED_MS = 5_000;
  for (const seed of SEEDS) {
    const { cluster, source, clock, copy } = await knowingMoreThanTheCopy(seed);
    source.faults.set('*', 'refuse');
    await clock.advanceAsync(AWAY_MS, 10);
    source.restore(copy);
    source.faults.clear();
    const before = source.calls;
    await clock.advanceAsync(WATCHED_MS, 10);
    const calls = source.calls - before;
    // Each daemon may read and watch both topics once, and two readers watch both at least every 0.3 s.
    const most = cluster.daemons.length * 4 + 2 * 2 * (WATCHED_MS / 300);
    t.true(calls <= most, `seed ${seed}: ${calls} calls, ${Math.round(most)} allowed`);
  }
});
