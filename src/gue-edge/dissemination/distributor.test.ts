/** The spreading of settings under faults, on a simulated network, clock and platform with fixed seeds. */
import test, { type ExecutionContext } from 'ava';
import fc from 'fast-check';
import type { Endpoint } from '../../common/types.js';
import { CANDIDATES_PER_LEASE, READERS_PER_REGION } from './constants.js';
import { buildFromDocument, isIntact, type DistributedTree } from './distributed-tree.js';
import {
  sampleTree,
  SimulatedCluster,
  type ClusterMember,
  type ClusterOptions,
} from '../testing/simulated-settings-cluster.js';
import { settingsTreeCodec } from './tree-codec.js';
import type { TreeHolder } from './tree-holder.js';

const SETTLE_MS = 5_000;
const BACKENDS = 12;

function assertEverywhere(t: ExecutionContext, cluster: SimulatedCluster, version: number): void {
  t.is(cluster.countAt(version), cluster.members.length);
}

function assertNeverReverts(t: ExecutionContext, cluster: SimulatedCluster): void {
  for (const { id, versions } of cluster.members) {
    const sorted = [...versions].sort((left, right) => left - right);
    t.deepEqual(versions, sorted, `${id} went back`);
    t.is(new Set(versions).size, versions.length, `${id} applied a version twice`);
  }
}

function total(cluster: SimulatedCluster, counter: 'staleReads' | 'rejectedInvalid' | 'bytesOut'): number {
  return cluster.members.reduce((sum, { distributor }) => sum + distributor.status().counters[counter], 0);
}

function readersOf(cluster: SimulatedCluster): ClusterMember[] {
  return cluster.members.filter(({ distributor }) => distributor.status().readerLease !== undefined);
}

/** The tree holder inside a member, to put faults into it. */
function holderOf(member: ClusterMember | undefined): TreeHolder {
  return (member?.distributor as unknown as { readonly holder: TreeHolder }).holder;
}

const NETWORKS: readonly (ClusterOptions & { readonly name: string })[] = [
  { name: 'one member', members: 1, seed: 1 },
  { name: 'three members', members: 3, seed: 1 },
  { name: 'one zone', members: 5, seed: 2, zones: 1 },
  { name: 'loss of 30%', members: 20, seed: 3, lossRate: 0.3 },
  { name: 'reordering over 400 ms', members: 20, seed: 4, delayMs: [1, 400] },
  { name: 'duplicates', members: 20, seed: 5, duplicateRate: 0.5 },
  {
    name: 'loss, duplicates and reordering',
    members: 30,
    seed: 6,
    lossRate: 0.2,
    duplicateRate: 0.2,
    delayMs: [1, 200],
  },
];

for (const options of NETWORKS) {
  test(`every edit comes into force everywhere: ${options.name}`, async (t) => {
    const cluster = new SimulatedCluster(options);
    for (let weight = 1; weight <= 6; weight += 1) {
      cluster.edit(sampleTree(BACKENDS, weight));
      await cluster.run(300);
    }
    const last = cluster.edit(sampleTree(BACKENDS + 1, 9));
    await cluster.run(SETTLE_MS);
    assertEverywhere(t, cluster, last);
    assertNeverReverts(t, cluster);
    for (const { distributor } of cluster.members) {
      const [service] = distributor.current()?.services ?? [];
      t.is(service?.backends.length, BACKENDS + 1);
      t.is(service?.backends.find(({ name }) => name.endsWith('backend-00000'))?.weight, 9);
    }
    await cluster.close();
  });
}

test('a newcomer loads the tree from peers while the store is down, and edits go on when it is back', async (t) => {
  const cluster = new SimulatedCluster({ members: 6, seed: 11 });
  const first = cluster.edit(sampleTree(400));
  await cluster.run(SETTLE_MS);
  cluster.platform.setDown(true);
  await cluster.run(60_000);
  const newcomer = cluster.addMember();
  await cluster.run(SETTLE_MS);
  t.is(newcomer.distributor.current()?.version, first);
  t.is(newcomer.distributor.current()?.services[0]?.backends.length, 400);
  t.is(newcomer.distributor.status().counters.appliedFromPull, 1);
  cluster.platform.setDown(false);
  const second = cluster.edit(sampleTree(400, 2));
  await cluster.run(2 * SETTLE_MS);
  assertEverywhere(t, cluster, second);
  assertNeverReverts(t, cluster);
  await cluster.close();
});

test('lost answers to lease requests do not stop the reading', async (t) => {
  const cluster = new SimulatedCluster({ members: 4, seed: 12 });
  cluster.platform.lostAnswers = 6;
  const version = cluster.edit(sampleTree(BACKENDS));
  await cluster.run(30_000);
  t.is(cluster.platform.lostAnswers, 0);
  assertEverywhere(t, cluster, version);
  await cluster.close();
});

