import test from 'ava';
import fc from 'fast-check';
import { VirtualClock } from '../../common/clock.js';
import { hashString } from '../../common/hash.js';
import { seededRandom } from '../../common/random.js';
import type { BackendHealth } from '../health/types.js';
import { UNLIMITED_SERVICE, type EffectiveBackend, type EffectiveService } from '../../settings/types.js';
import { BoundedLoadPolicy } from './bounded-load-policy.js';
import { createPlacementPolicy, PLACEMENT_MODES } from './create-policy.js';
import { UnknownPlacementModeError } from './errors.js';
import type { PlacementMode, PlacementRequest } from './types.js';
import { firstChoice, weightedRendezvous } from './weighted-rendezvous.js';

function backend(number: number, changes: Partial<EffectiveBackend> = {}): EffectiveBackend {
  const name = `site/service/backend-${number}`;
  const endpoint = { host: '127.0.0.1', port: 1_000 + number };
  const zone = `zone-${number % 3}`;
  const fixed = { weight: 1, maxConnections: 2_000, slots: 2, draining: false };
  return { name, id: hashString(name), zone, endpoint, health: endpoint, ...fixed, ...changes };
}

const BACKENDS = Array.from({ length: 10 }, (_, number) => backend(number));

const SERVICE: EffectiveService = {
  name: 'site/service',
  id: 1,
  site: 'site',
  address: { host: '127.0.0.1', port: 80 },
  unknownFlow: 'drop',
  idleTimeoutMs: 1_000,
  zonePreference: 0,
  limits: UNLIMITED_SERVICE,
  healthPolicy: {
    probeIntervalMs: 1_000,
    probeTimeoutMs: 500,
    unhealthyThreshold: 2,
    healthyThreshold: 2,
    maxEjectedShare: 0.3,
    panicShare: 0.3,
    slowStartMs: 10_000,
  },
  backends: BACKENDS,
};

interface Situation {
  readonly backends?: readonly EffectiveBackend[];
  readonly base?: readonly EffectiveBackend[];
  readonly own?: ReadonlyMap<number, number>;
  readonly health?: ReadonlyMap<number, Partial<BackendHealth>>;
  readonly request?: Partial<PlacementRequest>;
}

const HEALTHY = {
  condition: 'healthy',
  eligible: true,
  warmup: 1,
  reportedLoad: undefined,
  evidence: [],
} as const;

function request(seed: number, situation: Situation = {}): PlacementRequest {
  const random = seededRandom(seed);
  const half = (): number => Math.floor(random() * 2 ** 32);
  return {
    fingerprint: { high: half(), low: half() },
    service: { ...SERVICE, backends: situation.backends ?? BACKENDS },
    baseBackends: situation.base ?? BACKENDS,
    exceptionsAllowed: true,
    load: { openFlows: (id) => situation.own?.get(id) ?? 0 },
    health: {
      health: (backendId) => ({ backendId, ...HEALTHY, ...situation.health?.get(backendId) }),
      recordPassive: () => undefined,
    },
    zone: 'zone-0',
    ...situation.request,
  };
}

const options = () => ({ clock: new VirtualClock(), random: seededRandom(3) });
const ids = (backends: readonly EffectiveBackend[]): number[] => backends.map(({ id }) => id);

test('weighted rendezvous: the order of the list does not matter and one removal moves only its own flows', (t) => {
  const half = fc.integer({ min: 0, max: 0xffff_ffff });
  fc.assert(
    fc.property(half, half, fc.integer({ min: 0, max: 9 }), (high, low, removed) => {
      const ranked = weightedRendezvous({ high, low }, BACKENDS, 10);
      const reversed = weightedRendezvous({ high, low }, [...BACKENDS].reverse(), 10);
      const rest = BACKENDS.filter((_entry, index) => index !== removed);
      const without = ranked.filter((entry) => entry !== BACKENDS[removed]);
      return (
        ids(ranked).join() === ids(reversed).join() &&
        firstChoice({ high, low }, BACKENDS) === ranked[0] &&
        ids(weightedRendezvous({ high, low }, rest, 9)).join() === ids(without).join()
      );
    }),
    { seed: 5, numRuns: 500 },
  );
  t.is(firstChoice({ high: 1, low: 2 }, []), undefined);
});

