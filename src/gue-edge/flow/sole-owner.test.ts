import test from 'ava';
import { ModelCluster } from '../testing/flow-model/model-cluster.js';

const SETTINGS = { nodes: 2, spreadMs: 0, resetRate: 0, sprayRate: 1, budgetBytesPerSecond: 28_000 } as const;

for (const [seed, lossRate] of [
  [1, 0],
  [2, 0.05],
] as const) {
  test(`the last of two balancers takes every shard of the one that leaves, at ${lossRate} loss`, async (t) => {
    const cluster = new ModelCluster({ ...SETTINGS, seed, lossRate });
    await cluster.runAsync(16_000);
    const flows = Array.from({ length: 60 }, () => cluster.openFlow());
    await cluster.runAsync(4_000);
    const established = flows.filter((flow) => flow.established);
    t.true(established.length > 50, `${established.length} established`);
    cluster.leave(cluster.nodes[0]!);
    await cluster.runAsync(25_000);
    t.deepEqual(
      cluster.liveNodes().map((node) => node.id),
      [cluster.nodes[1]!.id],
    );
    t.is(cluster.nodes[1]!.keeper.statistics().shardsKept, 4_096);
    const before = established.map((flow) => flow.delivered);
    await cluster.runAsync(5_000);
    t.true(established.every((flow, index) => flow.ended || flow.delivered > before[index]!));
    t.deepEqual(cluster.violations, []);
  });
}
