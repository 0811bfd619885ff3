import test from 'ava';
import { formatEndpoint } from '../../common/types.js';
import type { Route } from '../routing/index.js';
import { updateAt } from '../routing/routing-test-support.js';
import { FANOUT_OTHER_ZONES, FANOUT_SAME_ZONE, TARGET_READERS } from './constants.js';
import {
  injectReaderFault,
  startSettledCluster,
  SpreadingCluster,
  timeUntilVersion,
  TIMINGS,
  type SimulatedDaemon,
  type SourceFault,
} from './spreading-test-support.js';

/**
 * Maximum age in ms of the data of a daemon. Before data is older, the daemon reads the source, so that a change is in
 * force within 3 s.
 */
const AGE_BOUND_MS = TIMINGS.readAfterMs + TIMINGS.readSpreadMs + 300;

/**
 * Bounds in ms within which the share `MOST` of the daemons, and all of them, must have a change. The pushes miss very
 * few daemons; these pull the change after the next confirmation.
 */
const MOST_WITHIN_MS = 400;
const ALL_WITHIN_MS = 1_800;
const MOST = 0.95;

for (const size of [1, 2, 7, 30, 60, 150]) {
  test(`${size} daemons: two of them read the source in the steady state`, async (t) => {
    for (const seed of [1, 2, 3]) {
      const cluster = await startSettledCluster(size, seed);
      t.is(cluster.readers().length, Math.min(size, TARGET_READERS), `seed ${seed}`);
    }
  });
}

for (const size of [1, 2, 7, 30, 60]) {
  test(`${size} daemons: a change is soon in force everywhere`, async (t) => {
    const cluster = await startSettledCluster(size);
    for (let round = 0; round < 4; round += 1) {
      const version = cluster.source.changeRoutes();
      const shareWithNewVersion = (): number =>
        cluster.daemons.filter((daemon) => daemon.version === version).length / size;
      const mostMs = await cluster.timeUntil(() => shareWithNewVersion() >= MOST, 5_000);
      t.true(mostMs <= MOST_WITHIN_MS, `most after ${mostMs} ms`);
      const restMs = await timeUntilVersion(cluster, version);
      t.true(mostMs + restMs <= ALL_WITHIN_MS, `all after ${mostMs + restMs} ms`);
      const backendRevision = cluster.source.changeBackend('b');
      const isKnownEverywhere = (): boolean =>
        cluster.daemons.every(
          ({ knowledge }) => knowledge.backends.get('b')?.record.revision === backendRevision,
        );
      t.true((await cluster.timeUntil(isKnownEverywhere, 5_000)) <= ALL_WITHIN_MS);
    }
  });
}

test('calls to the source do not grow with the fleet', async (t) => {
  const rates: number[] = [];
  for (const size of [7, 30, 60]) {
    const cluster = await startSettledCluster(size);
    const callsBefore = cluster.source.calls;
    await cluster.clock.advanceAsync(10_000, 10);
    rates.push((cluster.source.calls - callsBefore) / 10);
  }
  for (const rate of rates) t.true(rate <= 4, `${rates.join(', ')} calls a second`);
});

test('bytes per daemon do not grow with the fleet', async (t) => {
  const rates: number[] = [];
  for (const size of [7, 60]) {
    const cluster = await startSettledCluster(size);
    const bytesBefore = cluster.network.bytesSent;
    await cluster.clock.advanceAsync(10_000, 10);
    rates.push((cluster.network.bytesSent - bytesBefore) / 10 / size);
  }
  t.true(rates[1]! <= 1.5 * rates[0]!, rates.join(', '));
  t.true(rates[1]! <= 4_000, rates.join(', '));
});

