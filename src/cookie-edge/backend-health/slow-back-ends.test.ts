/** Replayed loads with back ends that turn slow or stop answering, with and without outlier detection. */
import test from 'ava';
import { LoadSimulation, type LoadSimulationParameters } from '../placement/replayed-load.js';

const BACKENDS = 84;
/** Time at which back ends turn slow or a burst starts. */
const ONSET_MS = 6_000;
const REPLAY_MS = 14_000;
/** Time by which the daemons should have detected the outliers. */
const DETECTED_MS = ONSET_MS + 2_000;
/** A request that takes longer than this is late. */
const LATE_AFTER_MS = 400;

/**
 * Load like that of a lift operator: 790 requests a second, most of them on persistent flows. 27% of the slots are
 * busy.
 */
const CALM_LOAD: LoadSimulationParameters = {
  balancers: 28,
  backends: BACKENDS,
  newFlowsPerSecond: 175,
  persistentFlows: 900,
  pauseMs: 1_400,
  meanServiceTimeMs: 58,
  serviceTimeFactorOf: () => 1,
  seed: 1,
};

function runSimulation(overrides: Partial<LoadSimulationParameters>): LoadSimulation {
  const load = new LoadSimulation({ ...CALM_LOAD, ...overrides });
  load.run(REPLAY_MS);
  return load;
}

/**
 * Share of late requests among those that a daemon can place: requests on new flows, sent after the detection of slow
 * back ends and 2 s before the end, so that all could be answered.
 */
function lateShareOfPlaceable(load: LoadSimulation): number {
  const placeable = load.requests.filter(
    ({ isOnNewFlow, sentAtMs }) => isOnNewFlow && sentAtMs >= DETECTED_MS && sentAtMs < REPLAY_MS - 2_000,
  );
  return placeable.filter(({ durationMs }) => durationMs > LATE_AFTER_MS).length / placeable.length;
}

const rateFactorAt = (nowMs: number): number => (nowMs >= ONSET_MS && nowMs < ONSET_MS + 3_000 ? 1.7 : 1);

for (const balancers of [4, 28, 146]) {
  test(`detection cuts late requests to a third: a fifth of the back ends 5 times slower in a burst, ${balancers} daemons`, (t) => {
    const overrides: Partial<LoadSimulationParameters> = {
      balancers,
      rateFactorAt,
      serviceTimeFactorOf: (backend, nowMs) => (backend % 5 === 0 && nowMs >= ONSET_MS ? 5 : 1),
    };
    const lateWithoutDetection = lateShareOfPlaceable(
      runSimulation({ ...overrides, switchedOff: ['outlier-detection'] }),
    );
    const late = lateShareOfPlaceable(runSimulation(overrides));
    t.log({ lateWithoutDetection, late });
    t.true(
      late <= lateWithoutDetection / 3,
      `${late} of the placeable requests late, ${lateWithoutDetection} without`,
    );
  });
}

test('detection cuts late requests to a third: one back end in ten never answers', (t) => {
  const overrides: Partial<LoadSimulationParameters> = {
    serviceTimeFactorOf: (backend, nowMs) => (backend % 10 === 0 && nowMs >= ONSET_MS ? Infinity : 1),
  };
  const lateWithoutDetection = lateShareOfPlaceable(
    runSimulation({ ...overrides, switchedOff: ['outlier-detection'] }),
  );
  const late = lateShareOfPlaceable(runSimulation(overrides));
  t.log({ lateWithoutDetection, late });
  t.true(
    late <= lateWithoutDetection / 3,
    `${late} of the placeable requests late, ${lateWithoutDetection} without`,
  );
});

test('detection makes no more requests late while all gossip is lost for five seconds', (t) => {
  const overrides: Partial<LoadSimulationParameters> = {
    serviceTimeFactorOf: (backend, nowMs) => (backend % 5 === 0 && nowMs >= ONSET_MS ? 5 : 1),
    isGossipLostAt: (nowMs) => nowMs >= ONSET_MS - 500 && nowMs < ONSET_MS + 4_500,
  };
  const lateWithoutDetection = lateShareOfPlaceable(
    runSimulation({ ...overrides, switchedOff: ['outlier-detection'] }),
  );
  const late = lateShareOfPlaceable(runSimulation(overrides));
  t.log({ lateWithoutDetection, late });
  t.true(
    late <= lateWithoutDetection,
    `${late} of the placeable requests late, ${lateWithoutDetection} without`,
  );
});

test('neither a steady load nor a burst causes detections', (t) => {
  for (const load of [runSimulation({}), runSimulation({ rateFactorAt })]) {
    const detectionCounts = load.balancers.map(({ forwarder }) => forwarder.outliers.detections);
    t.true(Math.max(...detectionCounts) <= 1, `${detectionCounts.join(' ')}`);
  }
});

test('detection makes at most 2% more requests late while the whole service is overloaded', (t) => {
  const overrides: Partial<LoadSimulationParameters> = { rateFactorAt: (nowMs) => 1.8 * rateFactorAt(nowMs) };
  const loadWithoutDetection = runSimulation({ ...overrides, switchedOff: ['outlier-detection'] });
  const load = runSimulation(overrides);
  const lateWithoutDetection = loadWithoutDetection.lateShare(ONSET_MS, ONSET_MS + 3_000, LATE_AFTER_MS);
  const late = load.lateShare(ONSET_MS, ONSET_MS + 3_000, LATE_AFTER_MS);
  t.log({ lateWithoutDetection, late });
  t.true(late <= lateWithoutDetection * 1.02, `${late} late, ${lateWithoutDetection} without`);
});

test('a back end that recovered gets at least a third of the average number of new flows', (t) => {
  const load = runSimulation({
    serviceTimeFactorOf: (backend, nowMs) => (backend === 7 && nowMs >= 5_000 && nowMs < 6_500 ? 8 : 1),
  });
  const recoveredMs = REPLAY_MS - 2_500;
  const placed = load.requests.filter(({ isOnNewFlow, sentAtMs }) => isOnNewFlow && sentAtMs >= recoveredMs);
  const placedAtRecovered = placed.filter(({ backend }) => backend === 7).length;
  t.true(
    placedAtRecovered >= placed.length / BACKENDS / 3,
    `${placedAtRecovered} of ${placed.length} at one of ${BACKENDS}`,
  );
});
