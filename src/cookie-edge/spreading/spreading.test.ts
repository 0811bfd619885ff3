import test from 'ava';
import { formatEndpoint } from '../../common/types.js';
import type { Route } from '../routing/index.js';
import { updateAt } from '../routing/routing-test-support.js';
import { FANOUT_ELSEWHERE, FANOUT_IN_ZONE, TARGET_READERS } from './constants.js';
import {
  faultReaders,
  settled,
  SpreadingCluster,
  timeOfVersion,
  TIMINGS,
  type SimulatedDaemon,
  type SourceFault,
} from './spreading-test-support.js';

/** A change must be in force within 3 s; what is older than this is read anew. */
const AGE_BOUND_MS = TIMINGS.readAfterMs + TIMINGS.readSpreadMs + 300;

/** The two waves of a change miss very few; they learn of it from the next confirmation. */
const MOST_WITHIN_MS = 400;
const ALL_WITHIN_MS = 1_800;
const MOST = 0.95;

for (const size of [1, 2, 7, 30, 60, 150]) {
  test(`${size} daemons: two of them read the source once they have settled`, async (t) => {
    for (const seed of [1, 2, 3]) {
      const cluster = await settled(size, seed);
      t.is(cluster.readers().length, Math.min(size, TARGET_READERS), `seed ${seed}`);
    }
  });
}

for (const size of [1, 2, 7, 30, 60]) {
  test(`${size} daemons: a change is everywhere soon`, async (t) => {
    const cluster = await settled(size);
    for (let round = 0; round < 4; round += 1) {
      const version = cluster.source.changeRoutes();
      const share = (): number =>
        cluster.daemons.filter((daemon) => daemon.version === version).length / size;
      const mostMs = await cluster.timeUntil(() => share() >= MOST, 5_000);
      t.true(mostMs <= MOST_WITHIN_MS, `most after ${mostMs} ms`);
      const restMs = await timeOfVersion(cluster, version);
      t.true(mostMs + restMs <= ALL_WITHIN_MS, `all after ${mostMs + restMs} ms`);
      const backendRevision = cluster.source.changeBackend('b');
      const known = (): boolean =>
        cluster.daemons.every(
          ({ knowledge }) => knowledge.backends.get('b')?.record.revision === backendRevision,
        );
      t.true((await cluster.timeUntil(known, 5_000)) <= ALL_WITHIN_MS);
    }
  });
}

test('calls to the source do not grow with the number of daemons', async (t) => {
  const rates: number[] = [];
  for (const size of [7, 30, 60]) {
    const cluster = await settled(size);
    const before = cluster.source.calls;
    await cluster.clock.advanceAsync(10_000, 10);
    rates.push((cluster.source.calls - before) / 10);
  }
  for (const rate of rates) t.true(rate <= 4, `${rates.join(', ')} calls a second`);
});

test('bytes for each daemon do not grow with the number of daemons', async (t) => {
  const rates: number[] = [];
  for (const size of [7, 60]) {
    const cluster = await settled(size);
    const before = cluster.network.bytes;
    await cluster.clock.advanceAsync(10_000, 10);
    rates.push((cluster.network.bytes - before) / 10 / size);
  }
  t.true(rates[1]! <= 1.5 * rates[0]!, rates.join(', '));
  t.true(rates[1]! <= 4_000, rates.join(', '));
});

/** What happens to the source or its readers just before a change, and to which daemons the bound then applies. */
const FAULTS: readonly (readonly [string, (cluster: SpreadingCluster) => void])[] = [
  ['both readers are killed', (cluster) => cluster.readers().forEach((reader) => cluster.kill(reader))],
  ['the source refuses the readers', (cluster) => faultReaders(cluster, 'refuse')],
  ['the source throttles the readers', (cluster) => faultReaders(cluster, 'throttle')],
  ['the source falls silent for the readers', (cluster) => faultReaders(cluster, 'silent')],
  ['the source falls silent for all but one', silentForAllButOne],
  ['the source forgets its history', (cluster) => cluster.source.forgetHistory()],
  ['a third of the datagrams is lost', (cluster) => (cluster.network.lossRate = 1 / 3)],
  ['the readers are cut off from other daemons', cutReaders],
  ['all daemons are cut off from each other', cutAll],
];