/** Faults that occur just before a change. */
const FAULTS: readonly (readonly [string, (cluster: SpreadingCluster) => void])[] = [
  ['both readers are killed', (cluster) => cluster.readers().forEach((reader) => cluster.killDaemon(reader))],
  ['the source refuses the readers', (cluster) => injectReaderFault(cluster, 'refuse')],
  ['the source throttles the readers', (cluster) => injectReaderFault(cluster, 'throttle')],
  ['the source falls silent for the readers', (cluster) => injectReaderFault(cluster, 'silent')],
  ['the source falls silent for all but one', silenceSourceForAllButOne],
  ['the source discards its history', (cluster) => cluster.source.discardHistory()],
  ['a third of the datagrams is lost', (cluster) => (cluster.network.lossRate = 1 / 3)],
  ['the readers are cut off from other daemons', isolateReaders],
  ['all daemons are cut off from each other', isolateAll],
];

function silenceSourceForAllButOne(cluster: SpreadingCluster): void {
  for (const { id } of cluster.daemons.slice(1)) cluster.source.faults.set(id, 'silent');
}

function isolateReaders(cluster: SpreadingCluster): void {
  for (const { endpoint } of cluster.readers())
    cluster.network.isolatedDaemons.add(`${endpoint.host}:${endpoint.port}`);
}

function isolateAll(cluster: SpreadingCluster): void {
  for (const { endpoint } of cluster.daemons)
    cluster.network.isolatedDaemons.add(`${endpoint.host}:${endpoint.port}`);
}

for (const [name, injectFault] of FAULTS) {
  for (const seed of [1, 2, 3]) {
    test(`a change is in force everywhere within 3 s although ${name}, seed ${seed}`, async (t) => {
      const cluster = await startSettledCluster(9, seed);
      injectFault(cluster);
      const tookMs = await timeUntilVersion(cluster, cluster.source.changeRoutes());
      t.true(tookMs <= 2_900, `${tookMs} ms`);
      await cluster.clock.advanceAsync(5_000, 10);
      t.true(cluster.maxAge() <= AGE_BOUND_MS, `${cluster.maxAge()} ms old`);
    });
  }
}

test('a burst of changes soon reaches all daemons in few messages', async (t) => {
  const cluster = await startSettledCluster(20);
  const sentBefore = cluster.daemons.map(({ gossipNode }) => gossipNode.statistics.messagesSent);
  for (let index = 0; index < 600; index += 1) {
    cluster.source.changeBackend(`burst-${index}`);
    if (index % 3 === 0) await cluster.clock.advanceAsync(5, 5);
  }
  const isKnownEverywhere = (): boolean =>
    cluster.daemons.every(({ knowledge }) => knowledge.backends.get('burst-599') !== undefined);
  t.true((await cluster.timeUntil(isKnownEverywhere, 5_000)) <= 2_500);
  const sentInBurst = cluster.daemons.map(
    ({ gossipNode }, index) => gossipNode.statistics.messagesSent - sentBefore[index]!,
  );
  t.true(Math.max(...sentInBurst) <= 200, `${Math.max(...sentInBurst)} messages`);
  t.is(cluster.daemons.filter(({ knowledge }) => knowledge.backends.get('burst-0')).length, 20);
});

/** Returns the content of a table of 1,500 routes: route 7 leads to `service`, all others to `alpha`. */
function manyRoutes(service: string): { readonly routes: readonly Route[] } {
  const target = (index: number): string => (index === 7 ? service : 'alpha');
  const routes = Array.from({ length: 1_500 }, (_, index): Route => {
    return {
      name: `r-${index}`,
      address: index,
      port: 443,
      targets: [{ service: target(index), weight: 1 }],
    };
  });
  return { routes };
}

