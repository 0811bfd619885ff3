import test from 'ava';
import { EJECTIONS_PER_MESSAGE, EJECTION_GOSSIP_MS } from './constants.js';
import { RecentEjections } from './recent-ejections.js';
import { SpreadingCluster } from './spreading-test-support.js';

test('the newest report of each back end is gossiped until it expires', (t) => {
  const ejections = new RecentEjections();
  ejections.record({ backendId: 'a', atMs: 100 });
  ejections.record({ backendId: 'b', atMs: 300 });
  ejections.record({ backendId: 'a', atMs: 200 });
  ejections.record({ backendId: 'a', atMs: 50 });
  t.deepEqual(ejections.recent(300), [
    { backendId: 'b', atMs: 300 },
    { backendId: 'a', atMs: 200 },
  ]);
  t.deepEqual(ejections.recent(200 + EJECTION_GOSSIP_MS), [{ backendId: 'b', atMs: 300 }]);
  t.deepEqual(ejections.recent(300 + EJECTION_GOSSIP_MS), []);
});

test('a message carries only the newest reports', (t) => {
  const ejections = new RecentEjections();
  for (let index = 0; index < 30; index += 1) ejections.record({ backendId: `b-${index}`, atMs: index });
  const reported = ejections.recent(30).map(({ backendId }) => backendId);
  t.is(reported.length, EJECTIONS_PER_MESSAGE);
  t.is(reported[0], 'b-29');
});

for (const seed of [1, 2, 3]) {
  test(`a daemon that starts after an ejection receives the report, and so do all others, seed ${seed}`, async (t) => {
    const cluster = new SpreadingCluster(20, seed);
    await cluster.clock.advanceAsync(4_000, 10);
    cluster.daemons[0]!.gossipNode.gossipEjection({ backendId: 'a', atMs: cluster.clock.now() });
    await cluster.clock.advanceAsync(500, 5);
    const newDaemon = cluster.startDaemon();
    await cluster.clock.advanceAsync(300, 5);
    t.deepEqual(newDaemon.ejectionsReceived, ['a']);
    await cluster.clock.advanceAsync(1_000, 5);
    t.is(cluster.daemons.filter(({ ejectionsReceived }) => ejectionsReceived.length === 1).length, 21);
  });
}