function silentForAllButOne(cluster: SpreadingCluster): void {
  for (const { id } of cluster.daemons.slice(1)) cluster.source.faults.set(id, 'silent');
}

function cutReaders(cluster: SpreadingCluster): void {
  for (const { endpoint } of cluster.readers()) cluster.network.cut.add(`${endpoint.host}:${endpoint.port}`);
}

function cutAll(cluster: SpreadingCluster): void {
  for (const { endpoint } of cluster.daemons) cluster.network.cut.add(`${endpoint.host}:${endpoint.port}`);
}

for (const [name, strike] of FAULTS) {
  for (const seed of [1, 2, 3]) {
    test(`a change right after it is in force everywhere within 3 s: ${name}, seed ${seed}`, async (t) => {
      const cluster = await settled(9, seed);
      strike(cluster);
      const tookMs = await timeOfVersion(cluster, cluster.source.changeRoutes());
      t.true(tookMs <= 2_900, `${tookMs} ms`);
      await cluster.clock.advanceAsync(5_000, 10);
      t.true(cluster.maxAge() <= AGE_BOUND_MS, `${cluster.maxAge()} ms old`);
    });
  }
}

test('a burst of changes reaches everybody soon, in few messages', async (t) => {
  const cluster = await settled(20);
  const before = cluster.daemons.map(({ spreader }) => spreader.statistics.messagesSent);
  for (let index = 0; index < 600; index += 1) {
    cluster.source.changeBackend(`burst-${index}`);
    if (index % 3 === 0) await cluster.clock.advanceAsync(5, 5);
  }
  const known = (): boolean =>
    cluster.daemons.every(({ knowledge }) => knowledge.backends.get('burst-599') !== undefined);
  t.true((await cluster.timeUntil(known, 5_000)) <= 2_500);
  const sent = cluster.daemons.map(
    ({ spreader }, index) => spreader.statistics.messagesSent - before[index]!,
  );
  t.true(Math.max(...sent) <= 200, `${Math.max(...sent)} messages`);
  t.is(cluster.daemons.filter(({ knowledge }) => knowledge.backends.get('burst-0')).length, 20);
});

/** A table of many routes, one of which leads to `service`. */
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

test('a change of one route among many travels as that route alone, also to one who lagged', async (t) => {
  const cluster = await settled(20);
  await timeOfVersion(cluster, cluster.source.changeRoutes(manyRoutes('beta')));
  await cluster.clock.advanceAsync(2_000, 10);
  const lagging = cluster.daemons.find(({ spreader }) => !spreader.isReading)!;
  const before = cluster.network.fetchedBytes;
  cluster.network.cut.add(`${lagging.endpoint.host}:${lagging.endpoint.port}`);
  for (const service of ['gamma', 'delta']) {
    const version = cluster.source.changeRoutes(manyRoutes(service));
    const others = cluster.daemons.filter((daemon) => daemon !== lagging);
    t.true((await timeOfVersion(cluster, version, others)) <= ALL_WITHIN_MS);
  }
  cluster.network.cut.clear();
  t.true((await timeOfVersion(cluster, cluster.source.changeRoutes(manyRoutes('beta')))) <= ALL_WITHIN_MS);
  const services = cluster.daemons.map(
    ({ knowledge }) => knowledge.routes()?.find(7, 443)?.targets[0]?.service,
  );
  t.deepEqual(new Set(services), new Set(['beta']));
  t.true(cluster.network.fetchedBytes - before <= 5_000, `${cluster.network.fetchedBytes - before} bytes`);
});

test('a large change is fetched across zones by few', async (t) => {
  const cluster = await settled(30);
  const before = cluster.network.fetchedBytesBetweenZones;
  const version = cluster.source.changeRoutes(manyRoutes('beta'));
  t.true((await timeOfVersion(cluster, version)) <= ALL_WITHIN_MS);
  const bytes = cluster.network.fetchedBytesBetweenZones - before;
  const each = cluster.network.fetchedBytes / 30;
  t.true(bytes <= 8 * each, `${bytes} of ${cluster.network.fetchedBytes} bytes`);
});

