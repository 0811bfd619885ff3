/** Conditions under which a back end gets no new flow, whatever its load and health. */
import test from 'ava';
import { VirtualClock } from '../../common/clock.js';
import { seededRandom } from '../../common/random.js';
import { LocalBackendState } from '../backend-health/local-backend-state.js';
import {
  backends,
  leaveOpeningsUnanswered,
  ForwarderHarness,
  type HarnessOptions,
} from '../forwarding/cookie-test-support.js';
import type { KnownBackend, Route, RoutedBackend } from '../routing/index.js';
import { backendAt, SERVICE_ADDRESS, SERVICE_PORT } from '../routing/routing-test-support.js';
import { stateExclusionOf, type RecordExclusion, type StateExclusion } from './backend-eligibility.js';
import { ColdAdmission } from './cold-admission.js';
import { BackendEligibility } from './index.js';

const COLD_MS = 2_000;

/** Back ends `a`, `b`, ... in the given zones. */
function backendsInZones(...zones: readonly string[]): RoutedBackend[] {
  return backends(zones.length).map((backend, index) => ({ ...backend, zone: zones[index] as string }));
}

function createHarness(options: HarnessOptions): ForwarderHarness {
  return new ForwarderHarness(new VirtualClock(), 1, [], options);
}

/** Opens `count` flows and returns the back end of each; undefined for a reset. */
function openNewFlows(harness: ForwarderHarness, count: number, fromPort = 50_000): (string | undefined)[] {
  return Array.from({ length: count }, (_unused, index) => harness.open(fromPort + index)?.backend);
}

test('no new flow goes to a cordoned zone until the cordon is removed', (t) => {
  const harness = new ForwarderHarness().applyRecords(backendsInZones('north', 'south', 'south'));
  harness.cordon(['north'], 11);
  t.false(openNewFlows(harness, 30).includes('a'));
  harness.cordon([], 12);
  t.true(openNewFlows(harness, 30, 51_000).includes('a'));
});

test('open flows to a back end of a cordoned zone continue', (t) => {
  const harness = new ForwarderHarness().applyRecords(backendsInZones('north'));
  const { cookie } = harness.establish(40_002);
  harness.cordon(['north'], 11);
  t.is(harness.sendMidFlow(40_002, cookie)?.backend, 'a');
});

test('a retransmitted SYN reaches the back end of the first SYN even if its zone was cordoned since', (t) => {
  const harness = new ForwarderHarness().applyRecords(backendsInZones('north', 'south'));
  const first = harness.open(40_002)?.backend;
  harness.cordon([first === 'a' ? 'north' : 'south'], 11);
  t.is(harness.open(40_002, 1)?.backend, first);
});

/** Name, and preparation of a harness in which no back end outside of the cordoned zone can serve. */
const REMAINING_BACKEND_CASES: readonly (readonly [string, (harness: ForwarderHarness) => void])[] = [
  ['nothing', (harness) => void harness.applyRecords(backendsInZones('north', 'north'))],
  [
    'a draining back end',
    (harness) =>
      void harness.applyRecords([
        ...backendsInZones('north'),
        backendAt('z', 2, { zone: 'south', draining: true }),
      ]),
  ],
  [
    'a back end in the cordoned zone whose record may only have lapsed',
    (harness) => {
      harness.applyRecords(backendsInZones('north'));
      harness.establish(40_002);
      harness.removeRecord('a', 11, true);
    },
  ],
  [
    'an ejected back end in the cordoned zone',
    (harness) => {
      harness.applyRecords(backendsInZones('north', 'north'));
      leaveOpeningsUnanswered(harness, 'a', 3, 41_000);
      harness.clock.advance(5_000);
    },
  ],
];

for (const [name, prepare] of REMAINING_BACKEND_CASES) {
  test(`a caller is refused at once if a cordon leaves ${name}`, (t) => {
    const harness = new ForwarderHarness();
    prepare(harness);
    harness.cordon(['north'], 12);
    const sent = harness.open(49_000);
    t.truthy(sent);
    t.is(sent?.backend, undefined, 'a reset');
    const refusal = harness.logged.find(({ event }) => event.number === 1251);
    t.regex(String(refusal?.fields['excluded']), /"cordoned":/);
  });
}

