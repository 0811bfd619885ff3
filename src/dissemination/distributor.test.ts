import test from 'ava';
import { sampleTree, SimulatedCluster } from './simulated-cluster.js';

const SETTLE_MS = 5_000;

for (const members of [1, 3, 12]) {
  test(`an edit is in force on all of ${members} members`, async (t) => {
    const cluster = new SimulatedCluster({ members, seed: 1 });
    const first = cluster.edit(sampleTree(10));
    await cluster.run(SETTLE_MS);
    t.is(cluster.countAt(first), members);
    const second = cluster.edit(sampleTree(10, 2));
    await cluster.run(SETTLE_MS);
    t.is(cluster.countAt(second), members);
    for (const member of cluster.members) {
      t.is(member.distributor.current()?.services[0]?.backends.length, 10);
      t.deepEqual(member.versions, [first, second]);
    }
    await cluster.close();
  });
}