for (const seed of [1, 2, 3, 4]) {
  test(`whoever counts as knowing a revision knows every change up to it, in bursts with loss, seed ${seed}`, async (t) => {
    const cluster = await settled(12, seed);
    cluster.network.lossRate = 0.3;
    const changes: (readonly [string, number])[] = [];
    for (let index = 0; index < 200; index += 1) {
      const id = `burst-${index}`;
      changes.push([id, cluster.source.changeBackend(id)]);
      await cluster.clock.advanceAsync(10 + 10 * (index % 5), 5);
      for (const { id: daemon, knowledge } of cluster.daemons) {
        const known = knowledge.revisionOf('backends');
        const lacking = changes.filter(
          ([backend, revision]) => revision <= known && !knowledge.backends.get(backend),
        );
        t.deepEqual(lacking, [], `${daemon} at ${known}`);
      }
    }
  });
}

test('a removal in a gap of the history reaches everybody', async (t) => {
  const cluster = await settled(7);
  cluster.source.faults.set('*', 'silent');
  cluster.source.removeBackend('a');
  cluster.source.forgetHistory();
  cluster.source.faults.clear();
  const gone = (): boolean => cluster.daemons.every(({ knowledge }) => knowledge.backends.get('a')?.departed);
  t.true((await cluster.timeUntil(gone, 5_000)) <= 2_900);
});

test('a newcomer knows everything from its peers while the source is down, departed back ends included', async (t) => {
  const cluster = await settled(7);
  cluster.source.changeBackend('b');
  cluster.source.removeBackend('a');
  await cluster.clock.advanceAsync(1_000, 10);
  cluster.source.faults.set('*', 'refuse');
  const newcomer = cluster.add();
  const tookMs = await cluster.timeUntil(() => newcomer.knowledge.isComplete(), 3_000);
  t.true(tookMs <= 200, `${tookMs} ms`);
  t.true(newcomer.knowledge.backends.get('a')?.departed);
  t.false(newcomer.knowledge.backends.get('b')?.departed);
});

/** A newcomer that reads the source while it is cut off from its peers; clear `network.cut` to end that. */
async function addCutOff(cluster: SpreadingCluster): Promise<SimulatedDaemon> {
  const newcomer = cluster.add();
  cluster.network.cut.add(formatEndpoint(newcomer.endpoint));
  await cluster.clock.advanceAsync(30, 1);
  return newcomer;
}

test('a newcomer that reads the source itself learns of departed back ends as well', async (t) => {
  for (const seed of [1, 2, 3]) {
    const cluster = await settled(7, seed);
    cluster.source.changeBackend('b');
    cluster.source.removeBackend('a');
    await cluster.clock.advanceAsync(1_000, 10);
    const newcomer = await addCutOff(cluster);
    t.true(newcomer.knowledge.isComplete(), 'the source answered first');
    cluster.network.cut.clear();
    const known = (): boolean => newcomer.knowledge.backends.get('a')?.departed === true;
    t.true((await cluster.timeUntil(known, 3_000)) <= 1_000, `seed ${seed}`);
  }
});

test('a newcomer that sees a back end leave still learns of those that left before it started', async (t) => {
  for (const seed of [1, 2, 3]) {
    const cluster = await settled(7, seed);
    for (const id of ['b', 'c']) cluster.source.changeBackend(id);
    cluster.source.removeBackend('a');
    await cluster.clock.advanceAsync(1_000, 10);
    const newcomer = await addCutOff(cluster);
    const revision = newcomer.knowledge.revisionOf('backends');
    const origin = { since: revision, confirmedAtMs: Number.NEGATIVE_INFINITY, mayHaveLapsed: false };
    const removals = [{ id: 'c', revision }];
    newcomer.knowledge.apply('backends', updateAt(revision, { removals }), origin);
    cluster.network.cut.clear();
    let hadToLearn = false;
    const known = (): boolean => {
      hadToLearn ||= !newcomer.spreader.hasLearntDeparted;
      return newcomer.knowledge.backends.get('a')?.departed === true;
    };
    t.true((await cluster.timeUntil(known, 3_000)) <= 1_000, `seed ${seed}`);
    t.true(hadToLearn && newcomer.spreader.hasLearntDeparted);
  }
});

