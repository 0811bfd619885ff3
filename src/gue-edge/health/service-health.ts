/**
 * Health of one service: forms the beliefs about its back ends, applies the rules that hold for them together,
 * judges their reported loads, and publishes the result.
 *
 * Owns the beliefs and the published health. Relies on the vote table for what others say, on the flow keeper for
 * its own counts of flows, and on its owner to call `evaluate` when time alone changes a belief.
 */
import { formatEndpoint } from '../../common/types.js';
import type { RandomSource } from '../../common/random.js';
import type { EventFields, EventLog } from '../../observability/event.js';
import type { LoadView } from '../placement/types.js';
import type { EffectiveService } from '../../settings/types.js';
import { BackendBelief } from './backend-belief.js';
import { CONTRADICTION_CONFIRM_MS, PASSIVE_FAILURE_THRESHOLD } from './constants.js';
import { describeBelief } from './evidence.js';
import { HEALTH_EVENTS } from './events.js';
import { countingVotes } from './probe-verdict-rule.js';
import { judgeLoads, newestLoad, type LoadObservation, type LoadTrust } from './load-trust-rule.js';
import { ejectionsOverCap, judgePanic } from './service-rules.js';
import type { BackendHealth, HealthEvidence } from './types.js';
import type { ReportedLoad, VoteTable } from './votes.js';

/** What a service's health is made with. */
interface ServiceHealthOptions {
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly load: LoadView;
  readonly table: VoteTable;
  /** True for another member whose passive evidence counts: one that keeps flows and is not leaving. */
  readonly isWitness: (memberHash: number) => boolean;
  /** Hashes of the assigned probers of a back end. */
  readonly probers: (backendId: number) => readonly number[];
  /** Name of a member by its hash, for evidence. */
  readonly memberName: (memberHash: number) => string;
}

/** Health of one service. */
export class ServiceHealth {
  readonly beliefs = new Map<number, BackendBelief>();
  private readonly published = new Map<number, BackendHealth>();
  private readonly trust = new Map<number, LoadTrust>();
  /** Monotonic ms since when a report is contradicted; Infinity once the event is written. */
  private readonly contradictedSince = new Map<number, number>();
  private readonly capped = new Set<number>();
  private panic = false;
  private dirty = true;

  constructor(
    private service: EffectiveService,
    private readonly options: ServiceHealthOptions,
  ) {}

  /** True when this very service is configured; services are immutable. */
  isConfiguredAs(service: EffectiveService): boolean {
    return this.service === service && this.beliefs.size === service.backends.length;
  }

  /** Takes over new settings; added back ends begin with slow start unless `warm`. */
  configure(service: EffectiveService, nowMs: number, warm: boolean): void {
    this.service = service;
    const wanted = new Set(service.backends.map(({ id }) => id));
    for (const id of this.beliefs.keys()) {
      if (!wanted.has(id)) this.forget(id);
    }
    for (const backend of service.backends) {
      const known = this.beliefs.get(backend.id);
      if (known) {
        known.backend = backend;
        known.policy = service.healthPolicy;
        continue;
      }
      const belief = new BackendBelief(backend, service.healthPolicy, this.options.random);
      if (!warm) belief.beginSlowStart(nowMs);
      this.beliefs.set(backend.id, belief);
    }
    this.dirty = true;
  }

  /** Something was learned: the next read evaluates anew. */
  markDirty(): void {
    this.dirty = true;
  }

  /** True when something was learned or some belief changes with time alone. */
  needsEvaluation(nowMs: number): boolean {
    if (this.dirty) return true;
    for (const sinceMs of this.contradictedSince.values()) {
      if (nowMs - sinceMs >= CONTRADICTION_CONFIRM_MS) return true;
    }
    for (const belief of this.beliefs.values()) {
      if (belief.isMoving(nowMs)) return true;
    }
    return false;
  }

  /** The published belief; evaluates first when something changed. */
  health(backendId: number, nowMs: number): BackendHealth | undefined {
    if (this.dirty) this.evaluate(nowMs);
    return this.published.get(backendId);
  }

  /** True while every back end that does not drain is used because too few are healthy. */
  get inPanic(): boolean {
    return this.panic;
  }

  /** Forms all beliefs anew and publishes them. */
  evaluate(nowMs: number): void {
    this.dirty = false;
    for (const [id, belief] of this.beliefs) {
      const votes = countingVotes(this.options.table.votesOn(id), this.options.probers(id));
      const remoteFailures = this.options.table.remoteFailures(id, this.options.isWitness);
      belief.evaluate({ votes, remoteFailures, nowMs });
    }
    this.updateCap();
    this.updatePanic();
    const loads = this.judgeReports(nowMs);
    for (const [id, belief] of this.beliefs) this.publish(id, belief, loads.get(id), nowMs);
  }

  private forget(id: number): void {
    this.beliefs.delete(id);
    this.published.delete(id);
    this.trust.delete(id);
    this.contradictedSince.delete(id);
    this.capped.delete(id);
  }

  private updateCap(): void {
    const backends = [...this.beliefs].map(([id, { condition, ejectedSinceMs }]) => ({
      id,
      condition,
      ejectedSinceMs,
    }));
    const over = ejectionsOverCap(backends, this.service.healthPolicy.maxEjectedShare);
    for (const id of over) {
      if (!this.capped.has(id)) this.emit('ejectionCapped', id);
    }
    this.capped.clear();
    for (const id of over) this.capped.add(id);
  }