test('a change of one route among many is sent as that route alone, even to a daemon that lagged', async (t) => {
  const cluster = await startSettledCluster(20);
  await timeUntilVersion(cluster, cluster.source.changeRoutes(manyRoutes('beta')));
  await cluster.clock.advanceAsync(2_000, 10);
  const lagging = cluster.daemons.find(({ gossipNode }) => !gossipNode.isReading)!;
  const bytesBefore = cluster.network.fetchedBytes;
  cluster.network.isolatedDaemons.add(`${lagging.endpoint.host}:${lagging.endpoint.port}`);
  for (const service of ['gamma', 'delta']) {
    const version = cluster.source.changeRoutes(manyRoutes(service));
    const others = cluster.daemons.filter((daemon) => daemon !== lagging);
    t.true((await timeUntilVersion(cluster, version, others)) <= ALL_WITHIN_MS);
  }
  cluster.network.isolatedDaemons.clear();
  t.true((await timeUntilVersion(cluster, cluster.source.changeRoutes(manyRoutes('beta')))) <= ALL_WITHIN_MS);
  const services = cluster.daemons.map(
    ({ knowledge }) => knowledge.routes()?.find(7, 443)?.targets[0]?.service,
  );
  t.deepEqual(new Set(services), new Set(['beta']));
  t.true(
    cluster.network.fetchedBytes - bytesBefore <= 5_000,
    `${cluster.network.fetchedBytes - bytesBefore} bytes`,
  );
});

test('only a few daemons fetch a large change from another zone', async (t) => {
  const cluster = await startSettledCluster(30);
  const bytesBefore = cluster.network.fetchedBytesBetweenZones;
  const version = cluster.source.changeRoutes(manyRoutes('beta'));
  t.true((await timeUntilVersion(cluster, version)) <= ALL_WITHIN_MS);
  const bytes = cluster.network.fetchedBytesBetweenZones - bytesBefore;
  const bytesPerDaemon = cluster.network.fetchedBytes / 30;
  t.true(bytes <= 8 * bytesPerDaemon, `${bytes} of ${cluster.network.fetchedBytes} bytes`);
});

for (const seed of [1, 2, 3, 4]) {
  test(`a daemon at some revision has every change up to it, in bursts with packet loss, seed ${seed}`, async (t) => {
    const cluster = await startSettledCluster(12, seed);
    cluster.network.lossRate = 0.3;
    const changes: (readonly [string, number])[] = [];
    for (let index = 0; index < 200; index += 1) {
      const id = `burst-${index}`;
      changes.push([id, cluster.source.changeBackend(id)]);
      await cluster.clock.advanceAsync(10 + 10 * (index % 5), 5);
      for (const { id: daemon, knowledge } of cluster.daemons) {
        const knownRevision = knowledge.revisionOf('backends');
        const missingBackends = changes.filter(
          ([backend, revision]) => revision <= knownRevision && !knowledge.backends.get(backend),
        );
        t.deepEqual(missingBackends, [], `${daemon} at ${knownRevision}`);
      }
    }
  });
}

test('a removal that the source has discarded from its history reaches all daemons', async (t) => {
  const cluster = await startSettledCluster(7);
  cluster.source.faults.set('*', 'silent');
  cluster.source.removeBackend('a');
  cluster.source.discardHistory();
  cluster.source.faults.clear();
  const isDeparted = (): boolean =>
    cluster.daemons.every(({ knowledge }) => knowledge.backends.get('a')?.departed);
  t.true((await cluster.timeUntil(isDeparted, 5_000)) <= 2_900);
});

test('a new daemon gets all data, including departed back ends, from its peers while the source is down', async (t) => {
  const cluster = await startSettledCluster(7);
  cluster.source.changeBackend('b');
  cluster.source.removeBackend('a');
  await cluster.clock.advanceAsync(1_000, 10);
  cluster.source.faults.set('*', 'refuse');
  const newDaemon = cluster.startDaemon();
  const tookMs = await cluster.timeUntil(() => newDaemon.knowledge.isComplete(), 3_000);
  t.true(tookMs <= 200, `${tookMs} ms`);
  t.true(newDaemon.knowledge.backends.get('a')?.departed);
  t.false(newDaemon.knowledge.backends.get('b')?.departed);
});

/**
 * Starts a daemon that reads the source while it is isolated from its peers: clear `network.isolatedDaemons` to
 * reconnect it.
 */
