/**
 * Infers from callers' packets whether back ends answer, since answers bypass a balancer. A new acknowledgement proves
 * that the back end lives, and ends a request. Retransmitted data counts as a failure of the back end. Relies on TCP
 * sequence numbers; owns no state.
 */
import type { MechanismCheck } from '../../common/mechanisms.js';
import type { CookiePacket } from '../../fabric/cookie-edge.js';
import type { LocalBackendStates, PendingOpenings } from '../backend-health/index.js';
import type { AnswerTracker } from '../outliers/index.js';
import type { KnownBackend } from '../routing/index.js';
import { REPETITION_MIN_MS } from './constants.js';
import type { CookieStatistics } from './cookie-statistics.js';
import type { Flow, FlowCache } from './flow-cache.js';
import type { FlowFailures } from './flow-failures.js';

/** What following flows needs. */
interface FlowFollowerOptions {
  readonly cache: FlowCache;
  readonly states: LocalBackendStates;
  readonly pending: PendingOpenings;
  readonly answers: AnswerTracker;
  readonly failures: FlowFailures;
  readonly statistics: CookieStatistics;
  readonly isOn: MechanismCheck;
}

/** Compares each packet with the earlier ones of its flow. Times are monotonic ms. */
export class FlowFollower {
  constructor(private readonly options: FlowFollowerOptions) {}

  /**
   * Follows a packet that is no SYN and goes to `backend`, which may differ from the remembered one: the cookie
   * decides.
   */
  follow(packet: CookiePacket, flow: Flow, backend: KnownBackend, nowMs: number): void {
    const { cache, pending, states } = this.options;
    pending.settle(flow);
    if (flow.state.backend !== backend) cache.move(flow, states.of(backend));
    flow.lastPacketMs = nowMs;
    if (flow.phase === 'opening') this.endHandshake(packet, flow, nowMs);
    else if (packet.ack && isAfter(packet.acknowledgement, flow.acknowledgement)) {
      this.recordAcknowledgement(packet, flow, nowMs);
    }
    if (packet.payloadBytes > 0) this.followData(packet, flow, nowMs);
    if (packet.fin || packet.rst) this.close(flow, nowMs);
  }

  private endHandshake(packet: CookiePacket, flow: Flow, nowMs: number): void {
    const { statistics, pending, states } = this.options;
    flow.phase = 'open';
    flow.acknowledgement = packet.acknowledgement;
    statistics.handshake.observe(nowMs - flow.openedAtMs);
    pending.recordAnswer(nowMs - flow.openedAtMs);
    states.recordSignOfLife(flow.state, nowMs);
  }

  private recordAcknowledgement(packet: CookiePacket, flow: Flow, nowMs: number): void {
    const bytes = (packet.acknowledgement - flow.acknowledgement) >>> 0;
    flow.acknowledgement = packet.acknowledgement;
    this.options.states.recordSignOfLife(flow.state, nowMs);
    this.endRequest(flow, bytes, nowMs);
  }

  private followData(packet: CookiePacket, flow: Flow, nowMs: number): void {
    if (flow.dataSequence < 0 || isAfter(packet.sequence, flow.dataSequence)) {
      flow.dataSequence = packet.sequence;
      flow.dataAtMs = nowMs;
      flow.isFailureCounted = false;
      this.beginRequest(flow, nowMs);
    } else if (packet.sequence === flow.dataSequence && nowMs - flow.dataAtMs >= REPETITION_MIN_MS) {
      this.options.failures.report(flow, flow.dataAtMs, nowMs);
    }
  }

  /**
   * New data while no request is outstanding begins one; further packets of the same request follow before its answer.
   */
  private beginRequest(flow: Flow, nowMs: number): void {
    const { isOn, answers } = this.options;
    if (flow.request || !isOn('outlier-detection')) return;
    const { id, record } = flow.state.backend;
    flow.request = {
      backendId: id,
      service: record.service,
      routeKey: flow.serviceKey,
      sentAtMs: nowMs,
    };
    answers.begin(flow.request);
  }

  private endRequest(flow: Flow, bytes: number, nowMs: number): void {
    if (!flow.request) return;
    this.options.answers.recordAnswer(flow.request, bytes, nowMs);
    flow.request = undefined;
  }

  private close(flow: Flow, nowMs: number): void {
    if (flow.request) this.options.answers.abandon(flow.request);
    flow.request = undefined;
    this.options.cache.close(flow, nowMs);
  }
}

/** True when sequence number `left` comes after `right` in arithmetic modulo 2^32. */
function isAfter(left: number, right: number): boolean {
  return ((left - right) | 0) > 0;
}