  private isUsable(id: number, belief: BackendBelief): boolean {
    return belief.usable || this.capped.has(id);
  }

  private updatePanic(): void {
    const inUse = [...this.beliefs].filter(([, belief]) => belief.condition !== 'draining');
    const { panic, usableShare } = judgePanic({
      inPanic: this.panic,
      inUse: inUse.length,
      usable: inUse.filter(([id, belief]) => this.isUsable(id, belief)).length,
      panicShare: this.service.healthPolicy.panicShare,
    });
    if (panic !== this.panic) {
      const event = panic ? HEALTH_EVENTS.panicStarted : HEALTH_EVENTS.panicEnded;
      this.options.events.emit(event, { service: this.service.name, healthyShare: usableShare });
    }
    this.panic = panic;
  }

  private judgeReports(nowMs: number): Map<number, ReportedLoad | undefined> {
    const reports = new Map<number, ReportedLoad | undefined>();
    const observations = [...this.beliefs].map(([backendId, belief]) => {
      const report = newestLoad(this.options.table.votesOn(backendId));
      reports.set(backendId, report);
      const ownFlows = this.options.load.openFlows(backendId);
      const failing =
        belief.passive.failures(nowMs) >= PASSIVE_FAILURE_THRESHOLD || belief.condition === 'ejected';
      return { backendId, report, ownFlows, failing };
    });
    const judged = judgeLoads(observations, nowMs);
    for (const observation of observations) {
      const id = observation.backendId;
      const trust = judged.get(id)!;
      const unconfirmed = trust === 'contradicted' && !this.isLasting(observation, nowMs);
      this.trust.set(id, unconfirmed ? 'trusted' : trust);
      if (trust !== 'contradicted') this.contradictedSince.delete(id);
    }
    return reports;
  }

  /** True once the contradiction of now has lasted; writes the event when it has. */
  private isLasting({ backendId: id, report, ownFlows }: LoadObservation, nowMs: number): boolean {
    const sinceMs = this.contradictedSince.get(id) ?? nowMs;
    if (sinceMs === Infinity) return true;
    const lasting = nowMs - sinceMs >= CONTRADICTION_CONFIRM_MS;
    this.contradictedSince.set(id, lasting ? Infinity : sinceMs);
    if (lasting) {
      const reportAgeMs = report && Math.round(nowMs - report.sampledAtMs);
      this.emit('loadDistrusted', id, { reportedFlows: report?.openFlows, reportAgeMs, ownFlows });
    }
    return lasting;
  }

  private publish(id: number, belief: BackendBelief, report: ReportedLoad | undefined, nowMs: number): void {
    const before = this.published.get(id);
    const next = this.compose(id, belief, report, nowMs);
    this.published.set(id, next);
    if (before) this.emitTransition(id, before, next, belief);
  }

  private compose(
    id: number,
    belief: BackendBelief,
    report: ReportedLoad | undefined,
    nowMs: number,
  ): BackendHealth {
    const rescued = this.panic && belief.condition !== 'draining';
    const trust = this.trust.get(id) ?? 'missing';
    const capped = this.capped.has(id);
    const usable = this.isUsable(id, belief);
    const describe = (): readonly HealthEvidence[] =>
      describeBelief({
        belief,
        votes: [...this.options.table.votesOn(id)],
        memberName: this.options.memberName,
        report,
        trust,
        ownFlows: this.options.load.openFlows(id),
        capped,
        panic: rescued,
        nowMs,
      });
    const trusted = report && trust === 'trusted' ? report : undefined;
    return {
      backendId: id,
      condition: belief.condition,
      eligible: usable || rescued,
      warmup: rescued && !usable ? 1 : belief.warmup,
      reportedLoad: trusted && loadShare(trusted, belief.backend.maxConnections),
      ...(trusted ? { reportedAtMs: trusted.sampledAtMs } : {}),
      // Read by operators only, so it is written down when it is asked for.
      get evidence() {
        return describe();
      },
    };
  }

  private emitTransition(
    id: number,
    before: BackendHealth,
    next: BackendHealth,
    belief: BackendBelief,
  ): void {
    if (before.condition === next.condition) return;
    if (next.condition === 'unhealthy') {
      this.emit(belief.conflictSinceMs === undefined ? 'backendUnhealthy' : 'conflictingEvidence', id);
    }
    if (next.condition === 'ejected') this.emit('backendEjected', id);
    const recovered = before.condition === 'unhealthy' || before.condition === 'ejected';
    if (next.condition === 'healthy' && recovered) this.emit('backendHealthy', id);
  }

  private emit(name: keyof typeof HEALTH_EVENTS, backendId: number, fields: EventFields = {}): void {
    const backend = this.beliefs.get(backendId)?.backend;
    this.options.events.emit(HEALTH_EVENTS[name], {
      backend: backend?.name,
      endpoint: backend && formatEndpoint(backend.endpoint),
      ...fields,
    });
  }
}

/** Open flows over capacity; at least 1 when the back end itself says that it is full. */
function loadShare(report: ReportedLoad, maxConnections: number): number {
  const share = report.openFlows / maxConnections;
  return report.openFlows >= report.capacity ? Math.max(1, share) : Math.min(1, share);
}
