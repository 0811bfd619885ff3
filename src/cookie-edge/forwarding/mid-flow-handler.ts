/**
 * Handles packets other than SYNs: carries out, counts and logs the outcome of `mid-flow-rule.ts`. Keeps no state of
 * its own. Finds the packet's back end in the cookie registry or the flow cache; `FlowTracker` evaluates the packet.
 */
import type { CookiePacket } from '../../fabric/cookie-edge.js';
import type { EventLog } from '../../observability/event.js';
import type { LocalBackendStates } from '../backend-health/index.js';
import type { KnownBackend, RoutingKnowledge } from '../routing/index.js';
import { contestAfterPacket, mayBeOpenElsewhere } from './contest-rule.js';
import type { CookieRegistry } from './cookie-registry.js';
import type { CookieStatistics } from './cookie-statistics.js';
import { COOKIE_FLOW_EVENTS } from './events.js';
import { isNewData, type Flow, type FlowCache } from './flow-cache.js';
import type { FlowTracker } from './flow-tracker.js';
import { formatFlowId } from './flow-id.js';
import { handshakeEvidenceAfter } from './handshake-evidence.js';
import { backendOfPacket, decideContradiction, decideMidFlow, type CookieOutcome } from './mid-flow-rule.js';
import type { PacketSender } from './packet-sender.js';
import type { SharedHandshakes } from './shared-handshakes.js';

/** Dependencies of `MidFlowHandler`. */
interface MidFlowHandlerOptions {
  readonly events: EventLog;
  readonly knowledge: RoutingKnowledge;
  readonly cookies: CookieRegistry;
  readonly states: LocalBackendStates;
  readonly cache: FlowCache;
  readonly flowTracker: FlowTracker;
  readonly sender: PacketSender;
  readonly statistics: CookieStatistics;
  readonly sharedHandshakes: SharedHandshakes;
}

/** A packet whose cookie names another back end than its cached flow. */
interface Contradiction {
  readonly packet: CookiePacket;
  readonly cookieBackend: KnownBackend;
  readonly flow: Flow;
  readonly isOpeningCookie: boolean;
}

/** Forwards packets of open flows. Times are monotonic ms. */
export class MidFlowHandler {
  constructor(private readonly options: MidFlowHandlerOptions) {}

  /** Handles a packet other than a SYN. `flow` is the cached flow with its addresses, if any. */
  onMidFlowPacket(packet: CookiePacket, flow: Flow | undefined, nowMs: number, waitedMs: number): void {
    const { cookies, sharedHandshakes } = this.options;
    const cookieBackend = this.cookieBackendOf(packet);
    const isSeenHere = flow !== undefined && !mayBeOpenElsewhere(flow.contest, flow.phase);
    if (isSeenHere || !cookieBackend || !cookies.isOpeningCookie(packet.cookie, cookieBackend))
      return this.forward(packet, flow, cookieBackend, nowMs);
    const backend = flow
      ? sharedHandshakes.applyRecordOf(packet, cookieBackend, nowMs)
      : sharedHandshakes.findBackend(packet, cookieBackend, { nowMs, waitedMs });
    if (backend) this.forward(packet, flow, backend, nowMs);
  }

  /** `cookieBackend`: the back end that the cookie names, or at which the flow of an opening cookie opened. */
  private forward(
    packet: CookiePacket,
    flow: Flow | undefined,
    cookieBackend: KnownBackend | undefined,
    nowMs: number,
  ): void {
    const { flowTracker, sender, sharedHandshakes } = this.options;
    const cookieOutcome = this.decideCookie(packet, cookieBackend, flow);
    const validCookieBackend = cookieOutcome === 'overruled' ? undefined : cookieBackend;
    const backend = backendOfPacket(validCookieBackend, flow?.backendState.backend);
    const outcome = decideMidFlow(backend, this.isDead(backend, nowMs));
    if (!backend || outcome === 'drop') return this.dropUnknownCookie(packet);
    if (outcome === 'reset') return this.resetFlowAtDeadBackend(packet, flow, backend, nowMs);
    if (flow) flow.handshake = handshakeEvidenceAfter(flow, packet.acknowledgement, cookieOutcome);
    const trackedFlow = flow ?? this.adoptFlow(packet, backend, nowMs);
    if (trackedFlow) {
      flowTracker.trackPacket(packet, trackedFlow, backend, nowMs);
      this.updateContest(packet, trackedFlow, cookieOutcome);
      sharedHandshakes.shareIfOpen(packet, trackedFlow, nowMs);
    }
    sender.forwardTo(backend);
  }

