/** Logs the outcome of each SYN and the data on which the decision was based. */
import type { CookiePacket } from '../../fabric/cookie-edge.js';
import type { EventFields, EventLog } from '../../observability/event.js';
import type { LookupOutcome, OpeningQuery } from '../opening-lookup/index.js';
import type { BackendEligibility, Placement } from '../placement/index.js';
import type { Route, RoutingKnowledge } from '../routing/index.js';
import { COOKIE_FLOW_EVENTS } from './events.js';
import type { Flow } from './flow-cache.js';
import { formatFlowId } from './flow-id.js';

/** Dependencies of `OpeningLog`. */
interface OpeningLogOptions {
  readonly events: EventLog;
  readonly knowledge: RoutingKnowledge;
  readonly eligibility: BackendEligibility;
}

/** A placed flow and its route. */
interface PlacedFlow {
  readonly route: Route;
  readonly placement: Placement;
}

/** Emits the events 1250, 1251, 1252, 1255, 1263, 1264, 1265, 1267 and 1270. */
export class OpeningLog {
  constructor(private readonly options: OpeningLogOptions) {}

  /** Logs that a new flow was placed, before its SYN is forwarded. `waitedMs`: time since the SYN was read. */
  logPlacement(packet: CookiePacket, { route, placement }: PlacedFlow, waitedMs: number): void {
    const { events, knowledge } = this.options;
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
      waitedMs: Math.round(waitedMs),
      listRevision: knowledge.revisionOf('backends'),
      ...this.knowledgeFields(),
    });
  }

  /** Logs that a retransmitted SYN goes to another back end. Call it before the flow is moved. */
  logMove(packet: CookiePacket, flow: Flow, placement: Placement): void {
    this.options.events.emit(COOKIE_FLOW_EVENTS.flowMoved, {
      flow: formatFlowId(packet),
      before: flow.backendState.backend.id,
      backend: placement.state.backend.id,
      failures: flow.backendState.failuresSinceSignOfLife,
      ...this.knowledgeFields(),
    });
  }

  /** Logs that a retransmitted SYN goes to the back end of its flow. */
  logStay(packet: CookiePacket, flow: Flow, hasLeftRoute: boolean): void {
    this.options.events.emit(COOKIE_FLOW_EVENTS.retransmissionStays, {
      flow: formatFlowId(packet),
      copy: packet.retransmissionCount,
      backend: flow.backendState.backend.id,
      service: flow.backendState.backend.record.service,
      hasLeftRoute,
      ...this.knowledgeFields(),
    });
  }

  /** Logs that a new flow was refused. `route` is undefined if no route matches. */
  logRefusal(
    packet: CookiePacket,
    reason: 'no-route' | 'no-backend',
    route: Route | undefined,
    nowMs: number,
  ): void {
    const { events, eligibility } = this.options;
    events.emit(COOKIE_FLOW_EVENTS.refused, {
      flow: formatFlowId(packet),
      reason,
      route: route?.name,
      excluded: route && JSON.stringify(eligibility.countRecordExclusions(route, nowMs)),
      ...this.knowledgeFields(),
    });
  }

  /** Logs the end of a lookup at peers, before the SYN is handled again. */
  logLookup(query: OpeningQuery, outcome: LookupOutcome, waitedMs: number): void {
    const { events } = this.options;
    const common = {
      flow: formatFlowId(query),
      copy: query.retransmissionCount,
      waitedMs: Math.round(waitedMs),
    };
    // Event 1269 logs each packet for which a handshake was found.
    if (outcome.kind === 'found' && query.acknowledgement === undefined) {
      const { backendId: backend, peer } = outcome;
      events.emit(COOKIE_FLOW_EVENTS.placementFound, { ...common, backend, peer });
    } else if (outcome.kind === 'not-found') {
      const { asked, unanswered } = outcome;
      const isHandshake = query.acknowledgement !== undefined;
      const event = isHandshake ? COOKIE_FLOW_EVENTS.handshakeNotFound : COOKIE_FLOW_EVENTS.placementNotFound;
      events.emit(event, { ...common, asked, unanswered });
    }
  }

  /** Logs that a SYN was dropped because a peer decides on a later copy of it. */
  logSupersededSyn(packet: CookiePacket): void {
    this.options.events.emit(COOKIE_FLOW_EVENTS.supersededSyn, {
      flow: formatFlowId(packet),
      copy: packet.retransmissionCount,
    });
  }

  /** Logs that a SYN was dropped because it may have waited through a pause. */
  logStaleSyn(packet: CookiePacket): void {
    this.options.events.emit(COOKIE_FLOW_EVENTS.staleSyn, { flow: formatFlowId(packet) });
  }

  /** The knowledge of a decision: version of the routes, its age and who confirmed it, and the age of all topics. */
  private knowledgeFields(): EventFields {
    const { knowledge } = this.options;
    return {
      version: knowledge.routes()?.table.version,
      routesAgeMs: Math.round(knowledge.ageOf('routes')),
      routesConfirmedBy: knowledge.confirmedBy('routes'),
      knowledgeAgeMs: Math.round(knowledge.maxTopicAge()),
    };
  }
}