test('a traffic split uses only services that have back ends outside of cordoned zones', (t) => {
  const route = {
    name: 'split',
    address: SERVICE_ADDRESS,
    port: SERVICE_PORT,
    targets: [
      { service: 'alpha', weight: 1 },
      { service: 'beta', weight: 1 },
    ],
  };
  const beta = backendAt('b', 2, { service: 'beta', zone: 'south' });
  const harness = new ForwarderHarness().applyRecords([...backendsInZones('north'), beta], {
    routes: [route],
  });
  harness.cordon(['north'], 11);
  t.deepEqual(new Set(openNewFlows(harness, 20)), new Set(['b']));
});

const REGIONS = { north: 'east-coast', south: 'west-coast', middle: 'inland' };

/** Allowed regions of a route; zones of the back ends `a`, `b`, ...; the back ends that get the route's flows. */
const REGION_CASES: readonly (readonly [
  readonly string[] | undefined,
  readonly string[],
  readonly string[],
])[] = [
  [undefined, ['north', 'south'], ['a', 'b']],
  [['east-coast'], ['north', 'south'], ['a']],
  [
    ['west-coast', 'inland'],
    ['north', 'south', 'middle'],
    ['b', 'c'],
  ],
  [['inland'], ['north', 'south'], []],
  [['east-coast'], ['north', 'nowhere'], ['a']],
];

for (const [allowedRegions, zones, expected] of REGION_CASES) {
  test(`a route of ${allowedRegions ?? 'all regions'} is served from ${zones} by ${expected.join() || 'nobody'}`, (t) => {
    const harness = createHarness({ regions: REGIONS });
    const targets = [{ service: 'alpha', weight: 1 }];
    const route = { name: 'r', address: SERVICE_ADDRESS, port: SERVICE_PORT, targets, allowedRegions };
    harness.applyRecords(backendsInZones(...zones), { routes: [route] });
    const chosen = openNewFlows(harness, 30).filter((backend) => backend !== undefined);
    t.deepEqual([...new Set(chosen)].sort(), [...expected]);
  });
}

/** Returns a harness with `warmCount` warm back ends and the back end `cold`, whose rate in slow start is `rate`. */
function harnessWithColdBackend(options: HarnessOptions, warmCount: number, rate: number): ForwarderHarness {
  const services = [{ name: 'alpha', maxConnections: 2_000, coldRequestsPerSecond: rate }];
  const cold = backendAt('cold', 5, { coldMs: COLD_MS });
  return createHarness(options).applyRecords([...backends(warmCount), cold], { services });
}

test('a cold back end gets new flows from its owners only, and from all balancers once it is warm', (t) => {
  const owner = harnessWithColdBackend({ isOwner: () => true }, 3, 5);
  const other = harnessWithColdBackend({ isOwner: () => false }, 3, 5);
  t.true(openNewFlows(owner, 20).includes('cold'));
  t.false(openNewFlows(other, 20).includes('cold'));
  other.clock.advance(COLD_MS);
  t.true(openNewFlows(other, 20, 51_000).includes('cold'));
});

test('a caller is refused at once if the only back end is cold and its rate is used up', (t) => {
  const harness = harnessWithColdBackend({}, 0, 1);
  const chosen = openNewFlows(harness, 10);
  t.deepEqual(chosen.slice(0, 2), ['cold', undefined]);
  t.is(chosen.filter((backend) => backend === 'cold').length, 1);
});

test('a cold back end without a rate is not limited', (t) => {
  const cold = backendAt('cold', 5, { coldMs: COLD_MS });
  const harness = createHarness({ isOwner: () => false }).applyRecords([...backends(1), cold]);
  t.true(openNewFlows(harness, 10).includes('cold'));
});

/** Rates of a cold back end, in requests per second. */
const RATES = [0.5, 1, 5, 15];
const OVERAGE = 1.5;
const SLACK = 5;

