/**
 * Cordons reach every daemon in time despite faults of the source, of its readers and of the network between daemons.
 */
import test from 'ava';
import {
  injectReaderFault,
  startSettledCluster,
  type ClusterOptions,
  type SimulatedDaemon,
  type SpreadingCluster,
} from './spreading-test-support.js';

/** The bound for a change is 3 s; a cordon must be in force everywhere within 0.6 of it. In ms. */
const WITHIN_MS = 1_800;

/** Bound in ms with a fault, just below the 3 s. */
const WITHIN_WITH_FAULT_MS = 2_900;

const ZONE = 'zone-a';

const CORDONS = { followsCordons: true };

function timeUntilCordon(
  cluster: SpreadingCluster,
  isCordoned: boolean,
  daemons: readonly SimulatedDaemon[] = cluster.daemons,
): Promise<number> {
  const isKnown = ({ knowledge }: SimulatedDaemon): boolean => knowledge.cordons.has(ZONE) === isCordoned;
  return cluster.timeUntil(() => daemons.every(isKnown), 10_000);
}

for (const size of [1, 7, 74, 300]) {
  test(`${size} daemons: a cordon and its removal are soon in force everywhere`, async (t) => {
    const cluster = await startSettledCluster(size, 1, CORDONS);
    for (let round = 0; round < 3; round += 1) {
      cluster.source.cordon(ZONE);
      const cordonedMs = await timeUntilCordon(cluster, true);
      t.true(cordonedMs <= WITHIN_MS, `cordoned after ${cordonedMs} ms`);
      cluster.source.uncordon(ZONE);
      const uncordonedMs = await timeUntilCordon(cluster, false);
      t.true(uncordonedMs <= WITHIN_MS, `uncordoned after ${uncordonedMs} ms`);
    }
  });
}

/** Faults that occur just before a zone is cordoned. */
const FAULTS: readonly (readonly [string, (cluster: SpreadingCluster) => void])[] = [
  ['both readers are killed', (cluster) => cluster.readers().forEach((reader) => cluster.killDaemon(reader))],
  ['the source refuses the readers', (cluster) => injectReaderFault(cluster, 'refuse')],
  ['the source throttles the readers', (cluster) => injectReaderFault(cluster, 'throttle')],
  ['the source falls silent for the readers', (cluster) => injectReaderFault(cluster, 'silent')],
  ['the source refuses a third of the daemons', refuseThirdOfDaemons],
  ['the source discards its history', (cluster) => cluster.source.discardHistory()],
  ['a third of the datagrams is lost', (cluster) => (cluster.network.lossRate = 1 / 3)],
  ['back ends change all the time', churnBackends],
];

function refuseThirdOfDaemons({ source, daemons }: SpreadingCluster): void {
  daemons.forEach(({ id }, index) => {
    if (index % 3 === 0) source.faults.set(id, 'refuse');
  });
}

function churnBackends({ source, clock }: SpreadingCluster): void {
  for (let change = 0; change < 100; change += 1) {
    clock.schedule(change * 50, () => void source.changeBackend(`b-${change % 7}`));
  }
}

for (const [name, injectFault] of FAULTS) {
  for (const seed of [1, 2, 3]) {
    test(`a cordon is in force everywhere in time although ${name}, seed ${seed}`, async (t) => {
      const cluster = await startSettledCluster(30, seed, CORDONS);
      injectFault(cluster);
      cluster.source.cordon(ZONE);
      const cordonedMs = await timeUntilCordon(cluster, true);
      t.true(cordonedMs <= WITHIN_WITH_FAULT_MS, `${cordonedMs} ms`);
      cluster.source.uncordon(ZONE);
      const uncordonedMs = await timeUntilCordon(cluster, false);
      t.true(uncordonedMs <= WITHIN_WITH_FAULT_MS, `${uncordonedMs} ms`);
    });
  }
}

test('a daemon that starts during a cordon knows it, and one that starts after its removal does not', async (t) => {
  const cluster = await startSettledCluster(9, 1, CORDONS);
  cluster.source.cordon(ZONE);
  await timeUntilCordon(cluster, true);
  const startedDuring = cluster.startDaemon();
  await cluster.timeUntil(() => startedDuring.knowledge.isComplete(), 2_000);
  t.true(startedDuring.knowledge.cordons.has(ZONE));
  cluster.source.uncordon(ZONE);
  await timeUntilCordon(cluster, false);
  const startedAfter = cluster.startDaemon();
  await cluster.timeUntil(() => startedAfter.knowledge.isComplete(), 2_000);
  t.false(startedAfter.knowledge.cordons.has(ZONE));
});

test('daemons that all restart during a cordon are not complete before they know it', async (t) => {
  const cluster = await startSettledCluster(20, 2, CORDONS);
  cluster.source.cordon(ZONE);
  await timeUntilCordon(cluster, true);
  for (const daemon of [...cluster.daemons]) cluster.killDaemon(daemon);
  for (let index = 0; index < 20; index += 1) cluster.startDaemon();
  const lacksCordon = ({ knowledge }: SimulatedDaemon): boolean =>
    knowledge.isComplete() && !knowledge.cordons.has(ZONE);
  const lackingMs = await cluster.timeUntil(() => cluster.daemons.some(lacksCordon), 4_000);
  t.is(lackingMs, Number.POSITIVE_INFINITY);
  t.true(cluster.daemons.every(({ knowledge }) => knowledge.isComplete()));
});

test('a zone that is uncordoned and immediately cordoned again stays cordoned', async (t) => {
  const cluster = await startSettledCluster(30, 3, CORDONS);
  cluster.source.cordon(ZONE);
  await timeUntilCordon(cluster, true);
  cluster.source.uncordon(ZONE);
  cluster.source.cordon(ZONE);
  await cluster.clock.advanceAsync(5_000, 10);
  t.true(cluster.daemons.every(({ knowledge }) => knowledge.cordons.has(ZONE)));
});

/** Returns the number of calls to the source by a settled cluster of 30 daemons in a minute. */
async function callsPerMinute(options: ClusterOptions): Promise<number> {
  const cluster = await startSettledCluster(30, 1, options);
  const callsBefore = cluster.source.calls;
  await cluster.clock.advanceAsync(60_000, 10);
  return cluster.source.calls - callsBefore;
}

test('following cordons costs at most 15% more calls while nothing changes', async (t) => {
  const withoutCordons = await callsPerMinute({});
  const withCordons = await callsPerMinute(CORDONS);
  const withoutLongWatches = await callsPerMinute({ ...CORDONS, usesLongWatches: false });
  t.true(withCordons <= 1.15 * withoutCordons, `${withCordons} and ${withoutCordons}`);
  t.true(
    withoutLongWatches >= 1.4 * withoutCordons,
    `${withoutLongWatches} without long watches, so the bound above can fail`,
  );
});