test('a reader paused past its lease discards what it read before and reverts nothing', async (t) => {
  const cluster = new SimulatedCluster({ members: 6, seed: 13 });
  cluster.edit(sampleTree(BACKENDS, 1));
  await cluster.run(SETTLE_MS);
  const [reader] = readersOf(cluster);
  t.truthy(reader);
  cluster.setPaused(reader?.id ?? '', true);
  cluster.edit(sampleTree(BACKENDS, 2));
  await cluster.run(30_000);
  const last = cluster.edit(sampleTree(BACKENDS, 3));
  await cluster.run(SETTLE_MS);
  t.is(cluster.countAt(last), 5);
  // The store's answer is read first, before the timers and datagrams of the paused time.
  cluster.platform.holdReads(reader?.id ?? '', false);
  await cluster.run(20);
  t.is(reader?.distributor.status().counters.staleReads, 1);
  t.is(reader?.distributor.status().readerLease, undefined);
  cluster.setPaused(reader?.id ?? '', false);
  await cluster.run(SETTLE_MS);
  assertEverywhere(t, cluster, last);
  assertNeverReverts(t, cluster);
  await cluster.close();
});

test('a reader that crashes is replaced, and the other one covers the time until then', async (t) => {
  const cluster = new SimulatedCluster({ members: 9, seed: 14 });
  cluster.edit(sampleTree(BACKENDS, 1));
  await cluster.run(SETTLE_MS);
  const [reader] = readersOf(cluster);
  cluster.setPaused(reader?.id ?? '', true);
  const second = cluster.edit(sampleTree(BACKENDS, 2));
  await cluster.run(2_000);
  t.is(cluster.countAt(second), 8, 'the other reader covers');
  await cluster.run(30_000);
  t.is(readersOf(cluster).filter(({ id }) => id !== reader?.id).length, 2);
  await cluster.close();
});

test('a faulty tree is rejected once by each reader and the last good one stays in force', async (t) => {
  const cluster = new SimulatedCluster({ members: 6, seed: 15 });
  const good = cluster.edit(sampleTree(BACKENDS, 1));
  await cluster.run(SETTLE_MS);
  const others = sampleTree(BACKENDS).nodes.slice(1);
  cluster.edit({ nodes: [{ path: '', kind: 'defaults', fields: { weight: -5 } }, ...others], edits: [] });
  await cluster.run(SETTLE_MS);
  assertEverywhere(t, cluster, good);
  t.is(total(cluster, 'rejectedInvalid'), 2);
  const mended = cluster.edit(sampleTree(BACKENDS, 2));
  await cluster.run(SETTLE_MS);
  assertEverywhere(t, cluster, mended);
  await cluster.close();
});

test('two readers with different versions: the one that lags reverts nothing', async (t) => {
  const cluster = new SimulatedCluster({ members: 8, seed: 17 });
  cluster.edit(sampleTree(BACKENDS, 1));
  await cluster.run(SETTLE_MS);
  const [lagging] = readersOf(cluster);
  cluster.platform.holdReads(lagging?.id ?? '', true);
  cluster.edit(sampleTree(BACKENDS, 2));
  const last = cluster.edit(sampleTree(BACKENDS, 3));
  await cluster.run(SETTLE_MS);
  assertEverywhere(t, cluster, last);
  cluster.platform.holdReads(lagging?.id ?? '', false);
  await cluster.run(SETTLE_MS);
  t.is(lagging?.distributor.status().counters.ignoredOlder, 1);
  t.truthy(lagging?.distributor.status().readerLease);
  assertEverywhere(t, cluster, last);
  assertNeverReverts(t, cluster);
  await cluster.close();
});

test('trees of one version that differ: all go over to the one read under the newer lease', async (t) => {
  const cluster = new SimulatedCluster({ members: 10, seed: 18 });
  const version = cluster.edit(sampleTree(BACKENDS, 1));
  await cluster.run(SETTLE_MS);
  const member = cluster.members[4];
  const source = { version, readerToken: 1_000, acceptedAtWallMs: 0 };
  const built = buildFromDocument(settingsTreeCodec, sampleTree(BACKENDS, 7), source, undefined);
  if (built.isErr) throw built.error;
  t.true(holderOf(member).install(built.value, 'pull'));
  await cluster.run(SETTLE_MS);
  t.is(new Set(cluster.members.map(({ distributor }) => distributor.status().digest)).size, 1);
  t.is(member?.distributor.status().digest, built.value.tree.stamp.digest);
  t.true(cluster.members.some(({ distributor }) => distributor.status().counters.divergences > 0));
  await cluster.close();
});

test('a tree that was corrupted in memory is found by its digest and fetched again', async (t) => {
  const cluster = new SimulatedCluster({ members: 4, seed: 19 });
  cluster.edit(sampleTree(BACKENDS, 1));
  await cluster.run(SETTLE_MS);
  const member = cluster.members[2];
  const entry = [...(holderOf(member).current()?.entries.values() ?? [])][5];
  entry?.bytes.set([(entry.bytes[3] ?? 0) ^ 1], 3);
  t.false(isIntact(holderOf(member).current() as DistributedTree));
  await cluster.run(SETTLE_MS);
  t.true(isIntact(holderOf(member).current() as DistributedTree));
  t.is(member?.distributor.status().counters.corruptions, 1);
  await cluster.close();
});