test('when all are killed at once, those that start again found the knowledge anew', async (t) => {
  const cluster = await settled(7);
  for (const daemon of [...cluster.daemons]) cluster.kill(daemon);
  for (let index = 0; index < 7; index += 1) cluster.add();
  const complete = (): boolean => cluster.daemons.every(({ knowledge }) => knowledge.isComplete());
  t.true((await cluster.timeUntil(complete, 3_000)) <= 100);
});

test('seeds that are all stale are replaced by a reread, and the daemon finds the others', async (t) => {
  const cluster = await settled(7);
  const valid = [...cluster.seeds];
  cluster.seeds.splice(0, cluster.seeds.length, { host: '10.9.0.1', port: 7_720 });
  const newcomer = cluster.add();
  await cluster.clock.advanceAsync(2_000, 10);
  t.is(newcomer.spreader.peerCount, 0);
  t.true(newcomer.knowledge.isComplete(), 'it serves from the source alone meanwhile');
  cluster.seeds.splice(0, cluster.seeds.length, ...valid);
  t.true((await cluster.timeUntil(() => newcomer.spreader.peerCount >= 3, 3_000)) <= 1_000);
});

test('a daemon without seeds and peers serves from the source alone', async (t) => {
  const cluster = new SpreadingCluster(0);
  const daemon = cluster.add();
  await cluster.clock.advanceAsync(2_000, 10);
  t.true(daemon.knowledge.isComplete());
  t.true((await timeOfVersion(cluster, cluster.source.changeRoutes())) <= 100);
});

test('a suspicion reaches nearly everybody once, and does not go round', async (t) => {
  const cluster = await settled(20);
  cluster.daemons[0]!.spreader.gossipEjection({ backendId: 'a', atMs: cluster.clock.now() });
  await cluster.clock.advanceAsync(500, 5);
  const heard = cluster.daemons.filter(({ suspicions }) => suspicions.length > 0);
  t.true(heard.length >= 17, `${heard.length} of 20`);
  for (const { suspicions } of cluster.daemons) t.true(suspicions.length <= 1);
});

test('a daemon that finds many back ends dead one after the other pushes five times a second at the most', async (t) => {
  const cluster = await settled(20);
  const { spreader } = cluster.daemons[0]!;
  const calmBefore = spreader.statistics.messagesSent;
  await cluster.clock.advanceAsync(2_000, 5);
  const calm = spreader.statistics.messagesSent - calmBefore;
  for (let index = 0; index < 100; index += 1) {
    spreader.gossipEjection({ backendId: `b-${index}`, atMs: cluster.clock.now() });
    await cluster.clock.advanceAsync(20, 5);
  }
  const busy = spreader.statistics.messagesSent - calmBefore - calm;
  t.true(busy - calm <= 11 * (FANOUT_IN_ZONE + FANOUT_ELSEWHERE), `${calm} calm, ${busy} busy`);
});

/**
 * A model check: random faults, cuts and changes; no version goes back, and no daemon that can reach the source is
 * stale.
 */
for (let seed = 1; seed <= 12; seed += 1) {
  test(`random faults: no version goes back, and whoever has a path is current, seed ${seed}`, async (t) => {
    const cluster = await settled(8, seed);
    const random = randomOf(seed);
    const highest = new Map<SimulatedDaemon, number>();
    const reachableSinceMs = new Map<SimulatedDaemon, number>();
    for (let step = 0; step < 120; step += 1) {
      disturb(cluster, random);
      await cluster.clock.advanceAsync(100, 10);
      for (const daemon of cluster.daemons) {
        t.true(daemon.version >= (highest.get(daemon) ?? 0), `${daemon.id} went back to ${daemon.version}`);
        highest.set(daemon, daemon.version);
        const reachable = !cluster.source.faults.has(daemon.id) && !cluster.source.faults.has('*');
        if (!reachable) reachableSinceMs.set(daemon, Number.POSITIVE_INFINITY);
        else if (!Number.isFinite(reachableSinceMs.get(daemon) ?? Infinity)) {
          reachableSinceMs.set(daemon, cluster.clock.now());
        }
        const sinceMs = cluster.clock.now() - (reachableSinceMs.get(daemon) ?? cluster.clock.now());
        const ageMs = daemon.knowledge.age();
        if (sinceMs >= 4_000)
          t.true(ageMs <= AGE_BOUND_MS, `${daemon.id} is ${ageMs} ms old at step ${step}`);
      }
    }
  });
}

