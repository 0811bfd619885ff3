/**
 * Deterministic simulation of placement: keepers that share the openings of one service, flows with random
 * lifetimes, back ends that report their load late, and faults on demand. It runs the real policies on a virtual
 * clock; no network, no wall time.
 */
import { VirtualClock } from '../../common/clock.js';
import { jitter, seededRandom, type RandomSource } from '../../common/random.js';
import type { BackendHealth, HealthFeed } from '../health/types.js';
import type { EffectiveBackend, EffectiveService } from '../../settings/types.js';
import { ImbalanceRecorder } from './balance-recorder.js';
import {
  BALANCE_SIMULATION_DEFAULTS,
  type BalanceSimulationOptions,
  type BalanceSimulationResult,
} from './balance-simulation-options.js';
import { createPlacementPolicy, type CountingPolicy } from './create-policy.js';
import { simulatedBackend, simulatedService, simulatedZone } from './simulated-service.js';

const SAMPLE_INTERVAL_MS = 100;
const MAX_CONNECTIONS = 100_000;
const INITIAL_WARMUP = 0.1;
const EVEN_SHARE = 0.95;
const MS_PER_SECOND = 1_000;
const REPORT_JITTER = 0.2;
const TWO_POW_32 = 0x1_0000_0000;
const SERVICE = simulatedService('simulation/service', {});

/** Runs one simulation; equal options give equal results. */
export function runBalanceSimulation(
  options: Partial<BalanceSimulationOptions> = {},
): BalanceSimulationResult {
  return new BalanceSimulation({ ...BALANCE_SIMULATION_DEFAULTS, ...options }).run();
}

interface Keeper {
  readonly policy: CountingPolicy;
  readonly zone: string;
  readonly ownFlows: Map<number, number>;
  readonly reports: Map<number, { load: number; atMs: number }>;
  readonly health: HealthFeed;
}

class BalanceSimulation {
  private readonly clock = new VirtualClock();
  private readonly random: RandomSource;
  private readonly keepers: Keeper[];
  private readonly totals = new Map<number, number>();
  private readonly recorder = new ImbalanceRecorder();
  private backends: EffectiveBackend[];
  private baseBackends: readonly EffectiveBackend[];
  private joiner: EffectiveBackend | undefined;
  private readonly joinerOpenings = new Map<number, number>();
  private millisecondsToEven: number | null = null;
  private openings = 0;
  private measured = { openings: 0, exceptions: 0, sameZone: 0 };

  constructor(private readonly options: BalanceSimulationOptions) {
    this.random = seededRandom(options.seed);
    this.backends = Array.from({ length: options.backends }, (_, index) => makeBackend(index));
    this.baseBackends = this.backends;
    this.keepers = Array.from({ length: options.keepers }, (_, index) => this.makeKeeper(index));
  }

  run(): BalanceSimulationResult {
    this.prefill();
    this.scheduleArrival();
    for (const backend of this.backends)
      this.scheduleReport(backend, this.random() * this.options.reportIntervalMs);
    if (this.options.join) this.clock.schedule(this.options.join.atMs, () => this.join());
    this.scheduleSample();
    this.clock.advance(this.options.durationMs);
    return this.result();
  }

  private get measuring(): boolean {
    return this.clock.now() >= this.options.durationMs / 2;
  }

  private makeKeeper(index: number): Keeper {
    const ownFlows = new Map<number, number>();
    const reports: Keeper['reports'] = new Map();
    const target = this.options.targetExceptionShare;
    const policy = createPlacementPolicy(this.options.mode, {
      clock: this.clock,
      random: seededRandom(this.options.seed * 1_000 + index),
      ...(target === undefined ? {} : { targetExceptionShare: () => target }),
    });
    const health: HealthFeed = {
      health: (backendId) => this.healthOf(backendId, reports),
      recordPassive: () => undefined,
    };
    return { policy, zone: simulatedZone(index), ownFlows, reports, health };
  }

  private healthOf(backendId: number, reports: Keeper['reports']): BackendHealth {
    const report = reports.get(backendId);
    return {
      backendId,
      condition: 'healthy',
      eligible: true,
      warmup: this.warmupOf(backendId),
      reportedLoad: report?.load,
      ...(report ? { reportedAtMs: report.atMs } : {}),
      evidence: [],
    };
  }

  private warmupOf(backendId: number): number {
    const { join } = this.options;
    if (!join || backendId !== this.joiner?.id) return 1;
    const elapsedShare = (this.clock.now() - join.atMs) / join.slowStartMs;
    return Math.min(1, INITIAL_WARMUP + (1 - INITIAL_WARMUP) * elapsedShare);
  }

  private prefill(): void {
    const flows = this.options.backends * this.options.flowsPerBackend;
    for (let index = 0; index < flows; index += 1) this.open();
  }

  private scheduleArrival(): void {
    const { flowsPerBackend, backends, meanLifetimeMs } = this.options;
    const meanGapMs = meanLifetimeMs / (flowsPerBackend * backends);
    this.clock.schedule(this.exponential(meanGapMs), () => {
      this.open();
      this.scheduleArrival();
    });
  }

