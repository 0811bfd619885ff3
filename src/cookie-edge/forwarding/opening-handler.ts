/**
 * Handles SYNs: places those of new flows, and sends copies where the first one went. A SYN that may have waited through a pause
 * is dropped, since a copy of it may have opened the flow through another balancer.
 */
import { combine32 } from '../../common/hash.js';
import type { PauseDetector } from '../../common/pause-detector.js';
import type { CookiePacket } from '../../fabric/cookie-edge.js';
import type { OutlierDetector } from '../outliers/index.js';
import type { Route } from '../routing/index.js';
import type { BackendEligibility } from '../placement/backend-eligibility.js';
import type { ColdAdmission } from '../placement/cold-admission.js';
import { COOKIE_FLOW_EVENTS } from './events.js';
import type { Flow } from './flow-cache.js';
import { formatFlowId } from './flow-id.js';
import { forwardTo, noteFailure, type ForwardingParts } from './forwarding-parts.js';
import type { OpeningPlacement, Placement } from '../placement/opening-placement.js';
import type { TrafficSplitter } from '../placement/traffic-splitter.js';

/** What decides about openings, beside the shared parts. */
interface OpeningHandlerOptions {
  readonly splitter: TrafficSplitter;
  readonly placement: OpeningPlacement;
  readonly eligibility: BackendEligibility;
  readonly coldAdmission: ColdAdmission;
  readonly pauses: PauseDetector;
  readonly outliers: OutlierDetector;
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
    const routes = this.parts.knowledge.routes();
    if (!routes || !this.parts.knowledge.isComplete()) return this.parts.statistics.countDrop('starting');
    const route = routes.find(packet.destinationAddress, packet.destinationPort);
    if (!route) return this.refuse(packet, 'no-route', nowMs);
    const placement = this.place(packet, route, nowMs);
    if (!placement) return this.refuse(packet, 'no-backend', nowMs, route);
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
      const route = this.parts.knowledge.routes()?.find(packet.destinationAddress, packet.destinationPort);
      const placement = route && this.place(packet, route, nowMs);
      if (placement && placement.state !== flow.state) this.placeAnew(packet, flow, placement, nowMs);
    }
    forwardTo(this.parts, flow.state.backend);
  }

  private placeAnew(packet: CookiePacket, flow: Flow, placement: Placement, nowMs: number): void {
    this.parts.events.emit(COOKIE_FLOW_EVENTS.placedAnew, {
      flow: formatFlowId(packet),
      before: flow.state.backend.id,
      backend: placement.state.backend.id,
      failures: flow.state.failuresSinceSignOfLife,
    });
    this.parts.statistics.placedAnew += 1;
    this.parts.pending.settle(flow);
    this.parts.cache.move(flow, placement.state);
    flow.openedAtMs = nowMs;
    flow.isFailureCounted = false;
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
      excluded: route && JSON.stringify(this.options.eligibility.countExclusions(route, nowMs)),
      version: this.parts.knowledge.routes()?.table.version,
      knowledgeAgeMs: Math.round(this.parts.knowledge.age()),
    });
    this.parts.edge.sendReset();
  }

  private place(packet: CookiePacket, route: Route, nowMs: number): Placement | undefined {
    const { knowledge } = this.parts;
    const flowHash = hashFlow(packet);
    const chooseIn = (service: string): Placement | undefined =>
      this.options.placement.choose({
        backends: knowledge.backends.ofService(service),
        flowHash,
        nowMs,
        usualAnswerMs: this.parts.pending.slowAfterMs,
        stateOf: (backend) => this.parts.states.of(backend),
        exclusionOf: (backend) => this.options.eligibility.exclusionOf(backend, route, nowMs),
        isOutlier: ({ backend, idHash }) =>
          this.options.outliers.isAvoided(backend.id, idHash, flowHash, nowMs),
        maxConnections: knowledge.routes()?.maxConnectionsOf(service) ?? 0,
      });
    const choices = new Map<string, Placement | undefined>();
    const chosen = this.options.splitter.choose(route, (service) => {
      choices.set(service, chooseIn(service));
      return choices.get(service) !== undefined;
    });
    if (chosen === undefined) return undefined;
    const placement = choices.has(chosen) ? choices.get(chosen) : chooseIn(chosen);
    if (placement?.rule === 'trial') placement.state.noteTrial(nowMs);
    if (placement) this.options.coldAdmission.note(placement.state.backend, nowMs);
    return placement;
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
      copy: packet.acknowledgement,
      version: knowledge.routes()?.table.version,
      knowledgeAgeMs: Math.round(knowledge.age()),
    });
  }
}

/** True for the first SYN of a caller that uses the ports of a flow again which it had closed. */
function isAnew(packet: CookiePacket, flow: Flow): boolean {
  return flow.phase === 'closing' && packet.acknowledgement === 0;
}

function hashFlow(packet: CookiePacket): number {
  const caller = combine32(packet.sourceAddress, packet.sourcePort);
  return combine32(caller, combine32(packet.destinationAddress, packet.destinationPort));
}
