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
  readonly dead: DeadBackends;
  readonly superseded: SupersededBackends;
  readonly coldAdmission: ColdAdmission;
  readonly answers: AnswerTracker;
  readonly outliers: OutlierDetector;
  readonly openings: OpeningHandler;
  readonly held: HeldOpenings;
  readonly midFlow: MidFlowHandler;
  readonly housekeeping: Housekeeping;
}

/** Handles what arrives at the edge, and reports of other balancers. Call `start` once. */
export class CookieForwarder implements CookieEdgeHandler {
  readonly statistics: CookieStatistics;
  readonly outliers: OutlierDetector;
  /** How long back ends took for requests of which this balancer saw both ends. */
  readonly answers: AnswerTracker;

  /** Back ends whose service no table has named so far. */
  private readonly unnamed = new Set<KnownBackend>();

  constructor(private readonly options: CookieForwarderOptions) {
    const { statistics, outliers, answers, knowledge } = options;
    this.statistics = statistics;
    this.outliers = outliers;
    this.answers = answers;
    for (const backend of knowledge.backends.all()) this.registerBackend(backend);
    knowledge.backends.onAdd((backend) => this.registerBackend(backend));
    knowledge.backends.onForget((backend) => this.forgetBackend(backend));
    knowledge.subscribe(({ topic }) => {
      if (topic === 'routes') this.registerNamed();
    });
  }

  /** Back ends ejected since start. */
  get ejections(): number {
    return this.options.states.ejections;
  }

  /** Probes of back ends that may be dead since start. */
  get probes(): number {
    return this.options.dead.probes;
  }

  /** Openings held now. */
  get heldOpenings(): number {
    return this.options.held.size;
  }

  /** Flows remembered now. */
  get flowCount(): number {
    return this.options.cache.size;
  }

  /** Applies an ejection by another balancer at `atMs`; returns false for one that was known or is outdated. */
  applyEjectionReport(backendId: string, atMs: number): boolean {
    const { isOn, knowledge, states, dead } = this.options;
    if (!isOn('shared-ejections')) return false;
    const backend = knowledge.backends.get(backendId);
    if (!backend) return false;
    const state = states.of(backend);
    const isNew = state.applyEjectionReport(atMs);
    if (isNew) dead.probeIfInDoubt(state);
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
    signal.addEventListener('abort', () => this.options.held.stop());
  }

  onDrop(reason: EdgeDropReason): void {
    this.options.pauses.recordRead('edge');
    this.statistics.countDrop(reason);
  }

  onPacket(packet: CookiePacket, waitedMs = 0): void {
    const { clock, pauses, cache, openings, midFlow } = this.options;
    const nowMs = clock.now();
    pauses.recordRead('edge');
    this.statistics.packets += 1;
    const flow = cache.find(packet);
    if (packet.syn && !packet.ack) openings.onSyn(packet, flow, { nowMs, waitedMs });
    else midFlow.onMidFlow(packet, flow, nowMs);
  }

  /**
   * A back end whose service no table names yet may be the entry of another writer: it takes no address from another,
   * whose flows would be reset.
   */
  private registerBackend(backend: KnownBackend): void {
    const { cookies, superseded, knowledge } = this.options;
    cookies.add(backend);
    if (knowledge.routes()?.namesService(backend.record.service)) superseded.registerBackend(backend);
    else this.unnamed.add(backend);
  }

  /** Registers the back ends whose service is named by now. */
  private registerNamed(): void {
    const { superseded, knowledge } = this.options;
    for (const backend of this.unnamed) {
      if (!knowledge.routes()?.namesService(backend.record.service)) continue;
      this.unnamed.delete(backend);
      superseded.registerBackend(backend);
    }
  }

  private forgetBackend(backend: KnownBackend): void {
    const { dead, superseded, cookies, states, coldAdmission, cache } = this.options;
    cache.forgetBackend(states.of(backend));
    this.unnamed.delete(backend);
    dead.forget(backend);
    superseded.forget(backend);
    cookies.remove(backend);
    states.forget(backend);
    coldAdmission.forget(backend);
    this.outliers.forget(backend.id);
  }
}
