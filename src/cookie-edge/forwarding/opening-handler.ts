/**
 * Handles SYNs: carries out, counts and logs the outcomes of `syn-rule.ts`, `retransmission-rule.ts` and
 * `placement/new-flow-rule.ts`. Keeps no state of its own. Uses the flow cache to distinguish retransmissions from new
 * flows, and `opening-lookup` to find the flows that a peer placed.
 */
import type { CookiePacket } from '../../fabric/cookie-edge.js';
import type { RecoveryAdmission } from '../admission/index.js';
import type { LocalBackendState, PendingOpenings } from '../backend-health/index.js';
import type { LookupOutcome, OpeningLookup, YieldedOpenings } from '../opening-lookup/index.js';
import type { NewFlowOutcome, NewFlowRule, Placement } from '../placement/index.js';
import type { Route } from '../routing/index.js';
import type { CookieStatistics } from './cookie-statistics.js';
import type { Flow, FlowCache } from './flow-cache.js';
import type { FlowFailures } from './flow-failures.js';
import { maxHoldMs, type Arrival, type HeldOpenings } from './held-openings.js';
import type { FlowsInProgress } from './flows-in-progress.js';
import type { OpeningLog } from './opening-log.js';
import type { PacketSender } from './packet-sender.js';
import { decideRetransmission, mayLeaveFirstBackend } from './retransmission-rule.js';
import type { SharedHandshakes } from './shared-handshakes.js';
import { classifySyn } from './syn-rule.js';
import { isLastTransmission, sinceFirstSynMs } from './syn-schedule.js';

/** Dependencies of `OpeningHandler`. */
interface OpeningHandlerOptions {
  readonly newFlowRule: NewFlowRule;
  /** Returns true if a packet that is read at this time may have waited through a pause of the process. */
  readonly mayHaveWaited: (nowMs: number) => boolean;
  readonly cache: FlowCache;
  readonly heldOpenings: HeldOpenings;
  /** Asks peers about retransmitted SYNs. Undefined if they are not asked. */
  readonly openingLookup?: OpeningLookup;
  readonly yieldedOpenings: YieldedOpenings;
  /** Returns the state of the back end with this id; undefined if it is not known. */
  readonly backendStateOf: (backendId: string) => LocalBackendState | undefined;
  readonly flowsInProgress: FlowsInProgress;
  /** Decides which openings are deferred during a recovery. Undefined if none are. */
  readonly recoveryAdmission?: RecoveryAdmission;
  readonly pendingOpenings: PendingOpenings;
  readonly failures: FlowFailures;
  readonly sender: PacketSender;
  readonly statistics: CookieStatistics;
  readonly openingLog: OpeningLog;
  readonly sharedHandshakes: SharedHandshakes;
}

/** Label of stale SYNs in the metric of dropped packets. */
const STALE_SYN_LABEL = 'old-opening';
const SUPERSEDED_SYN_LABEL = 'superseded-opening';

/** Applies the rules about SYNs. Times are monotonic ms. */
export class OpeningHandler {
  constructor(private readonly options: OpeningHandlerOptions) {}

  /** Handles a SYN. `flow` is the cached flow with its addresses, if any. */
  onSyn(packet: CookiePacket, flow: Flow | undefined, arrival: Arrival): void {
    const { nowMs } = arrival;
    const route = this.options.newFlowRule.routeOf(packet);
    const kind = classifySyn({
      retransmissionCount: packet.retransmissionCount,
      phase: flow?.phase,
      hasRoute: route !== undefined,
      mayHaveWaited: this.options.mayHaveWaited(nowMs),
      isSuperseded: this.isSuperseded(packet, nowMs),
    });
    if (kind === 'stale') return this.dropStale(packet);
    if (kind === 'superseded') return this.dropSuperseded(packet);
    if (kind === 'retransmission' && flow) return this.onRetransmission(packet, flow, nowMs);
    if (flow) this.removeFlow(flow);
    else if (this.isHandledByLookup(packet, route, arrival)) return;
    if (route && this.shouldDefer(route, packet, arrival)) {
      return this.options.heldOpenings.hold(packet, { route, reason: 'yields' }, arrival);
    }
    this.applyOutcome(this.options.newFlowRule.decide(packet, nowMs), packet, arrival);
  }

  /** Returns true if a peer decides on the opening, or its caller has sent a packet of the open flow meanwhile. */
  private isSuperseded(packet: CookiePacket, nowMs: number): boolean {
    const { yieldedOpenings, sharedHandshakes } = this.options;
    if (yieldedOpenings.hasYielded(packet, packet.retransmissionCount, nowMs)) return true;
    return packet.retransmissionCount > 0 && sharedHandshakes.isFindingBackend(packet);
  }

  /** Asks peers whether one of them placed the opening. Returns true if this daemon need not decide on the SYN now. */
  private isHandledByLookup(
    packet: CookiePacket,
    route: Route | undefined,
    { nowMs, waitedMs }: Arrival,
  ): boolean {
    if (!route) return false;
    const remainingHoldMs = maxHoldMs(packet.retransmissionCount) - waitedMs;
    const outcome = this.options.openingLookup?.lookUp({
      ...packet,
      acknowledgement: undefined,
      waitedMs,
      remainingHoldMs,
    });
    if (outcome?.kind === 'found') return this.followPlacement(packet, outcome, nowMs);
    return outcome?.kind === 'pending';
  }

