/**
 * Infers from callers' packets whether back ends respond, because responses bypass the daemon. A new acknowledgement
 * proves that the back end is alive, and completes a request. Retransmitted data counts as a failure of the back end.
 * Relies on TCP sequence numbers; keeps no state of its own.
 */
import type { MechanismCheck } from '../../common/mechanisms.js';
import type { CookiePacket } from '../../fabric/cookie-edge.js';
import type { LocalBackendStates, PendingOpenings } from '../backend-health/index.js';
import type { AnswerTracker } from '../outliers/index.js';
import type { KnownBackend } from '../routing/index.js';
import { MIN_RETRANSMISSION_INTERVAL_MS } from './constants.js';
import type { CookieStatistics } from './cookie-statistics.js';
import { isNewData, type Flow, type FlowCache } from './flow-cache.js';
import type { FlowFailures } from './flow-failures.js';
import { isSequenceAfter } from './sequence-number.js';

/** Dependencies of flow tracking. */
interface FlowTrackerOptions {
  readonly cache: FlowCache;
  readonly states: LocalBackendStates;
  readonly pendingOpenings: PendingOpenings;
  readonly answerTracker: AnswerTracker;
  readonly failures: FlowFailures;
  readonly statistics: CookieStatistics;
  readonly isOn: MechanismCheck;
}

/** Compares each packet with the earlier ones of its flow. Times are monotonic ms. */
export class FlowTracker {
  constructor(private readonly options: FlowTrackerOptions) {}

  /**
   * Updates a flow with a packet other than a SYN that goes to `backend`. The cookie decides on the back end, so it may
   * differ from the cached one.
   */
  trackPacket(packet: CookiePacket, flow: Flow, backend: KnownBackend, nowMs: number): void {
    const { cache, pendingOpenings, states } = this.options;
    pendingOpenings.stopAwaiting(flow);
    if (flow.backendState.backend !== backend) cache.moveToBackend(flow, states.stateOf(backend));
    flow.lastPacketAtMs = nowMs;
    if (flow.phase === 'opening') this.completeHandshake(packet, flow, nowMs);
    else if (packet.ack && isSequenceAfter(packet.acknowledgement, flow.acknowledgement)) {
      this.recordAcknowledgement(packet, flow, nowMs);
    }
    if (packet.payloadBytes > 0) this.trackData(packet, flow, nowMs);
    if (packet.fin || packet.rst) this.recordClose(flow, nowMs);
  }

  private completeHandshake(packet: CookiePacket, flow: Flow, nowMs: number): void {
    const { statistics, pendingOpenings, states } = this.options;
    flow.phase = 'open';
    flow.acknowledgement = packet.acknowledgement;
    flow.handshakeAcknowledgement = packet.acknowledgement;
    statistics.handshake.observe(nowMs - flow.openedAtMs);
    pendingOpenings.recordAnswer(nowMs - flow.openedAtMs);
    states.recordSignOfLife(flow.backendState, nowMs);
  }

  private recordAcknowledgement(packet: CookiePacket, flow: Flow, nowMs: number): void {
    const acknowledgedBytes = (packet.acknowledgement - flow.acknowledgement) >>> 0;
    flow.acknowledgement = packet.acknowledgement;
    this.options.states.recordSignOfLife(flow.backendState, nowMs);
    this.completeRequest(flow, acknowledgedBytes, nowMs);
  }

  private trackData(packet: CookiePacket, flow: Flow, nowMs: number): void {
    if (isNewData(packet.sequence, flow)) {
      flow.highestDataSequence = packet.sequence;
      flow.dataFirstSeenAtMs = nowMs;
      flow.isFailureCounted = false;
      this.beginRequest(flow, nowMs);
    } else if (
      packet.sequence === flow.highestDataSequence &&
      nowMs - flow.dataFirstSeenAtMs >= MIN_RETRANSMISSION_INTERVAL_MS
    ) {
      this.options.failures.recordFailure(flow, flow.dataFirstSeenAtMs, nowMs);
    }
  }

  /**
   * Starts a request when new data arrives and none is outstanding. Further data before the answer belongs to the same
   * request.
   */
  private beginRequest(flow: Flow, nowMs: number): void {
    const { isOn, answerTracker } = this.options;
    if (flow.request || !isOn('outlier-detection')) return;
    const { id, record } = flow.backendState.backend;
    flow.request = {
      backendId: id,
      service: record.service,
      routeKey: flow.serviceKey,
      sentAtMs: nowMs,
    };
    answerTracker.startTracking(flow.request);
  }

  private completeRequest(flow: Flow, acknowledgedBytes: number, nowMs: number): void {
    if (!flow.request) return;
    this.options.answerTracker.recordAnswer(flow.request, acknowledgedBytes, nowMs);
    flow.request = undefined;
  }

  private recordClose(flow: Flow, nowMs: number): void {
    if (flow.request) this.options.answerTracker.recordAbandoned(flow.request);
    flow.request = undefined;
    this.options.cache.markClosed(flow, nowMs);
  }
}