test('the number of store readers does not depend on the number of members', async (t) => {
  for (const members of [3, 10, 50, 200]) {
    const cluster = new SimulatedCluster({ members, seed: 20 });
    cluster.edit(sampleTree(BACKENDS));
    await cluster.run(20_000);
    const { watchersMax, byKind, byCaller } = cluster.platform.counters();
    t.is(watchersMax, READERS_PER_REGION);
    t.true(Object.keys(byCaller).length <= READERS_PER_REGION * CANDIDATES_PER_LEASE);
    t.true((byKind['lease'] ?? 0) <= 40, `${byKind['lease']} lease requests in 20 s`);
    await cluster.close();
  }
});

test('an edit reaches 3 to 400 members in a few rounds, at the same cost for each member', async (t) => {
  const roundMs = 10;
  for (const members of [3, 12, 50, 200, 400]) {
    const cluster = new SimulatedCluster({ members, seed: 21, delayMs: [roundMs, roundMs] });
    cluster.edit(sampleTree(BACKENDS));
    await cluster.run(8_000);
    const bytesBefore = total(cluster, 'bytesOut');
    const version = cluster.edit(sampleTree(BACKENDS, 2));
    let rounds = 0;
    for (; rounds < 400 && cluster.countAt(version) < 0.9 * members; rounds += 1) await cluster.run(roundMs);
    t.true(rounds <= 4 + Math.log2(members), `${rounds} rounds to nine in ten of ${members} members`);
    await cluster.run(2_000);
    assertEverywhere(t, cluster, version);
    const bytes = (total(cluster, 'bytesOut') - bytesBefore) / members;
    t.true(bytes <= 1_500, `${bytes} bytes a member`);
    await cluster.close();
  }
});

test('messages of any bytes are dropped and counted', (t) => {
  const cluster = new SimulatedCluster({ members: 1, seed: 22 });
  const [member] = cluster.members;
  const sender = cluster.network.channel({ host: '10.9.9.9', port: 1 }, 'stranger', 1);
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), (payload) => {
      sender.send(member?.channel.endpoint as Endpoint, 'dissemination', payload);
      cluster.clock.advance(1_000);
    }),
    { seed: 23, numRuns: 500 },
  );
  t.true((member?.distributor.status().counters.badMessages ?? 0) > 0);
  t.is(member?.distributor.current(), undefined);
});

test('a partition heals to the newest version on both sides', async (t) => {
  const cluster = new SimulatedCluster({ members: 12, seed: 16 });
  cluster.edit(sampleTree(BACKENDS, 1));
  await cluster.run(SETTLE_MS);
  const ids = cluster.members.map(({ id }) => id);
  cluster.network.partition(ids.slice(0, 6), ids.slice(6));
  cluster.edit(sampleTree(BACKENDS, 2));
  const last = cluster.edit(sampleTree(BACKENDS, 3));
  await cluster.run(20_000);
  cluster.network.heal();
  await cluster.run(SETTLE_MS);
  assertEverywhere(t, cluster, last);
  assertNeverReverts(t, cluster);
  await cluster.close();
});

test('random interleavings of edits, joins, pauses, outages and cuts never revert and always settle', async (t) => {
  for (let seed = 100; seed < 112; seed += 1) {
    const cluster = new SimulatedCluster({ members: 5, seed, lossRate: 0.1, delayMs: [1, 150] });
    let last = 0;
    for (let step = 0; step < 25; step += 1) {
      const dice = cluster.random();
      const member = cluster.members[Math.floor(cluster.random() * cluster.members.length)];
      if (dice < 0.4) last = cluster.edit(sampleTree(BACKENDS + step, 1 + step));
      else if (dice < 0.5) cluster.platform.setDown(!cluster.platform.isDown());
      else if (dice < 0.6) cluster.addMember();
      else if (dice < 0.75) cluster.setPaused(member?.id ?? '', true);
      else if (dice < 0.9) cluster.setPaused(member?.id ?? '', false);
      else
        cluster.network.partition(
          [member?.id ?? ''],
          cluster.members.slice(0, 3).map(({ id }) => id),
        );
      await cluster.run(cluster.random() * 6_000);
      assertNeverReverts(t, cluster);
    }
    last = last || cluster.edit(sampleTree(BACKENDS));
    cluster.platform.setDown(false);
    cluster.network.heal();
    for (const { id } of cluster.members) cluster.setPaused(id, false);
    await cluster.run(20_000);
    t.is(cluster.countAt(last), cluster.members.length, `seed ${seed} has not settled`);
    assertNeverReverts(t, cluster);
    await cluster.close();
  }
});