test('first choices follow the weights', (t) => {
  const weighted = [backend(0, { weight: 1 }), backend(1, { weight: 2 }), backend(2, { weight: 5 })];
  const counts = new Map<number, number>();
  const random = seededRandom(9);
  const flows = 40_000;
  for (let flow = 0; flow < flows; flow += 1) {
    const fingerprint = { high: Math.floor(random() * 2 ** 32), low: Math.floor(random() * 2 ** 32) };
    const { id } = firstChoice(fingerprint, weighted)!;
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  for (const { id, weight } of weighted) {
    t.true(Math.abs(counts.get(id)! / flows - weight / 8) < 0.01, `weight ${weight}: ${counts.get(id)}`);
  }
});

/** The first choice of request 1 in the full set. */
const FIRST = firstChoice(request(1).fingerprint, BACKENDS)!;
const even = (count: number): Map<number, number> => new Map(ids(BACKENDS).map((id) => [id, count]));

const BOUNDED: readonly { name: string; situation: Situation; first: boolean | 'refused' }[] = [
  { name: 'nothing open', situation: {}, first: true },
  { name: 'all even', situation: { own: even(30) }, first: true },
  { name: 'the first a little above', situation: { own: even(30).set(FIRST.id, 31) }, first: true },
  { name: 'the first clearly above', situation: { own: even(30).set(FIRST.id, 40) }, first: false },
  {
    name: 'the first not eligible',
    situation: { health: new Map([[FIRST.id, { eligible: false }]]) },
    first: false,
  },
  { name: 'the first already tried', situation: { request: { exclude: new Set([FIRST.id]) } }, first: false },
  {
    name: 'the first draining',
    situation: {
      backends: BACKENDS.map((entry) => (entry === FIRST ? { ...entry, draining: true } : entry)),
    },
    first: false,
  },
  {
    name: 'the first removed from the service',
    situation: { backends: BACKENDS.filter((entry) => entry !== FIRST) },
    first: false,
  },
  {
    name: 'the first full by own count',
    situation: { own: even(2_000).set(ids(BACKENDS)[0]!, 1_999) },
    first: false,
  },
  {
    name: 'the first full by its report',
    situation: { health: new Map([[FIRST.id, { reportedLoad: 1 }]]) },
    first: false,
  },
  {
    name: 'the first warming up and above its small share',
    situation: { own: even(30).set(FIRST.id, 12), health: new Map([[FIRST.id, { warmup: 0.1 }]]) },
    first: false,
  },
  {
    name: 'the first above, no exceptions allowed',
    situation: { own: even(30).set(FIRST.id, 90), request: { exceptionsAllowed: false } },
    first: true,
  },
  {
    name: 'the first not eligible, no exceptions allowed',
    situation: { health: new Map([[FIRST.id, { eligible: false }]]), request: { exceptionsAllowed: false } },
    first: 'refused',
  },
  {
    name: 'none eligible',
    situation: { health: new Map(ids(BACKENDS).map((id) => [id, { eligible: false }])) },
    first: 'refused',
  },
  {
    name: 'the first only reported to be far above by itself: a report alone moves little',
    situation: {
      own: even(2),
      health: new Map(
        ids(BACKENDS).map((id) => [id, { reportedLoad: id === FIRST.id ? 0.9 : 0.1, reportedAtMs: 0 }]),
      ),
    },
    first: true,
  },
];
for (const { name, situation, first } of BOUNDED) {
  test(`bounded load: ${name}`, (t) => {
    const decision = createPlacementPolicy('bounded-load', options()).choose(request(1, situation));
    if (decision.outcome === 'refuse') {
      t.is(first, 'refused');
      t.is(decision.reason, 'no-eligible-backend');
      return;
    }
    t.is(decision.firstChoice, first as boolean);
    t.is(decision.backend.id === FIRST.id, decision.firstChoice);
  });
}

test('the base set decides what a first choice is, and the endpoint in force is used', (t) => {
  const moved = BACKENDS.map((entry) => ({ ...entry, endpoint: { host: '127.0.0.2', port: 9 } }));
  const decision = createPlacementPolicy('bounded-load', options()).choose(
    request(1, { backends: [...moved, backend(50, { weight: 1_000 })], base: BACKENDS }),
  );
  if (decision.outcome !== 'place') return t.fail();
  t.true(decision.firstChoice);
  t.deepEqual(decision.backend.endpoint, { host: '127.0.0.2', port: 9 });
});

test('an old report has no weight', (t) => {
  const clock = new VirtualClock();
  const policy = new BoundedLoadPolicy({ clock, random: seededRandom(1) });
  const reports = new Map(
    ids(BACKENDS).map((id) => [id, { reportedLoad: id === FIRST.id ? 0.3 : 0.1, reportedAtMs: 0 }]),
  );
  const situation = { own: even(100), health: reports };
  const fresh = policy.choose(request(1, situation));
  clock.advance(61_000);
  const old = new BoundedLoadPolicy({ clock, random: seededRandom(1) }).choose(request(1, situation));
  t.deepEqual(
    [fresh, old].map((decision) => decision.outcome === 'place' && decision.firstChoice),
    [false, true],
  );
});

test('a zone is preferred among candidates below their share only', (t) => {
  const count = (zonePreference: number): { same: number; exceptions: number } => {
    const policy = createPlacementPolicy('bounded-load', options());
    const own = new Map(ids(BACKENDS).map((id, index) => [id, index % 2 === 0 ? 28 : 32]));
    const found = { same: 0, exceptions: 0 };
    for (let seed = 1; seed <= 2_000; seed += 1) {
      const asked = request(seed, { own });
      const decision = policy.choose({ ...asked, service: { ...asked.service, zonePreference } });
      if (decision.outcome !== 'place') continue;
      if (decision.backend.zone === 'zone-0') found.same += 1;
      if (!decision.firstChoice) {
        found.exceptions += 1;
        t.is(own.get(decision.backend.id), 28);
      }
    }
    return found;
  };
  const off = count(0);
  const on = count(1);
  t.true(on.same > off.same, JSON.stringify({ off, on }));
});

test('a zone is not preferred when its back ends are above their share', (t) => {
  const flows = [30, 32, 25];
  const own = new Map(ids(BACKENDS).map((id, index) => [id, flows[index % 3]!]));
  for (let seed = 1; seed <= 500; seed += 1) {
    const asked = request(seed, { own });
    const policy = createPlacementPolicy('bounded-load', options());
    const decision = policy.choose({ ...asked, service: { ...asked.service, zonePreference: 1 } });
    t.true(decision.outcome === 'place' && decision.firstChoice);
  }
});

const MODES: readonly { mode: PlacementMode; expected: number | 'any' }[] = [
  { mode: 'rendezvous', expected: FIRST.id },
  { mode: 'local-table', expected: BACKENDS[4]!.id },
  { mode: 'least-reported-load', expected: BACKENDS[6]!.id },
  { mode: 'random', expected: 'any' },
];
for (const { mode, expected } of MODES) {
  test(`baseline ${mode} chooses as its name says`, (t) => {
    const own = even(10).set(BACKENDS[4]!.id, 9);
    const health = new Map(
      ids(BACKENDS).map((id, index) => [id, { reportedLoad: index === 6 ? 0.01 : 0.5 }]),
    );
    const policy = createPlacementPolicy(mode, options());
    const chosen = new Set<number>();
    for (let round = 0; round < 200; round += 1) {
      const decision = policy.choose(request(1, { own, health }));
      if (decision.outcome === 'place') chosen.add(decision.backend.id);
    }
    if (expected === 'any') t.is(chosen.size, 10);
    else t.deepEqual([...chosen], [expected]);
    t.is(policy.statistics().placed, 200);
  });
}

test('an unknown mode is an error that names the modes', (t) => {
  const error = t.throws(() => createPlacementPolicy('nearest' as PlacementMode, options()), {
    instanceOf: UnknownPlacementModeError,
  });
  for (const mode of PLACEMENT_MODES) t.true(error!.message.includes(mode));
});

test('the counter of refusals and the event of a service without back ends', (t) => {
  const seen: number[] = [];
  const policy = createPlacementPolicy('bounded-load', {
    ...options(),
    events: { emit: ({ number }) => seen.push(number) },
  });
  const none = new Map(ids(BACKENDS).map((id) => [id, { eligible: false }]));
  for (const health of [none, none, new Map<number, Partial<BackendHealth>>()])
    policy.choose(request(1, { health }));
  t.deepEqual(seen, [1300, 1301]);
  t.is(policy.statistics().refusedNoEligibleBackend, 2);
});

test('more exceptions than planned are reported once until the share is back', (t) => {
  const seen: number[] = [];
  const events = { emit: ({ number }: { number: number }) => seen.push(number) };
  const policy = createPlacementPolicy('bounded-load', { ...options(), events });
  const halfOut = new Map(ids(BACKENDS).map((id, index) => [id, { eligible: index % 2 === 0 }]));
  const open = (count: number, health?: Situation['health']): void => {
    for (let seed = 1; seed <= count; seed += 1) policy.choose(request(seed, health ? { health } : {}));
  };
  open(1_000);
  t.deepEqual(seen, []);
  open(2_000, halfOut);
  t.deepEqual(seen, [1302]);
  open(4_000);
  open(2_000, halfOut);
  t.deepEqual(seen, [1302, 1302]);
});
