/**
 * Handles SYNs: places those of new flows, and sends copies where the first one went. A SYN that may have waited through a pause
 * is dropped, since a copy of it may have opened the flow through another balancer.
 */
import type { PauseDetector } from '../../common/pause-detector.js';
import type { CookiePacket } from '../../fabric/cookie-edge.js';
import type { Route } from '../routing/index.js';
import type { BackendEligibility, NewFlowRule, Placement } from '../placement/index.js';
import { COOKIE_FLOW_EVENTS } from './events.js';
import type { Flow } from './flow-cache.js';
import { formatFlowId } from './flow-id.js';
import { forwardTo, noteFailure, type ForwardingParts } from './forwarding-parts.js';

/** What decides about openings, beside the shared parts. */
interface OpeningHandlerOptions {
  readonly newFlows: NewFlowRule;
  readonly eligibility: BackendEligibility;
  readonly pauses: PauseDetector;
}

/** See the module. */
export class OpeningHandler {
  constructor(
    private readonly parts: ForwardingParts,
    private readonly options: OpeningHandlerOptions,
  ) {}

  /** Handles a SYN; `flow` is what is remembered of its ports. */
  onSyn(packet: CookiePacket, flow: Flow | undefined, nowMs: number): void {
    if (this.parts.isOn('old-opening-guard') && this.options.pauses.mayBeOld(nowMs)) {
      this.parts.statistics.countDrop('old-opening');
      this.parts.events.emit(COOKIE_FLOW_EVENTS.oldOpening, { flow: formatFlowId(packet) });
      return;
    }
    if (flow && !isAnew(packet, flow)) return this.onSynCopy(packet, flow, nowMs);
    if (flow) this.parts.cache.remove(flow);
    const outcome = this.options.newFlows.decide(packet, nowMs);
    if (outcome.kind === 'drop') return this.parts.statistics.countDrop(outcome.reason);
    if (outcome.kind === 'refuse') return this.refuse(packet, outcome.reason, nowMs, outcome.route);
    const { route, placement } = outcome;
    this.options.newFlows.notePlacement(placement, nowMs);
    const opened = this.parts.cache.add(packet, placement.state, 'opening', nowMs);
    if (opened) this.parts.pending.add(opened);
    this.parts.statistics.opened += 1;
    this.logPlacement(packet, route, placement);
    forwardTo(this.parts, placement.state.backend);
  }

  /** A copy goes where the first SYN went, unless that back end is held dead. */
  private onSynCopy(packet: CookiePacket, flow: Flow, nowMs: number): void {
    flow.lastPacketMs = nowMs;
    if (flow.phase === 'opening') {
      this.parts.pending.settle(flow);
      noteFailure(this.parts, flow, flow.openedAtMs, nowMs);
    }
    if (flow.phase === 'opening' && flow.state.liveness(nowMs) === 'ejected') {
      const placement = this.options.newFlows.chooseAgain(packet, nowMs);
      if (placement) this.options.newFlows.notePlacement(placement, nowMs);
      if (placement && placement.state !== flow.state) this.placeAnew(packet, flow, placement, nowMs);
    }
    forwardTo(this.parts, flow.state.backend);
  }

  private placeAnew(packet: CookiePacket, flow: Flow, placement: Placement, nowMs: number): void {
    this.parts.events.emit(COOKIE_FLOW_EVENTS.placedAnew, {
      flow: formatFlowId(packet),
      before: flow.state.backend.id,
      backend: placement.state.backend.id,
      failures: flow.state.failuresInRow,
    });
    this.parts.statistics.placedAnew += 1;
    this.parts.pending.settle(flow);
    this.parts.cache.move(flow, placement.state);
    flow.openedAtMs = nowMs;
    flow.failureNoted = false;
    this.parts.pending.add(flow);
  }

  /** Nothing waits: a caller that can't be served learns it at once. */
  private refuse(
    packet: CookiePacket,
    reason: 'no-route' | 'no-backend',
    nowMs: number,
    route?: Route,
  ): void {
    this.parts.statistics.countRefusal(reason);
    this.parts.events.emit(COOKIE_FLOW_EVENTS.refused, {
      flow: formatFlowId(packet),
      reason,
      route: route?.name,
      excluded: route && JSON.stringify(this.options.eligibility.countRecordExclusions(route, nowMs)),
      version: this.parts.knowledge.routes()?.table.version,
      knowledgeAgeMs: Math.round(this.parts.knowledge.age()),
    });
    this.parts.edge.sendReset();
  }

  private logPlacement(packet: CookiePacket, route: Route, placement: Placement): void {
    const { knowledge, events } = this.parts;
    events.emit(COOKIE_FLOW_EVENTS.opened, {
      flow: formatFlowId(packet),
      route: route.name,
      service: placement.state.backend.record.service,
      backend: placement.state.backend.id,
      rule: placement.rule,
      candidates: placement.candidates,
      flowsThere: placement.state.openFlows,
      passedOver: placement.passedOver,
      copy: packet.retransmissionCount,
      version: knowledge.routes()?.table.version,
      knowledgeAgeMs: Math.round(knowledge.age()),
    });
  }
}

/** True for the first SYN of a caller that uses the ports of a flow again which it had closed. */
function isAnew(packet: CookiePacket, flow: Flow): boolean {
  return flow.phase === 'closing' && packet.retransmissionCount === 0;
}