  private open(): void {
    const keeper = this.keepers[Math.floor(this.random() * this.keepers.length)]!;
    const decision = keeper.policy.choose({
      fingerprint: { high: this.random32(), low: this.random32() },
      service: this.service(),
      baseBackends: this.baseBackends,
      exceptionsAllowed: true,
      load: { openFlows: (id) => keeper.ownFlows.get(id) ?? 0 },
      health: keeper.health,
      zone: keeper.zone,
    });
    if (decision.outcome === 'refuse') throw new Error('a simulated back end is always eligible');
    this.openings += 1;
    this.measure(decision.firstChoice, decision.backend.zone === keeper.zone);
    this.hold(keeper, decision.backend);
  }

  private measure(firstChoice: boolean, sameZone: boolean): void {
    if (!this.measuring) return;
    this.measured.openings += 1;
    if (!firstChoice) this.measured.exceptions += 1;
    if (sameZone) this.measured.sameZone += 1;
  }

  private hold(keeper: Keeper, backend: EffectiveBackend): void {
    add(keeper.ownFlows, backend.id, 1);
    add(this.totals, backend.id, 1);
    if (backend === this.joiner) this.countJoinerOpening();
    this.clock.schedule(this.exponential(this.options.meanLifetimeMs), () => {
      add(keeper.ownFlows, backend.id, -1);
      add(this.totals, backend.id, -1);
    });
  }

  private countJoinerOpening(): void {
    const second = Math.floor(this.clock.now() / MS_PER_SECOND);
    add(this.joinerOpenings, second, 1);
  }

  private scheduleReport(backend: EffectiveBackend, delayMs: number): void {
    this.clock.schedule(delayMs, () => {
      const load = this.reportOf(backend);
      const atMs = this.clock.now();
      for (const keeper of this.keepers) {
        const lagMs = jitter(this.options.reportLagMs, REPORT_JITTER, this.random);
        this.clock.schedule(lagMs, () => keeper.reports.set(backend.id, { load, atMs }));
      }
      this.scheduleReport(backend, jitter(this.options.reportIntervalMs, REPORT_JITTER, this.random));
    });
  }

  private reportOf(backend: EffectiveBackend): number {
    const { liar } = this.options;
    const real = (this.totals.get(backend.id) ?? 0) / MAX_CONNECTIONS;
    const lies = liar !== undefined && this.backends[liar.backend] === backend;
    return lies ? real * liar.factor : real;
  }

  private join(): void {
    const backend = makeBackend(this.backends.length);
    this.joiner = backend;
    this.backends = [...this.backends, backend];
    this.scheduleReport(backend, 0);
    const { rebaseAtMs, atMs } = this.options.join!;
    this.clock.schedule(rebaseAtMs - atMs, () => {
      this.baseBackends = this.backends;
    });
  }

  private scheduleSample(): void {
    this.clock.schedule(SAMPLE_INTERVAL_MS, () => {
      const counts = this.backends.map(({ id }) => this.totals.get(id) ?? 0);
      if (this.measuring) this.recorder.sample(counts);
      this.watchJoiner(counts);
      this.scheduleSample();
    });
  }

  private watchJoiner(counts: readonly number[]): void {
    if (!this.joiner || this.millisecondsToEven !== null) return;
    const mean = counts.reduce((sum, count) => sum + count, 0) / counts.length;
    if ((this.totals.get(this.joiner.id) ?? 0) < mean * EVEN_SHARE) return;
    this.millisecondsToEven = this.clock.now() - this.options.join!.atMs;
  }

  private result(): BalanceSimulationResult {
    const { mode, seed, keepers, flowsPerBackend, join } = this.options;
    const { openings, exceptions, sameZone } = this.measured;
    return {
      mode,
      seed,
      keepers,
      flowsPerBackend,
      openings: this.openings,
      ...this.recorder.result(),
      exceptionShare: exceptions / openings,
      sameZoneShare: sameZone / openings,
      peakOpeningsOfJoiner: join ? Math.max(0, ...this.joinerOpenings.values()) : null,
      millisecondsToEven: this.millisecondsToEven,
    };
  }

  private service(): EffectiveService {
    return { ...SERVICE, zonePreference: this.options.zonePreference, backends: this.backends };
  }

  private exponential(meanMs: number): number {
    return -meanMs * Math.log(1 - this.random());
  }

  private random32(): number {
    return Math.floor(this.random() * TWO_POW_32);
  }
}

function add(counts: Map<number, number>, id: number, change: number): void {
  counts.set(id, (counts.get(id) ?? 0) + change);
}

function makeBackend(index: number): EffectiveBackend {
  const host = '127.0.0.1';
  return simulatedBackend(`simulation/service/backend-${index}`, {
    zone: simulatedZone(index),
    endpoint: { host, port: 10_000 + index },
    health: { host, port: 20_000 + index },
    maxConnections: MAX_CONNECTIONS,
  });
}