  /** Sends a SYN to the back end at which a peer placed the opening. Returns false if this daemon does not know it. */
  private followPlacement(
    packet: CookiePacket,
    { backendId }: Extract<LookupOutcome, { kind: 'found' }>,
    nowMs: number,
  ): boolean {
    const { backendStateOf, cache, pendingOpenings, sender, heldOpenings } = this.options;
    const state = backendStateOf(backendId);
    if (!state) return false;
    heldOpenings.remove(packet);
    const flow = cache.add(packet, state, 'opening', nowMs);
    if (!flow) sender.forwardSynTo(state.backend);
    else {
      pendingOpenings.add(flow);
      this.forwardRetransmission(packet, flow, nowMs);
    }
    return true;
  }

  private removeFlow(flow: Flow): void {
    this.options.pendingOpenings.stopAwaiting(flow);
    this.options.cache.remove(flow);
  }

  private shouldDefer(
    route: Route,
    { retransmissionCount }: CookiePacket,
    { nowMs, waitedMs }: Arrival,
  ): boolean {
    const isLastChance =
      isLastTransmission(retransmissionCount) && waitedMs >= maxHoldMs(retransmissionCount);
    const caller = { waitedMs: waitedMs + sinceFirstSynMs(retransmissionCount), isLastChance };
    return this.options.recoveryAdmission?.shouldDefer(route, caller, nowMs) ?? false;
  }

  private dropStale(packet: CookiePacket): void {
    this.options.statistics.countDrop(STALE_SYN_LABEL);
    this.options.openingLog.logStaleSyn(packet);
  }

  private dropSuperseded(packet: CookiePacket): void {
    this.options.heldOpenings.remove(packet);
    this.options.statistics.countDrop(SUPERSEDED_SYN_LABEL);
    this.options.openingLog.logSupersededSyn(packet);
  }

  private applyOutcome(outcome: NewFlowOutcome, packet: CookiePacket, arrival: Arrival): void {
    const { statistics, sender, openingLog, heldOpenings } = this.options;
    const { nowMs } = arrival;
    if (outcome.kind === 'hold') {
      this.options.recoveryAdmission?.startRecovery(nowMs);
      return heldOpenings.hold(packet, { route: outcome.route, reason: 'no-backend' }, arrival);
    }
    heldOpenings.remove(packet);
    if (outcome.kind === 'drop') return statistics.countDrop(outcome.reason);
    if (outcome.kind === 'refuse') {
      statistics.countRefusal(outcome.reason);
      openingLog.logRefusal(packet, outcome.reason, outcome.route, nowMs);
      return sender.sendReset();
    }
    const { placement } = outcome;
    this.openFlow(packet, placement, nowMs);
    openingLog.logPlacement(packet, outcome, arrival.waitedMs);
    sender.forwardSynTo(placement.state.backend);
  }

  /**
   * Records a new flow. If the cache is full, the flow is not cached; its packets are still forwarded by their cookie.
   */
  private openFlow(packet: CookiePacket, placement: Placement, nowMs: number): void {
    const { newFlowRule, cache, pendingOpenings, statistics, recoveryAdmission, flowsInProgress } =
      this.options;
    this.options.sharedHandshakes.forgetEarlierFlow(packet);
    newFlowRule.recordPlacement(placement, nowMs);
    const flow = cache.add(packet, placement.state, 'opening', nowMs);
    if (flow) pendingOpenings.add(flow);
    if (flow && recoveryAdmission?.isRecovering(nowMs)) flowsInProgress.add(flow);
    statistics.opened += 1;
  }

  private onRetransmission(packet: CookiePacket, flow: Flow, nowMs: number): void {
    const { pendingOpenings, failures } = this.options;
    flow.lastPacketAtMs = nowMs;
    if (flow.phase === 'opening') {
      pendingOpenings.stopAwaiting(flow);
      failures.recordFailure(flow, flow.openedAtMs, nowMs);
    }
    this.forwardRetransmission(packet, flow, nowMs);
  }

  /** Sends a retransmitted SYN to the back end of its flow, or moves the flow to another one. */
  private forwardRetransmission(packet: CookiePacket, flow: Flow, nowMs: number): void {
    const { newFlowRule, sender, openingLog } = this.options;
    const hasLeft = newFlowRule.hasLeftRoute(packet, flow.backendState.backend, nowMs);
    if (mayLeaveFirstBackend(flow.phase, flow.backendState.liveness(nowMs), hasLeft)) {
      const alternative = newFlowRule.chooseForRetransmission(packet, nowMs);
      if (alternative) newFlowRule.recordPlacement(alternative, nowMs);
      const outcome = decideRetransmission(flow.backendState, alternative);
      if (alternative && outcome === 'another-back-end') {
        this.moveToAlternative(packet, flow, alternative, nowMs);
        return sender.forwardSynTo(flow.backendState.backend);
      }
    }
    openingLog.logStay(packet, flow, hasLeft);
    sender.forwardSynTo(flow.backendState.backend);
  }

  private moveToAlternative(packet: CookiePacket, flow: Flow, placement: Placement, nowMs: number): void {
    const { openingLog, statistics, pendingOpenings, cache } = this.options;
    openingLog.logMove(packet, flow, placement);
    statistics.placedAnew += 1;
    pendingOpenings.stopAwaiting(flow);
    cache.moveToBackend(flow, placement.state);
    flow.contest = 'contested';
    flow.openedAtMs = nowMs;
    flow.isFailureCounted = false;
    pendingOpenings.add(flow);
  }
}
