import test from 'ava';
import { EJECTIONS_PER_MESSAGE, EJECTION_GOSSIP_MS } from './constants.js';
import { RecentEjections } from './recent-ejections.js';
import { SpreadingCluster } from './spreading-test-support.js';

test('of each back end the newest word is told, as long as it counts', (t) => {
  const suspicions = new RecentEjections();
  suspicions.record({ backendId: 'a', atMs: 100 });
  suspicions.record({ backendId: 'b', atMs: 300 });
  suspicions.record({ backendId: 'a', atMs: 200 });
  suspicions.record({ backendId: 'a', atMs: 50 });
  t.deepEqual(suspicions.recent(300), [
    { backendId: 'b', atMs: 300 },
    { backendId: 'a', atMs: 200 },
  ]);
  t.deepEqual(suspicions.recent(200 + EJECTION_GOSSIP_MS), [{ backendId: 'b', atMs: 300 }]);
  t.deepEqual(suspicions.recent(300 + EJECTION_GOSSIP_MS), []);
});

test('a message carries the newest ones only', (t) => {
  const suspicions = new RecentEjections();
  for (let index = 0; index < 30; index += 1) suspicions.record({ backendId: `b-${index}`, atMs: index });
  const told = suspicions.recent(30).map(({ backendId }) => backendId);
  t.is(told.length, EJECTIONS_PER_MESSAGE);
  t.is(told[0], 'b-29');
});

for (const seed of [1, 2, 3]) {
  test(`a daemon that starts after an ejection hears of it, and so does everybody else, seed ${seed}`, async (t) => {
    const cluster = new SpreadingCluster(20, seed);
    await cluster.clock.advanceAsync(4_000, 10);
    cluster.daemons[0]!.spreader.gossipEjection({ backendId: 'a', atMs: cluster.clock.now() });
    await cluster.clock.advanceAsync(500, 5);
    const newcomer = cluster.add();
    await cluster.clock.advanceAsync(300, 5);
    t.deepEqual(newcomer.suspicions, ['a']);
    await cluster.clock.advanceAsync(1_000, 5);
    t.is(cluster.daemons.filter(({ suspicions }) => suspicions.length === 1).length, 21);
  });
}