async function startIsolatedDaemon(cluster: SpreadingCluster): Promise<SimulatedDaemon> {
  const newDaemon = cluster.startDaemon();
  cluster.network.isolatedDaemons.add(formatEndpoint(newDaemon.endpoint));
  await cluster.clock.advanceAsync(30, 1);
  return newDaemon;
}

test('a new daemon that reads the source itself still receives departed back ends from peers', async (t) => {
  for (const seed of [1, 2, 3]) {
    const cluster = await startSettledCluster(7, seed);
    cluster.source.changeBackend('b');
    cluster.source.removeBackend('a');
    await cluster.clock.advanceAsync(1_000, 10);
    const newDaemon = await startIsolatedDaemon(cluster);
    t.true(newDaemon.knowledge.isComplete(), 'the source answered first');
    cluster.network.isolatedDaemons.clear();
    const isKnown = (): boolean => newDaemon.knowledge.backends.get('a')?.departed === true;
    t.true((await cluster.timeUntil(isKnown, 3_000)) <= 1_000, `seed ${seed}`);
  }
});

test('a new daemon that sees a departure still receives those from before its start', async (t) => {
  for (const seed of [1, 2, 3]) {
    const cluster = await startSettledCluster(7, seed);
    for (const id of ['b', 'c']) cluster.source.changeBackend(id);
    cluster.source.removeBackend('a');
    await cluster.clock.advanceAsync(1_000, 10);
    const newDaemon = await startIsolatedDaemon(cluster);
    const revision = newDaemon.knowledge.revisionOf('backends');
    const origin = { since: revision, confirmedAtMs: Number.NEGATIVE_INFINITY, mayHaveLapsed: false };
    const removals = [{ id: 'c', revision }];
    newDaemon.knowledge.apply('backends', updateAt(revision, { removals }), origin);
    cluster.network.isolatedDaemons.clear();
    let hadToFetchDeparted = false;
    const isKnown = (): boolean => {
      hadToFetchDeparted ||= !newDaemon.gossipNode.hasReceivedDeparted;
      return newDaemon.knowledge.backends.get('a')?.departed === true;
    };
    t.true((await cluster.timeUntil(isKnown, 3_000)) <= 1_000, `seed ${seed}`);
    t.true(hadToFetchDeparted && newDaemon.gossipNode.hasReceivedDeparted);
  }
});

test('after all daemons are killed at once, the restarted ones rebuild their data from the source', async (t) => {
  const cluster = await startSettledCluster(7);
  for (const daemon of [...cluster.daemons]) cluster.killDaemon(daemon);
  for (let index = 0; index < 7; index += 1) cluster.startDaemon();
  const areAllComplete = (): boolean => cluster.daemons.every(({ knowledge }) => knowledge.isComplete());
  t.true((await cluster.timeUntil(areAllComplete, 3_000)) <= 100);
});

test('a daemon whose seeds are all stale finds its peers after a reload of the seeds', async (t) => {
  const cluster = await startSettledCluster(7);
  const validSeeds = [...cluster.seeds];
  cluster.seeds.splice(0, cluster.seeds.length, { host: '10.9.0.1', port: 7_720 });
  const newDaemon = cluster.startDaemon();
  await cluster.clock.advanceAsync(2_000, 10);
  t.is(newDaemon.gossipNode.peerCount, 0);
  t.true(newDaemon.knowledge.isComplete(), 'it serves with data from the source alone meanwhile');
  cluster.seeds.splice(0, cluster.seeds.length, ...validSeeds);
  t.true((await cluster.timeUntil(() => newDaemon.gossipNode.peerCount >= 3, 3_000)) <= 1_000);
});

test('a daemon without seeds and peers serves with data from the source alone', async (t) => {
  const cluster = new SpreadingCluster(0);
  const daemon = cluster.startDaemon();
  await cluster.clock.advanceAsync(2_000, 10);
  t.true(daemon.knowledge.isComplete());
  t.true((await timeUntilVersion(cluster, cluster.source.changeRoutes())) <= 100);
});

