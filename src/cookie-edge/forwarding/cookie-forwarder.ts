/**
 * Forwards callers' packets on a cookie edge. The back end comes from the packet's cookie if that belongs to a known
 * back end, otherwise from the flow cache. Only a SYN without a cached flow is placed. Adds and removes back ends in
 * all components that keep state for them. `create-cookie-forwarder.ts` creates the components.
 */
import type { Clock } from '../../common/clock.js';
import type { MechanismCheck } from '../../common/mechanisms.js';
import type { PauseDetector } from '../../common/pause-detector.js';
import type { CookieEdgeHandler, CookiePacket } from '../../fabric/cookie-edge.js';
import type { EdgeDropReason } from '../../fabric/types.js';
import type { DeadBackends, LocalBackendStates, SupersededBackends } from '../backend-health/index.js';
import type { OpeningAnswer, OpeningLookup, OpeningQuery } from '../opening-lookup/index.js';
import type { AnswerTracker, BadAnswerReport, OutlierDetector } from '../outliers/index.js';
import type { ColdAdmission } from '../placement/index.js';
import type { KnownBackend, RoutingKnowledge } from '../routing/index.js';
import type { CookieRegistry } from './cookie-registry.js';
import type { CookieStatistics } from './cookie-statistics.js';
import type { FlowCache } from './flow-cache.js';
import type { HeldOpenings } from './held-openings.js';
import type { Housekeeping } from './housekeeping.js';
import type { MidFlowHandler } from './mid-flow-handler.js';
import type { OpeningQueries } from './opening-queries.js';
import type { OpeningHandler } from './opening-handler.js';
import type { SharedHandshakes } from './shared-handshakes.js';

/** Components of a forwarder. */
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
  readonly openingLookup?: OpeningLookup;
  readonly openingQueries: OpeningQueries;
  readonly sharedHandshakes: SharedHandshakes;
  readonly midFlowHandler: MidFlowHandler;
  readonly housekeeping: Housekeeping;
}

/** Handles packets from the edge and reports from peers. Call `start` once. */
export class CookieForwarder implements CookieEdgeHandler {
  readonly statistics: CookieStatistics;
  readonly outliers: OutlierDetector;
  /** Response times of back ends, for requests whose beginning and end this daemon saw. */
  readonly answers: AnswerTracker;

  /** Back ends whose service is not in the route table yet. */
  private readonly unroutedBackends = new Set<KnownBackend>();

  constructor(private readonly options: CookieForwarderOptions) {
    const { statistics, outliers, answerTracker: answers, knowledge } = options;
    this.statistics = statistics;
    this.outliers = outliers;
    this.answers = answers;
    for (const backend of knowledge.backends.all()) this.registerBackend(backend);
    knowledge.backends.onAdd((backend) => this.registerBackend(backend));
    knowledge.backends.onDiscard((backend) => this.removeBackend(backend));
    knowledge.subscribe(({ topic }) => {
      if (topic === 'routes') this.registerNewlyRouted();
    });
  }

  /** Number of ejections since start. */
  get ejections(): number {
    return this.options.states.ejections;
  }

  /** Number of probes sent since start to back ends that may be dead. */
  get probes(): number {
    return this.options.deadBackends.probesSent;
  }

  /** Number of openings held now. */
  get heldOpeningCount(): number {
    return this.options.heldOpenings.size;
  }

  /** Number of flows in the cache. */
  get flowCount(): number {
    return this.options.cache.size;
  }

  /** Applies a peer's ejection of a back end at `atMs`. Returns false if it was already known or is outdated. */
  applyEjectionReport(backendId: string, atMs: number): boolean {
    const { isOn, knowledge, states, deadBackends } = this.options;
    if (!isOn('shared-ejections')) return false;
    const backend = knowledge.backends.get(backendId);
    if (!backend) return false;
    const state = states.stateOf(backend);
    const isNew = state.applyEjectionReport(atMs);
    if (isNew) deadBackends.probeIfNeeded(state);
    return isNew;
  }

  /** Applies a bad answer that a peer detected. Returns false if it was already known. */
  applyBadAnswerReport(report: BadAnswerReport): boolean {
    const { isOn, clock } = this.options;
    if (!isOn('outlier-detection')) return false;
    return this.outliers.applyReport(report, clock.now());
  }

  /** Answers a peer that has received a retransmitted SYN. */
  answerOpeningQuery(query: OpeningQuery): OpeningAnswer {
    return this.options.openingQueries.answer(query);
  }

  /** Applies an answer or a handshake record of the peer with this key. */
  applyOpeningAnswer(answer: OpeningAnswer, peer: string): void {
    const { openingLookup, sharedHandshakes, clock } = this.options;
    if (answer.acknowledgement === undefined) openingLookup?.applyAnswer(answer, peer);
    else sharedHandshakes.applyRecord(answer, peer, clock.now());
  }

  /** Call when the daemon begins to stop. */
  handOver(): void {
    this.options.sharedHandshakes.handOver(this.options.clock.now());
  }

  /** Runs the housekeeping until `signal` aborts. */
  start(signal: AbortSignal): void {
    const { housekeeping, heldOpenings, openingLookup, sharedHandshakes } = this.options;
    housekeeping.start(signal);
    signal.addEventListener('abort', () => {
      heldOpenings.stop();
      openingLookup?.stop();
      sharedHandshakes.stop();
    });
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
    else midFlowHandler.onMidFlowPacket(packet, flow, nowMs, waitedMs);
  }

  /**
   * Registers a back end. One whose service is not in the route table yet may have been recorded by another writer. It
   * does not claim its address: that would reset the flows of the back end already using the address.
   */
  private registerBackend(backend: KnownBackend): void {
    const { cookies, supersededBackends, knowledge } = this.options;
    cookies.add(backend);
    if (knowledge.routes()?.namesService(backend.record.service)) supersededBackends.registerBackend(backend);
    else this.unroutedBackends.add(backend);
  }

  /** Completes the registration of back ends whose service has appeared in the route table. */
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
    cache.removeFlowsAt(states.stateOf(backend));
    this.unroutedBackends.delete(backend);
    deadBackends.removeBackend(backend);
    supersededBackends.removeBackend(backend);
    cookies.remove(backend);
    states.removeBackend(backend);
    coldAdmission.remove(backend);
    this.outliers.removeBackend(backend.id);
  }
}
