/** Cordons reach every daemon in time, whatever happens to the source, to its readers and between daemons. */
import test from 'ava';
import {
  faultReaders,
  settled,
  type ClusterOptions,
  type SimulatedDaemon,
  type SpreadingCluster,
} from './spreading-test-support.js';

/** The clusters' bound for a change is 3 s; a cordon is to be in force everywhere within 0.6 of it. */
const WITHIN_MS = 1_800;

/** With a fault of the source or of its readers, well within the bound. */
const WITHIN_IN_TROUBLE_MS = 2_900;

const ZONE = 'zone-a';

const CORDONS = { followsCordons: true };

function timeOfCordon(
  cluster: SpreadingCluster,
  isCordoned: boolean,
  daemons: readonly SimulatedDaemon[] = cluster.daemons,
): Promise<number> {
  const isKnown = ({ knowledge }: SimulatedDaemon): boolean => knowledge.cordons.has(ZONE) === isCordoned;
  return cluster.timeUntil(() => daemons.every(isKnown), 10_000);
}

for (const size of [1, 7, 74, 300]) {
  test(`${size} daemons: a cordon and its removal are everywhere soon`, async (t) => {
    const cluster = await settled(size, 1, CORDONS);
    for (let round = 0; round < 3; round += 1) {
      cluster.source.cordon(ZONE);
      const cordonedMs = await timeOfCordon(cluster, true);
      t.true(cordonedMs <= WITHIN_MS, `cordoned after ${cordonedMs} ms`);
      cluster.source.uncordon(ZONE);
      const uncordonedMs = await timeOfCordon(cluster, false);
      t.true(uncordonedMs <= WITHIN_MS, `uncordoned after ${uncordonedMs} ms`);
    }
  });
}

/** What happens just before a zone is cordoned. */
const FAULTS: readonly (readonly [string, (cluster: SpreadingCluster) => void])[] = [
  ['both readers are killed', (cluster) => cluster.readers().forEach((reader) => cluster.kill(reader))],
  ['the source refuses the readers', (cluster) => faultReaders(cluster, 'refuse')],
  ['the source throttles the readers', (cluster) => faultReaders(cluster, 'throttle')],
  ['the source falls silent for the readers', (cluster) => faultReaders(cluster, 'silent')],
  ['the source refuses a third of the daemons', refuseThird],
  ['the source forgets its history', (cluster) => cluster.source.forgetHistory()],
  ['a third of the datagrams is lost', (cluster) => (cluster.network.lossRate = 1 / 3)],
  ['back ends change all the time', churn],
];

function refuseThird({ source, daemons }: SpreadingCluster): void {
  daemons.forEach(({ id }, index) => {
    if (index % 3 === 0) source.faults.set(id, 'refuse');
  });
}

function churn({ source, clock }: SpreadingCluster): void {
  for (let change = 0; change < 100; change += 1) {
    clock.schedule(change * 50, () => void source.changeBackend(`b-${change % 7}`));
  }
}

for (const [name, strike] of FAULTS) {
  for (const seed of [1, 2, 3]) {
    test(`a zone cordoned right after it is cordoned everywhere in time: ${name}, seed ${seed}`, async (t) => {
      const cluster = await settled(30, seed, CORDONS);
      strike(cluster);
      cluster.source.cordon(ZONE);
      const tookMs = await timeOfCordon(cluster, true);
      t.true(tookMs <= WITHIN_IN_TROUBLE_MS, `${tookMs} ms`);
      cluster.source.uncordon(ZONE);
      const backMs = await timeOfCordon(cluster, false);
      t.true(backMs <= WITHIN_IN_TROUBLE_MS, `${backMs} ms`);
    });
  }
}

test('a daemon that starts while a zone is cordoned, and one that starts after it, know what is in force', async (t) => {
  const cluster = await settled(9, 1, CORDONS);
  cluster.source.cordon(ZONE);
  await timeOfCordon(cluster, true);
  const during = cluster.add();
  await cluster.timeUntil(() => during.knowledge.isComplete(), 2_000);
  t.true(during.knowledge.cordons.has(ZONE));
  cluster.source.uncordon(ZONE);
  await timeOfCordon(cluster, false);
  const after = cluster.add();
  await cluster.timeUntil(() => after.knowledge.isComplete(), 2_000);
  t.false(after.knowledge.cordons.has(ZONE));
});

test('daemons that all restart while a zone is cordoned place nothing before they know of it', async (t) => {
  const cluster = await settled(20, 2, CORDONS);
  cluster.source.cordon(ZONE);
  await timeOfCordon(cluster, true);
  for (const daemon of [...cluster.daemons]) cluster.kill(daemon);
  for (let index = 0; index < 20; index += 1) cluster.add();
  const isWrong = ({ knowledge }: SimulatedDaemon): boolean =>
    knowledge.isComplete() && !knowledge.cordons.has(ZONE);
  const wrongMs = await cluster.timeUntil(() => cluster.daemons.some(isWrong), 4_000);
  t.is(wrongMs, Number.POSITIVE_INFINITY);
  t.true(cluster.daemons.every(({ knowledge }) => knowledge.isComplete()));
});

test('a zone that is uncordoned and cordoned again at once stays cordoned', async (t) => {
  const cluster = await settled(30, 3, CORDONS);
  cluster.source.cordon(ZONE);
  await timeOfCordon(cluster, true);
  cluster.source.uncordon(ZONE);
  cluster.source.cordon(ZONE);
  await cluster.clock.advanceAsync(5_000, 10);
  t.true(cluster.daemons.every(({ knowledge }) => knowledge.cordons.has(ZONE)));
});

/** Calls in a minute of 30 settled daemons. */
async function callsOf(options: ClusterOptions): Promise<number> {
  const cluster = await settled(30, 1, options);
  const before = cluster.source.calls;
  await cluster.clock.advanceAsync(60_000, 10);
  return cluster.source.calls - before;
}

test('while nothing changes, to follow cordons costs at most 15% more calls than not to', async (t) => {
  const without = await callsOf({});
  const withThem = await callsOf(CORDONS);
  const alike = await callsOf({ ...CORDONS, usesLongWatches: false });
  t.true(withThem <= 1.15 * without, `${withThem} and ${without}`);
  t.true(alike >= 1.4 * without, `${alike} without long watches, which shows that the measure can fail`);
});