test('an ejection report reaches nearly all daemons, each once, and does not circulate', async (t) => {
  const cluster = await startSettledCluster(20);
  cluster.daemons[0]!.gossipNode.gossipEjection({ backendId: 'a', atMs: cluster.clock.now() });
  await cluster.clock.advanceAsync(500, 5);
  const receivers = cluster.daemons.filter(({ ejectionsReceived }) => ejectionsReceived.length > 0);
  t.true(receivers.length >= 17, `${receivers.length} of 20`);
  for (const { ejectionsReceived } of cluster.daemons) t.true(ejectionsReceived.length <= 1);
});

test('a daemon that detects many dead back ends in succession pushes at most five times a second', async (t) => {
  const cluster = await startSettledCluster(20);
  const { gossipNode } = cluster.daemons[0]!;
  const sentBefore = gossipNode.statistics.messagesSent;
  await cluster.clock.advanceAsync(2_000, 5);
  const calmMessageCount = gossipNode.statistics.messagesSent - sentBefore;
  for (let index = 0; index < 100; index += 1) {
    gossipNode.gossipEjection({ backendId: `b-${index}`, atMs: cluster.clock.now() });
    await cluster.clock.advanceAsync(20, 5);
  }
  const busyMessageCount = gossipNode.statistics.messagesSent - sentBefore - calmMessageCount;
  t.true(
    busyMessageCount - calmMessageCount <= 11 * (FANOUT_SAME_ZONE + FANOUT_OTHER_ZONES),
    `${calmMessageCount} calm, ${busyMessageCount} busy`,
  );
});

/** Random faults, partitions and changes: no version goes back, and no daemon that can reach the source is stale. */
for (let seed = 1; seed <= 12; seed += 1) {
  test(`random faults: no version goes back, and daemons reaching the source are current, seed ${seed}`, async (t) => {
    const cluster = await startSettledCluster(8, seed);
    const random = linearCongruentialRandom(seed);
    const highestVersions = new Map<SimulatedDaemon, number>();
    const reachableSinceMs = new Map<SimulatedDaemon, number>();
    for (let step = 0; step < 120; step += 1) {
      applyRandomEvent(cluster, random);
      await cluster.clock.advanceAsync(100, 10);
      for (const daemon of cluster.daemons) {
        t.true(
          daemon.version >= (highestVersions.get(daemon) ?? 0),
          `${daemon.id} went back to ${daemon.version}`,
        );
        highestVersions.set(daemon, daemon.version);
        const canReachSource = !cluster.source.faults.has(daemon.id) && !cluster.source.faults.has('*');
        if (!canReachSource) reachableSinceMs.set(daemon, Number.POSITIVE_INFINITY);
        else if (!Number.isFinite(reachableSinceMs.get(daemon) ?? Infinity)) {
          reachableSinceMs.set(daemon, cluster.clock.now());
        }
        const reachableForMs = cluster.clock.now() - (reachableSinceMs.get(daemon) ?? cluster.clock.now());
        const ageMs = daemon.knowledge.maxTopicAge();
        if (reachableForMs >= 4_000)
          t.true(ageMs <= AGE_BOUND_MS, `${daemon.id} is ${ageMs} ms old at step ${step}`);
      }
    }
  });
}

function linearCongruentialRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

function applyRandomEvent(cluster: SpreadingCluster, random: () => number): void {
  const { source, network, daemons } = cluster;
  const daemon = daemons[Math.floor(random() * daemons.length)]!;
  const address = `${daemon.endpoint.host}:${daemon.endpoint.port}`;
  const faults: readonly SourceFault[] = ['refuse', 'throttle', 'silent'];
  const choice = random();
  if (choice < 0.2) source.changeRoutes();
  else if (choice < 0.3) source.changeBackend(`b${Math.floor(random() * 5)}`);
  else if (choice < 0.38) source.removeBackend(`b${Math.floor(random() * 5)}`);
  else if (choice < 0.48) source.faults.set(daemon.id, faults[Math.floor(random() * 3)]!);
  else if (choice < 0.6) source.faults.clear();
  else if (choice < 0.64) network.isolatedDaemons.add(address);
  else if (choice < 0.72) network.isolatedDaemons.clear();
  else if (choice < 0.76) source.discardHistory();
  else if (choice < 0.79) cluster.killDaemon(daemon);
  if (daemons.length < 8 && random() < 0.5) cluster.startDaemon();
}

