/** Loads at which back ends turn slow or mute, replayed with and without outlier detection. */
import test from 'ava';
import { ReplayedLoad, type ReplayedDay } from '../placement/replayed-load.js';

const BACKENDS = 84;
const TROUBLE_MS = 6_000;
const END_MS = 14_000;
/** From then on, verdicts have had time to be reached. */
const KNOWN_MS = TROUBLE_MS + 2_000;
const AIM_MS = 400;

/** The work of a lift operator: 790 requests a second, most on flows that are kept; 27% of the slots are busy. */
const CALM: ReplayedDay = {
  balancers: 28,
  backends: BACKENDS,
  freshPerSecond: 175,
  keptFlows: 900,
  pauseMs: 1_400,
  workMs: 58,
  slownessOf: () => 1,
  seed: 1,
};

function played(change: Partial<ReplayedDay>): ReplayedLoad {
  const load = new ReplayedLoad({ ...CALM, ...change });
  load.run(END_MS);
  return load;
}

/** Late requests on flows of their own while back ends are slow and that is known: those that a balancer can place. */
function lateFresh(load: ReplayedLoad): number {
  const fresh = load.requests.filter(
    ({ isFresh, sentAtMs }) => isFresh && sentAtMs >= KNOWN_MS && sentAtMs < END_MS - 2_000,
  );
  return fresh.filter(({ tookMs }) => tookMs > AIM_MS).length / fresh.length;
}

const burstAt = (nowMs: number): number => (nowMs >= TROUBLE_MS && nowMs < TROUBLE_MS + 3_000 ? 1.7 : 1);

for (const balancers of [4, 28, 146]) {
  test(`a fifth of the back ends five times slower in a burst, ${balancers} balancers`, (t) => {
    const change: Partial<ReplayedDay> = {
      balancers,
      burstAt,
      slownessOf: (backend, nowMs) => (backend % 5 === 0 && nowMs >= TROUBLE_MS ? 5 : 1),
    };
    const without = lateFresh(played({ ...change, switchedOff: ['outlier-detection'] }));
    const late = lateFresh(played(change));
    t.log({ without, late });
    t.true(late <= without / 3, `${late} of the placeable requests late, ${without} without`);
  });
}

test('one back end in ten never answers', (t) => {
  const change: Partial<ReplayedDay> = {
    slownessOf: (backend, nowMs) => (backend % 10 === 0 && nowMs >= TROUBLE_MS ? Infinity : 1),
  };
  const without = lateFresh(played({ ...change, switchedOff: ['outlier-detection'] }));
  const late = lateFresh(played(change));
  t.log({ without, late });
  t.true(late <= without / 3, `${late} of the placeable requests late, ${without} without`);
});

test('nothing that balancers tell each other arrives for five seconds: no worse than without', (t) => {
  const change: Partial<ReplayedDay> = {
    slownessOf: (backend, nowMs) => (backend % 5 === 0 && nowMs >= TROUBLE_MS ? 5 : 1),
    gossipLostAt: (nowMs) => nowMs >= TROUBLE_MS - 500 && nowMs < TROUBLE_MS + 4_500,
  };
  const without = lateFresh(played({ ...change, switchedOff: ['outlier-detection'] }));
  const late = lateFresh(played(change));
  t.log({ without, late });
  t.true(late <= without, `${late} of the placeable requests late, ${without} without`);
});

test('a burst alone, and a calm day, make no outliers', (t) => {
  for (const load of [played({}), played({ burstAt })]) {
    const verdicts = load.balancers.map(({ forwarder }) => forwarder.outliers.detections);
    t.true(Math.max(...verdicts) <= 1, `${verdicts.join(' ')}`);
  }
});

test('while a service is crowded as a whole, avoiding the busiest back ends makes nobody later', (t) => {
  const change: Partial<ReplayedDay> = { burstAt: (nowMs) => 1.8 * burstAt(nowMs) };
  const without = played({ ...change, switchedOff: ['outlier-detection'] });
  const load = played(change);
  const lateWithout = without.lateShare(TROUBLE_MS, TROUBLE_MS + 3_000, AIM_MS);
  const late = load.lateShare(TROUBLE_MS, TROUBLE_MS + 3_000, AIM_MS);
  t.log({ lateWithout, late });
  t.true(late <= lateWithout * 1.02, `${late} late, ${lateWithout} without`);
});

test('back ends that are well again get as many flows as the others', (t) => {
  const load = played({
    slownessOf: (backend, nowMs) => (backend === 7 && nowMs >= 5_000 && nowMs < 6_500 ? 8 : 1),
  });
  const lastMs = END_MS - 2_500;
  const placed = load.requests.filter(({ isFresh, sentAtMs }) => isFresh && sentAtMs >= lastMs);
  const there = placed.filter(({ backend }) => backend === 7).length;
  t.true(there >= placed.length / BACKENDS / 3, `${there} of ${placed.length} at one of ${BACKENDS}`);
});