for (const rate of RATES) {
  test(`a cold back end of ${rate} requests/s never exceeds its limit in any second, with two owners in each of two views`, (t) => {
    const random = seededRandom(rate);
    const clock = new VirtualClock();
    const harness = new ForwarderHarness(clock).applyRecords([backendAt('cold', 5, { coldMs: 60_000 })]);
    const [cold] = [...harness.knowledge.backends.all()];
    const owners = Array.from(
      { length: 4 },
      () => new ColdAdmission({ overage: OVERAGE, slack: SLACK, isOwner: () => true }),
    );
    const admittedAtMs: number[] = [];
    for (let nowMs = 0; nowMs < 30_000; nowMs += 5) {
      for (const owner of owners) {
        if (random() < 0.3 || !owner.canAdmit(cold!, rate, nowMs)) continue;
        owner.recordPlacement(cold!, nowMs);
        admittedAtMs.push(nowMs);
      }
    }
    const maxPerSecond = Math.max(
      ...admittedAtMs.map((from) => admittedAtMs.filter((at) => at >= from && at < from + 1_000).length),
    );
    t.true(maxPerSecond <= rate * OVERAGE + SLACK, `${maxPerSecond} in a second`);
    t.true(admittedAtMs.length >= rate * 10, `${admittedAtMs.length} in 30 s`);
  });
}

/** Name, changes of the back end and of its record, expected exclusion: the first one in the order of the rule. */
const RECORD_CASES: readonly (readonly [
  string,
  Partial<KnownBackend>,
  Partial<RoutedBackend>,
  RecordExclusion?,
])[] = [
  ['plain', {}, {}, undefined],
  ['departed', { departed: true }, {}, 'departed'],
  ['lapsed', { departed: true, lapsed: true }, {}, undefined],
  ['draining', {}, { draining: true }, 'draining'],
  ['draining and cordoned', {}, { draining: true, zone: 'south' }, 'draining'],
  ['cordoned', {}, { zone: 'south' }, 'cordoned'],
  ['in another region', {}, { zone: 'middle' }, 'region'],
  ['in no known region', {}, { zone: 'nowhere' }, 'region'],
  ['cold and not owned by this balancer', { coldUntilMs: COLD_MS }, {}, 'cold'],
  ['no longer cold', { coldUntilMs: 0 }, {}, undefined],
];

for (const [name, change, record, expected] of RECORD_CASES) {
  test(`a back end that is ${name} is ${expected ?? 'not'} excluded by its record`, (t) => {
    const services = [{ name: 'alpha', maxConnections: 10, coldRequestsPerSecond: 1 }];
    const harness = createHarness({}).applyRecords([], { services });
    harness.cordon(['south'], 11);
    const { knowledge } = harness;
    const backend: KnownBackend = {
      id: 'a',
      record: backendAt('a', 1, record),
      departed: false,
      lapsed: false,
      removedRevision: -1,
      departedAtMs: undefined,
      coldUntilMs: 0,
      ...change,
    };
    const state = new LocalBackendState(backend);
    const eligibility = new BackendEligibility({
      knowledge,
      coldAdmission: new ColdAdmission({ overage: 1.5, slack: 5, isOwner: () => false }),
      stateOf: () => state,
      regionOf: (zone) => (REGIONS as Readonly<Record<string, string>>)[zone],
    });
    const route: Route = {
      name: 'r',
      address: SERVICE_ADDRESS,
      port: SERVICE_PORT,
      targets: [{ service: 'alpha', weight: 1 }],
      allowedRegions: ['east-coast'],
    };
    t.is(eligibility.recordExclusionOf(backend, route, 1), expected);
    t.is(eligibility.eligibleStateOf(backend, route, 10, 1), expected ? undefined : state);
  });
}

/** Open flows, end of a dead verdict in ms, expected exclusion at 1,000 ms with a maximum of two connections. */
const STATE_CASES: readonly (readonly [number, number, StateExclusion?])[] = [
  [0, 0, undefined],
  [1, 1_000, undefined],
  [2, 0, 'full'],
  [2, 2_000, 'full'],
  [1, 1_001, 'dead'],
];

for (const [openFlows, deadUntilMs, expected] of STATE_CASES) {
  test(`a back end with ${openFlows} flows, dead until ${deadUntilMs} ms, is ${expected ?? 'not'} excluded by its state`, (t) => {
    const state = new LocalBackendState({ id: 'a' } as KnownBackend);
    state.openFlows = openFlows;
    state.recordDeadVerdict('refused', 0, deadUntilMs);
    t.is(stateExclusionOf(state, 2, 1_000), expected);
  });
}