test('a load report reaches nearly all daemons with the confirmations, at a low cost per daemon', async (t) => {
  const cluster = await startSettledCluster(60);
  const [reader] = cluster.readers();
  const busy = Array.from({ length: 80 }, (_, index) => ({ tag: index * 700, level: 2 }));
  const bytes = (): number =>
    cluster.daemons.reduce((sum, { gossipNode }) => sum + gossipNode.statistics.bytesSent, 0);
  const bytesBefore = bytes();
  await cluster.clock.advanceAsync(4_000, 10);
  const bytesWithoutReports = bytes() - bytesBefore;
  for (let round = 0; round < 2; round += 1) {
    const measuredAtMs = cluster.clock.now();
    reader!.gossipNode.gossipLoad({ page: 0, measuredAtMs, validMs: 6_000, busy });
    await cluster.clock.advanceAsync(2_000, 10);
  }
  const nowMs = cluster.clock.now();
  const receivers = cluster.daemons.filter(({ loads }) => loads.levelOf(700, nowMs) === 2);
  t.true(receivers.length >= 57, `${receivers.length} of 60`);
  const additionalBytesPerSecond = (bytes() - bytesBefore - 2 * bytesWithoutReports) / 60 / 4;
  t.true(additionalBytesPerSecond <= 2_000, `${additionalBytesPerSecond} bytes a second and daemon`);
});

test('ejections of many back ends of a lost zone are batched', async (t) => {
  const cluster = await startSettledCluster(30);
  const sentBefore = cluster.daemons.reduce(
    (sum, { gossipNode }) => sum + gossipNode.statistics.messagesSent,
    0,
  );
  const atMs = cluster.clock.now();
  for (const daemon of cluster.daemons) {
    for (let index = 0; index < 40; index += 1) {
      daemon.gossipNode.gossipEjection({ backendId: `b-${index}`, atMs });
    }
  }
  await cluster.clock.advanceAsync(1_000, 10);
  const sentAfter = cluster.daemons.reduce(
    (sum, { gossipNode }) => sum + gossipNode.statistics.messagesSent,
    0,
  );
  t.true(sentAfter - sentBefore <= 30 * 80, `${sentAfter - sentBefore} messages in a second`);
});

test('a restarted back end is a new incarnation at readers and at daemons that receive it by gossip', async (t) => {
  const cluster = await startSettledCluster(20);
  const incarnationOf = (index: number): number | undefined =>
    cluster.daemons[index]?.knowledge.backends.get('a')?.record.incarnation;
  const isKnownEverywhere = (incarnation: number) => (): boolean =>
    cluster.daemons.every((_daemon, index) => incarnationOf(index) === incarnation);
  cluster.source.changeBackend('a', { incarnation: 1_000 });
  t.true((await cluster.timeUntil(isKnownEverywhere(1_000), 3_000)) <= 3_000);
  const recordsBefore = cluster.daemons.map(({ knowledge }) => knowledge.backends.get('a'));
  cluster.source.faults.set('*', 'silent');
  await cluster.clock.advanceAsync(2_000, 10);
  cluster.source.changeBackend('a', { incarnation: 2_000 });
  cluster.source.changeBackend('a', { incarnation: 1_500 });
  cluster.source.faults.clear();
  t.true((await cluster.timeUntil(isKnownEverywhere(1_500), 3_000)) <= 3_000);
  cluster.daemons.forEach(({ knowledge }, index) => t.not(knowledge.backends.get('a'), recordsBefore[index]));
});
