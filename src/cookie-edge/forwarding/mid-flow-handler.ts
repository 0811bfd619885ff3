/**
 * Handles packets of flows that their callers have opened: the cookie names the back end, and what the caller acknowledges or
 * repeats tells whether that back end lives.
 */
import type { CookiePacket } from '../../fabric/cookie-edge.js';
import type { KnownBackend } from '../routing/index.js';
import { REPETITION_MIN_MS } from './constants.js';
import type { BackendState } from '../backend-health/index.js';
import { COOKIE_FLOW_EVENTS } from './events.js';
import type { Flow } from './flow-cache.js';
import { formatFlowId } from './flow-id.js';
import { forwardTo, noteFailure, type ForwardingParts } from './forwarding-parts.js';

/** See the module. */
export class MidFlowHandler {
  constructor(private readonly parts: ForwardingParts) {}

  /** Handles a packet that is no SYN; `flow` is what is remembered of its ports. */
  onMidFlow(packet: CookiePacket, flow: Flow | undefined, nowMs: number): void {
    const named = packet.cookie === 0 ? undefined : this.parts.cookies.backendOf(packet.cookie);
    const backend = named ?? flow?.state.backend;
    if (!backend) return this.dropUnknown(packet);
    const state = this.parts.states.of(backend);
    if (state.isDead(nowMs)) return this.resetAtDead(packet, flow, state);
    const known = flow ?? this.takeOver(packet, backend, nowMs);
    if (known) this.follow(packet, known, backend, nowMs);
    forwardTo(this.parts, backend);
  }

  /** Compares a packet with what the flow's earlier ones said. */
  private follow(packet: CookiePacket, flow: Flow, backend: KnownBackend, nowMs: number): void {
    this.parts.pending.settle(flow);
    if (flow.state.backend !== backend) this.parts.cache.move(flow, this.parts.states.of(backend));
    flow.lastPacketMs = nowMs;
    if (flow.phase === 'opening') {
      flow.phase = 'open';
      flow.acknowledgement = packet.acknowledgement;
      this.parts.statistics.handshake.observe(nowMs - flow.openedAtMs);
      this.parts.pending.noteAnswer(nowMs - flow.openedAtMs);
      this.parts.states.noteSignOfLife(flow.state, nowMs);
    } else if (packet.ack && isAfter(packet.acknowledgement, flow.acknowledgement)) {
      const bytes = (packet.acknowledgement - flow.acknowledgement) >>> 0;
      flow.acknowledgement = packet.acknowledgement;
      this.parts.states.noteSignOfLife(flow.state, nowMs);
      this.endRequest(flow, bytes, nowMs);
    }
    if (packet.payloadBytes > 0) this.followData(packet, flow, nowMs);
    if (packet.fin || packet.rst) this.close(flow, nowMs);
  }

  private followData(packet: CookiePacket, flow: Flow, nowMs: number): void {
    if (flow.dataSequence < 0 || isAfter(packet.sequence, flow.dataSequence)) {
      flow.dataSequence = packet.sequence;
      flow.dataAtMs = nowMs;
      flow.isFailureCounted = false;
      this.beginRequest(flow, nowMs);
    } else if (packet.sequence === flow.dataSequence && nowMs - flow.dataAtMs >= REPETITION_MIN_MS) {
      noteFailure(this.parts, flow, flow.dataAtMs, nowMs);
    }
  }

  /** New data while nothing is outstanding is the begin of a request; its further packets follow at once. */
  private beginRequest(flow: Flow, nowMs: number): void {
    if (flow.request || !this.parts.isOn('outlier-detection')) return;
    const { id, record } = flow.state.backend;
    flow.request = {
      backendId: id,
      service: record.service,
      routeKey: flow.serviceKey,
      sentAtMs: nowMs,
    };
    this.parts.answers.begin(flow.request);
  }

  private endRequest(flow: Flow, bytes: number, nowMs: number): void {
    if (!flow.request) return;
    this.parts.answers.answer(flow.request, bytes, nowMs);
    flow.request = undefined;
  }

  private close(flow: Flow, nowMs: number): void {
    if (flow.request) this.parts.answers.abandon(flow.request);
    flow.request = undefined;
    this.parts.cache.close(flow, nowMs);
  }

  private takeOver(packet: CookiePacket, backend: KnownBackend, nowMs: number): Flow | undefined {
    this.parts.statistics.takenOver += 1;
    this.parts.events.emit(COOKIE_FLOW_EVENTS.takenOver, {
      flow: formatFlowId(packet),
      backend: backend.id,
      service: backend.record.service,
      departed: backend.departed,
    });
    return this.parts.cache.add(packet, this.parts.states.of(backend), 'open', nowMs);
  }

  /** Answers at once for a back end that cannot, so that the caller need not wait for its deadline. */
  private resetAtDead(packet: CookiePacket, flow: Flow | undefined, { backend }: BackendState): void {
    if (flow) this.parts.cache.remove(flow);
    this.parts.statistics.resets += 1;
    this.parts.events.emit(COOKIE_FLOW_EVENTS.flowReset, {
      flow: formatFlowId(packet),
      backend: backend.id,
    });
    if (!packet.rst) this.parts.edge.sendReset();
  }

  private dropUnknown(packet: CookiePacket): void {
    this.parts.statistics.countDrop('unknown-cookie');
    this.parts.events.emit(COOKIE_FLOW_EVENTS.unknownCookie, {
      flow: formatFlowId(packet),
      cookie: packet.cookie,
      knowledgeAgeMs: Math.round(this.parts.knowledge.age()),
    });
  }
}

/** True when sequence number `left` comes after `right`, modulo 2^32. */
function isAfter(left: number, right: number): boolean {
  return ((left - right) | 0) > 0;
}
