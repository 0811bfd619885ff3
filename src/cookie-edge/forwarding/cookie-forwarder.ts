/**
 * Forwards callers' packets on a cookie edge. A packet's cookie decides first, then this balancer's memory of the flow;
 * only a SYN of a flow that is not remembered is placed. Owns the registration of back ends in and out of the parts
 * that hold state of them; the parts are wired by `create-cookie-forwarder.ts`.
 */
import type { Clock } from '../../common/clock.js';
import type { MechanismCheck } from '../../common/mechanisms.js';
import type { PauseDetector } from '../../common/pause-detector.js';
import type { CookieEdgeHandler, CookiePacket } from '../../fabric/cookie-edge.js';
import type { EdgeDropReason } from '../../fabric/types.js';
import type { DeadBackends, LocalBackendStates, SupersededBackends } from '../backend-health/index.js';
import type { AnswerTracker, BadAnswerReport, OutlierDetector } from '../outliers/index.js';
import type { ColdAdmission } from '../placement/index.js';
import type { KnownBackend, RoutingKnowledge } from '../routing/index.js';
import type { CookieRegistry } from './cookie-registry.js';
import type { CookieStatistics } from './cookie-statistics.js';
import type { FlowCache } from './flow-cache.js';
import type { HeldOpenings } from './held-openings.js';
import type { Housekeeping } from './housekeeping.js';
import type { MidFlowHandler } from './mid-flow-handler.js';
import type { OpeningHandler } from './opening-handler.js';

/** The wired parts of a forwarder. */
interface CookieForwarderOptions {
  readonly clock: Clock;
  readonly pauses: PauseDetector;
  readonly isOn: MechanismCheck;
  readonly knowledge: RoutingKnowledge;
  readonly statistics: CookieStatistics;
  readonly cookies: CookieRegistry;
  readonly cache: FlowCache;
  readonly states: LocalBackendStates;
  readonly deadBackends: DeadBackends;
  readonly supersededBackends: SupersededBackends;
  readonly coldAdmission: ColdAdmission;
  readonly answerTracker: AnswerTracker;
  readonly outliers: OutlierDetector;
  readonly openingHandler: OpeningHandler;
  readonly heldOpenings: HeldOpenings;
  readonly midFlowHandler: MidFlowHandler;
  readonly housekeeping: Housekeeping;
}

/** Handles what arrives at the edge, and reports of other balancers. Call `start` once. */
export class CookieForwarder implements CookieEdgeHandler {
  readonly statistics: CookieStatistics;
  readonly outliers: OutlierDetector;
  /** How long back ends took for requests of which this balancer saw both ends. */
  readonly answers: AnswerTracker;

  /** Back ends whose service no table has named so far. */
  private readonly unroutedBackends = new Set<KnownBackend>();

  constructor(private readonly options: CookieForwarderOptions) {
    const { statistics, outliers, answerTracker: answers, knowledge } = options;
    this.statistics = statistics;
    this.outliers = outliers;
    this.answers = answers;
    for (const backend of knowledge.backends.all()) this.registerBackend(backend);
    knowledge.backends.onAdd((backend) => this.registerBackend(backend));
    knowledge.backends.onForget((backend) => this.removeBackend(backend));
    knowledge.subscribe(({ topic }) => {
      if (topic === 'routes') this.registerNewlyRouted();
    });
  }

  /** Back ends ejected since start. */
  get ejections(): number {
    return this.options.states.ejections;
  }

  /** Probes of back ends that may be dead since start. */
  get probes(): number {
    return this.options.deadBackends.probes;
  }

  /** Openings held now. */
  get heldOpenings(): number {
    return this.options.heldOpenings.size;
  }

  /** Flows remembered now. */
  get flowCount(): number {
    return this.options.cache.size;
  }

  /** Applies an ejection by another balancer at `atMs`; returns false for one that was known or is outdated. */
  applyEjectionReport(backendId: string, atMs: number): boolean {
    const { isOn, knowledge, states, deadBackends } = this.options;
    if (!isOn('shared-ejections')) return false;
    const backend = knowledge.backends.get(backendId);
    if (!backend) return false;
    const state = states.of(backend);
    const isNew = state.applyEjectionReport(atMs);
    if (isNew) deadBackends.probeIfInDoubt(state);
    return isNew;
  }

  /** Applies a bad answer that another balancer noticed; returns false for one that was known. */
  applyBadAnswerReport(report: BadAnswerReport): boolean {
    const { isOn, clock } = this.options;
    if (!isOn('outlier-detection')) return false;
    return this.outliers.applyReport(report, clock.now());
  }

  /** Runs the housekeeping until `signal` aborts. */
  start(signal: AbortSignal): void {
    this.options.housekeeping.start(signal);
    signal.addEventListener('abort', () => this.options.heldOpenings.stop());
  }

  onDrop(reason: EdgeDropReason): void {
    this.options.pauses.recordRead('edge');
    this.statistics.countDrop(reason);
  }

  onPacket(packet: CookiePacket, waitedMs = 0): void {
    const { clock, pauses, cache, openingHandler, midFlowHandler } = this.options;
    const nowMs = clock.now();
    pauses.recordRead('edge');
    this.statistics.packets += 1;
    const flow = cache.find(packet);
    if (packet.syn && !packet.ack) openingHandler.onSyn(packet, flow, { nowMs, waitedMs });
    else midFlowHandler.onMidFlowPacket(packet, flow, nowMs);
  }

  /**
   * A back end whose service no table names yet may be the entry of another writer: it takes no address from another,
   * whose flows would be reset.
   */
  private registerBackend(backend: KnownBackend): void {
    const { cookies, supersededBackends, knowledge } = this.options;
    cookies.add(backend);
    if (knowledge.routes()?.namesService(backend.record.service)) supersededBackends.registerBackend(backend);
    else this.unroutedBackends.add(backend);
  }

  /** Registers the back ends whose service is named by now. */
  private registerNewlyRouted(): void {
    const { supersededBackends, knowledge } = this.options;
    for (const backend of this.unroutedBackends) {
      if (!knowledge.routes()?.namesService(backend.record.service)) continue;
      this.unroutedBackends.delete(backend);
      supersededBackends.registerBackend(backend);
    }
  }

  private removeBackend(backend: KnownBackend): void {
    const { deadBackends, supersededBackends, cookies, states, coldAdmission, cache } = this.options;
    cache.removeFlowsAt(states.of(backend));
    this.unroutedBackends.delete(backend);
    deadBackends.forget(backend);
    supersededBackends.forget(backend);
    cookies.remove(backend);
    states.forget(backend);
    coldAdmission.forget(backend);
    this.outliers.forget(backend.id);
  }
}
