/** What unreadable records of another writer cost a fleet, and whether changes beside them are in force in time. */
import test from 'ava';
import { READS_PER_SECOND } from './constants.js';
import { startSettledCluster } from './spreading-test-support.js';

/** Freshness bound of the simulated daemons, in ms. */
const BOUND_MS = 3_000;
const WRITE_INTERVAL_MS = 100;
const WRITES = 60;
const SECONDS = (WRITES * WRITE_INTERVAL_MS) / 1_000;

for (const size of [30, 300]) {
  // Guards against openings at a back end that drains while another writer keeps storing unreadable records.
  test(`a drain reaches ${size} daemons in time while unreadable records keep coming`, async (t) => {
    const cluster = await startSettledCluster(size);
    const { source, clock, daemons } = cluster;
    const callsBefore = source.calls;
    let drainedAtMs = Number.POSITIVE_INFINITY;
    let reachedAtMs = Number.POSITIVE_INFINITY;
    for (let write = 0; write < WRITES; write += 1) {
      source.writeUnreadableBackend();
      if (write === WRITES / 2) {
        source.changeBackend('a', { draining: true });
        drainedAtMs = clock.now();
      }
      await clock.advanceAsync(WRITE_INTERVAL_MS, 10);
      const isReached = daemons.every(({ knowledge }) => knowledge.backends.get('a')?.record.draining);
      if (isReached) reachedAtMs = Math.min(reachedAtMs, clock.now());
    }
    t.true(reachedAtMs - drainedAtMs <= BOUND_MS, `the change took ${reachedAtMs - drainedAtMs} ms`);
    const calls = source.calls - callsBefore;
    t.true(calls <= SECONDS * READS_PER_SECOND, `${calls} calls in ${SECONDS} s`);
  });
}
