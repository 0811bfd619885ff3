/**
 * Simulates the imbalance in a large fleet: 195 balancers, 164 back ends and 726 callers whose flows last 20 s on
 * average. Each balancer has three or four flows, too few to show which back ends are busy. The load of the back ends
 * is measured and reported as the daemons do it.
 */
import test from 'ava';
import { VirtualClock } from '../../common/clock.js';
import { seededRandom, type RandomSource } from '../../common/random.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { LocalBackendState } from '../backend-health/local-backend-state.js';
import { placementRequest } from '../forwarding/cookie-test-support.js';
import { CallRates } from '../load/call-rates.js';
import { LOAD_READ_INTERVAL_MS, REPORT_LIFETIME_READS } from '../load/constants.js';
import { LoadView } from '../load/index.js';
import { BackendRegistry, type KnownBackend } from '../routing/index.js';
import { backendAt } from '../routing/routing-test-support.js';
import { OpeningPlacement } from './opening-placement.js';

const BALANCERS = 195;
const BACKENDS = 164;
const CALLERS = 726;
const MEAN_FLOW_MS = 20_000;
const MEAN_CALL_INTERVAL_MS = 1_136;
const SIMULATION_MS = 36_000;
const STEP_MS = 100;
/** Time in ms from a measurement until all balancers have its report. */
const REPORT_DELAY_MS = 600;

interface Balancer {
  readonly placement: OpeningPlacement;
  readonly states: ReadonlyMap<KnownBackend, LocalBackendState>;
}

interface Caller {
  state: LocalBackendState | undefined;
  opensAtMs: number;
}

/** Conditions of one simulation. */
interface Scenario {
  readonly hasReports: boolean;
  /** Reports are lost after this time. */
  readonly reportsLostAfterMs?: number;
  /** All balancers lose their flow counts at this time, as in a restart. The load reports are kept. */
  readonly restartAtMs?: number;
}

function registerBackends(): KnownBackend[] {
  const registry = new BackendRegistry({
    clock: new VirtualClock(),
    events: SILENT_EVENT_LOG,
    retentionMs: 1_000,
  });
  const ids = Array.from({ length: BACKENDS }, (_, index) => `i-${index}`);
  ids.forEach((id, index) => registry.put(backendAt(id, index + 1), -1));
  return ids.map((id) => registry.get(id)!);
}

function createBalancers(backends: readonly KnownBackend[], loads: LoadView): Balancer[] {
  return Array.from({ length: BALANCERS }, () => ({
    placement: new OpeningPlacement({ zone: 'north', zoneMargin: 0, zoneLoadFactor: 1, loads }),
    states: new Map(backends.map((backend) => [backend, new LocalBackendState(backend)])),
  }));
}

function sampleExponential(mean: number, random: RandomSource): number {
  return -Math.log(1 - random()) * mean;
}

/** Runs a simulation; returns the calls of the busiest back end as a multiple of the mean. */
function maxToMeanCalls(scenario: Scenario, seed: number): number {
  const random = seededRandom(seed);
  const backends = registerBackends();
  const loads = new LoadView();
  let balancers = createBalancers(backends, loads);
  const calls = new Map(backends.map(({ id }) => [id, 0]));
  const callers = Array.from({ length: CALLERS }, (): Caller => ({
    state: undefined,
    opensAtMs: random() * 1_500,
  }));
  const rates = new CallRates();
  for (let nowMs = 0; nowMs < SIMULATION_MS; nowMs += STEP_MS) {
    if (nowMs === scenario.restartAtMs) balancers = createBalancers(backends, loads);
    for (const caller of callers) {
      if (caller.opensAtMs <= nowMs) reopenFlow(caller, nowMs, balancers, random);
      if (!caller.state || random() >= STEP_MS / MEAN_CALL_INTERVAL_MS) continue;
      const { id } = caller.state.backend;
      calls.set(id, (calls.get(id) ?? 0) + 1);
    }
    if (
      !scenario.hasReports ||
      nowMs % LOAD_READ_INTERVAL_MS !== 0 ||
      nowMs > (scenario.reportsLostAfterMs ?? SIMULATION_MS)
    )
      continue;
    rates.updateCounts(
      backends.map(({ id }) => ({ id, service: 'alpha', capacity: 2, calls: calls.get(id) ?? 0 })),
      nowMs,
    );
    const validMs = LOAD_READ_INTERVAL_MS * REPORT_LIFETIME_READS;
    loads.applyReport({
      page: 0,
      measuredAtMs: nowMs + REPORT_DELAY_MS,
      validMs,
      busy: rates.findBusyBackends(),
    });
  }
  const counts = [...calls.values()];
  return Math.max(...counts) / (counts.reduce((sum, count) => sum + count, 0) / BACKENDS);
}

function reopenFlow(
  caller: Caller,
  nowMs: number,
  balancers: readonly Balancer[],
  random: RandomSource,
): void {
  if (caller.state) caller.state.recordClosed(nowMs);
  const { placement, states } = balancers[Math.floor(random() * BALANCERS)] as Balancer;
  const flow = Math.floor(random() * 2 ** 32);
  const choice = placement.chooseBackend({ ...placementRequest(states, flow), nowMs });
  caller.state = choice!.state;
  caller.state.openFlows += 1;
  caller.opensAtMs = nowMs + sampleExponential(MEAN_FLOW_MS, random);
}

function medianMaxToMean(scenario: Scenario): number {
  const ratios = [1, 2, 3].map((seed) => maxToMeanCalls(scenario, seed));
  return ratios.sort((left, right) => left - right)[1] as number;
}

test('load reports reduce by 40 % or more what the busiest back end gets above the mean', (t) => {
  const without = medianMaxToMean({ hasReports: false });
  const reported = medianMaxToMean({ hasReports: true });
  t.log({ without, reported });
  t.true(reported - 1 <= (without - 1) * 0.6, `${without} without reports, ${reported} with them`);
});

test('lost reports cause at most 10 % more imbalance than no reports', (t) => {
  const without = medianMaxToMean({ hasReports: false });
  const lost = medianMaxToMean({ hasReports: true, reportsLostAfterMs: 6_000 });
  t.log({ without, lost });
  t.true(lost <= without * 1.1, `${without} without reports, ${lost} with lost ones`);
});

test('balancers that lost their flow counts in a restart still balance by load reports', (t) => {
  const without = medianMaxToMean({ hasReports: false, restartAtMs: 18_000 });
  const reported = medianMaxToMean({ hasReports: true, restartAtMs: 18_000 });
  t.log({ without, reported });
  t.true(reported - 1 <= (without - 1) * 0.7, `${without} without reports, ${reported} with them`);
});