function randomOf(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

function disturb(cluster: SpreadingCluster, random: () => number): void {
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
  else if (choice < 0.64) network.cut.add(address);
  else if (choice < 0.72) network.cut.clear();
  else if (choice < 0.76) source.forgetHistory();
  else if (choice < 0.79) cluster.kill(daemon);
  if (daemons.length < 8 && random() < 0.5) cluster.add();
}

test('a report of load reaches nearly everybody with the confirmations, and costs each daemon little', async (t) => {
  const cluster = await settled(60);
  const [reader] = cluster.readers();
  const busy = Array.from({ length: 80 }, (_, index) => ({ tag: index * 700, level: 2 }));
  const bytes = (): number =>
    cluster.daemons.reduce((sum, { spreader }) => sum + spreader.statistics.bytesSent, 0);
  const before = bytes();
  await cluster.clock.advanceAsync(4_000, 10);
  const without = bytes() - before;
  for (let round = 0; round < 2; round += 1) {
    const measuredAtMs = cluster.clock.now();
    reader!.spreader.gossipLoad({ page: 0, measuredAtMs, validMs: 6_000, busy });
    await cluster.clock.advanceAsync(2_000, 10);
  }
  const nowMs = cluster.clock.now();
  const told = cluster.daemons.filter(({ loads }) => loads.levelOf(700, nowMs) === 2);
  t.true(told.length >= 57, `${told.length} of 60`);
  const moreASecond = (bytes() - before - 2 * without) / 60 / 4;
  t.true(moreASecond <= 2_000, `${moreASecond} bytes a second and daemon`);
});

test('back ends of a lost zone that are suspected together share messages', async (t) => {
  const cluster = await settled(30);
  const before = cluster.daemons.reduce((sum, { spreader }) => sum + spreader.statistics.messagesSent, 0);
  const atMs = cluster.clock.now();
  for (const daemon of cluster.daemons) {
    for (let index = 0; index < 40; index += 1) {
      daemon.spreader.gossipEjection({ backendId: `b-${index}`, atMs });
    }
  }
  await cluster.clock.advanceAsync(1_000, 10);
  const after = cluster.daemons.reduce((sum, { spreader }) => sum + spreader.statistics.messagesSent, 0);
  t.true(after - before <= 30 * 80, `${after - before} messages in a second`);
});

test('a back end that starts again is another life for those that read it and for those that only hear of it', async (t) => {
  const cluster = await settled(20);
  const lifeOf = (index: number): number | undefined =>
    cluster.daemons[index]?.knowledge.backends.get('a')?.record.incarnation;
  const isEverywhere = (life: number) => (): boolean =>
    cluster.daemons.every((_daemon, index) => lifeOf(index) === life);
  cluster.source.changeBackend('a', { incarnation: 1_000 });
  t.true((await cluster.timeUntil(isEverywhere(1_000), 3_000)) <= 3_000);
  const before = cluster.daemons.map(({ knowledge }) => knowledge.backends.get('a'));
  cluster.source.faults.set('*', 'silent');
  await cluster.clock.advanceAsync(2_000, 10);
  cluster.source.changeBackend('a', { incarnation: 2_000 });
  cluster.source.changeBackend('a', { incarnation: 1_500 });
  cluster.source.faults.clear();
  t.true((await cluster.timeUntil(isEverywhere(1_500), 3_000)) <= 3_000);
  cluster.daemons.forEach(({ knowledge }, index) => t.not(knowledge.backends.get('a'), before[index]));
});