  /** Notes what a packet's cookie shows about the placements of its flow. */
  private updateContest(packet: CookiePacket, flow: Flow, cookieOutcome: CookieOutcome): void {
    if (cookieOutcome === 'followed') flow.hasEstablishedCookie = false;
    if (!flow.hasEstablishedCookie && cookieOutcome !== 'overruled')
      flow.hasEstablishedCookie = packet.cookie === this.options.cookies.cookieOf(flow.backendState.backend);
    flow.contest = contestAfterPacket(flow.contest, cookieOutcome, flow.hasEstablishedCookie);
  }

  private cookieBackendOf({ cookie }: CookiePacket): KnownBackend | undefined {
    return cookie === 0 ? undefined : this.options.cookies.backendOf(cookie);
  }

  private isDead(backend: KnownBackend | undefined, nowMs: number): boolean {
    return backend !== undefined && this.options.states.stateOf(backend).isDead(nowMs);
  }

  private decideCookie(
    packet: CookiePacket,
    cookieBackend: KnownBackend | undefined,
    flow: Flow | undefined,
  ): CookieOutcome {
    if (!cookieBackend || !flow || cookieBackend === flow.backendState.backend) return 'agrees';
    const { acknowledgement, sequence, payloadBytes } = packet;
    const isOpeningCookie = this.options.cookies.isOpeningCookie(packet.cookie, cookieBackend);
    const repeatsData = payloadBytes > 0 && !isNewData(sequence, flow);
    const outcome = decideContradiction({ isOpeningCookie, acknowledgement, repeatsData }, flow);
    this.logContradiction(outcome, { packet, cookieBackend, flow, isOpeningCookie });
    return outcome;
  }

  private logContradiction(
    outcome: CookieOutcome,
    { packet, cookieBackend, flow, isOpeningCookie }: Contradiction,
  ): void {
    const isFollowed = outcome === 'followed';
    const event = isFollowed ? COOKIE_FLOW_EVENTS.cookieFollowed : COOKIE_FLOW_EVENTS.cookieOverruled;
    this.options.events.emit(event, {
      flow: formatFlowId(packet),
      backend: flow.backendState.backend.id,
      cookieBackend: cookieBackend.id,
      isOpeningCookie,
      phase: flow.phase,
      handshake: flow.handshake,
      copy: flow.retransmissionCount,
      acknowledgedBytes: (packet.acknowledgement - flow.acknowledgement) | 0,
    });
  }

  /**
   * Caches a flow that a peer placed, or that this daemon placed before a restart. Returns undefined if the cache is
   * full.
   */
  private adoptFlow(packet: CookiePacket, backend: KnownBackend, nowMs: number): Flow | undefined {
    const { statistics, events, cache, states, cookies, sharedHandshakes } = this.options;
    const isOpeningCookie = packet.cookie !== cookies.cookieOf(backend);
    statistics.takenOver += 1;
    events.emit(COOKIE_FLOW_EVENTS.flowAdopted, {
      flow: formatFlowId(packet),
      backend: backend.id,
      service: backend.record.service,
      departed: backend.departed,
      isOpeningCookie,
    });
    const flow = cache.add(packet, states.stateOf(backend), 'open', nowMs);
    if (flow && isOpeningCookie) {
      const isRecorded = sharedHandshakes.recordedBackendOf(packet, nowMs) === backend;
      flow.contest = isRecorded ? 'shared' : 'unconfirmed';
    }
    return flow;
  }

  /** Resets a flow at a dead back end immediately, so that its caller need not wait for a timeout. */
  private resetFlowAtDeadBackend(
    packet: CookiePacket,
    flow: Flow | undefined,
    backend: KnownBackend,
    nowMs: number,
  ): void {
    const { cache, states, statistics, events, sender } = this.options;
    if (flow) cache.remove(flow);
    statistics.resets += 1;
    const reason = states.stateOf(backend).deadReason;
    events.emit(COOKIE_FLOW_EVENTS.flowReset, {
      flow: formatFlowId(packet),
      backend: backend.id,
      proof: reason?.proof,
      verdictAgeMs: reason && Math.round(nowMs - reason.sinceMs),
    });
    if (!packet.rst) sender.sendReset();
  }

  private dropUnknownCookie(packet: CookiePacket): void {
    const { statistics, events, knowledge } = this.options;
    statistics.countDrop('unknown-cookie');
    events.emit(COOKIE_FLOW_EVENTS.unknownCookie, {
      flow: formatFlowId(packet),
      cookie: packet.cookie,
      knowledgeAgeMs: Math.round(knowledge.maxTopicAge()),
    });
  }
}
