/**
 * Rule: whether a new flow is placed, refused with a reset, held, or dropped so that its caller retransmits the SYN.
 *
 * If a caller cannot be served, it is refused immediately, so that it does not wait for its timeout. If it cannot be
 * served yet, it is held (`no-backend-rule.ts`). Does no input or output; the caller of this rule carries out and logs
 * the outcome.
 *
 * Inputs: the routing knowledge and the inputs of the placement rules; times are monotonic ms. Order: first whether the
 * knowledge is complete, because incomplete knowledge justifies neither a refusal nor a choice. While it is incomplete,
 * the SYN is dropped; by the time of its retransmission, this balancer or another one is ready. Then the route, then
 * the service of its traffic split, then the back end. Knowledge of any age is used.
 */
import { combine32 } from '../../common/hash.js';
import type { CookiePacket } from '../../fabric/cookie-edge.js';
import type { LocalBackendState } from '../backend-health/index.js';
import type { BackendSettlement, KnownBackend, Route, RoutingKnowledge } from '../routing/index.js';
import type { BackendEligibility } from './backend-eligibility.js';
import type { ColdAdmission } from './cold-admission.js';
import { decideWithoutBackend, type NoBackendOutcome } from './no-backend-rule.js';
import type { OpeningPlacement, Placement } from './opening-placement.js';
import type { TrafficSplitter } from './traffic-splitter.js';

/** The four-tuple of a flow. */
type FlowAddresses = Pick<
  CookiePacket,
  'sourceAddress' | 'sourcePort' | 'destinationAddress' | 'destinationPort'
>;

/** The decision about a new flow. `starting`: routes, back ends or cordons are not known yet. */
export type NewFlowOutcome =
  | { readonly kind: 'drop'; readonly reason: 'starting' }
  | { readonly kind: 'refuse'; readonly reason: 'no-route'; readonly route?: undefined }
  | { readonly kind: 'refuse'; readonly reason: 'no-backend'; readonly route: Route }
  | { readonly kind: 'hold'; readonly route: Route }
  | { readonly kind: 'place'; readonly route: Route; readonly placement: Placement };

/** The rules that are applied, and the sources of their inputs. */
interface NewFlowRuleOptions {
  readonly knowledge: RoutingKnowledge;
  readonly splitter: TrafficSplitter;
  readonly eligibility: BackendEligibility;
  readonly coldAdmission: ColdAdmission;
  readonly placement: OpeningPlacement;
  /** Whether the list of back ends is considered complete. */
  readonly settlement: Pick<BackendSettlement, 'state' | 'isKnownEmpty'>;
  /** True for an outlier that may not get the flow with this hash. */
  readonly isOutlier: (state: LocalBackendState, flowHash: number, nowMs: number) => boolean;
  /** A back end with a handshake pending longer than this, in ms, is suspect. */
  readonly slowHandshakeMs: () => number;
}

const DROP_WHILE_STARTING: NewFlowOutcome = { kind: 'drop', reason: 'starting' };
const REFUSE_WITHOUT_ROUTE: NewFlowOutcome = { kind: 'refuse', reason: 'no-route' };

/** Decides what happens to new flows. */
export class NewFlowRule {
  constructor(private readonly options: NewFlowRuleOptions) {}

  /** Decides about the first SYN of a flow. A placement counts only after `recordPlacement` was called. */
  decide(flow: FlowAddresses, nowMs: number): NewFlowOutcome {
    const { knowledge } = this.options;
    const routes = knowledge.routes();
    if (!routes || !knowledge.isComplete()) return DROP_WHILE_STARTING;
    const route = routes.find(flow.destinationAddress, flow.destinationPort);
    if (!route) return REFUSE_WITHOUT_ROUTE;
    const placement = this.choosePlacement(flow, route, nowMs);
    if (placement) return { kind: 'place', route, placement };
    return this.decideWithoutBackend(route) === 'hold'
      ? { kind: 'hold', route }
      : { kind: 'refuse', reason: 'no-backend', route };
  }

  /** Returns the route of a flow, or undefined if there is none or no routes are known yet. */
  routeOf({ destinationAddress, destinationPort }: FlowAddresses): Route | undefined {
    return this.options.knowledge.routes()?.find(destinationAddress, destinationPort);
  }

  /** Chooses a back end for a retransmitted SYN; returns undefined without a route or a candidate. */
  chooseForRetransmission(flow: FlowAddresses, nowMs: number): Placement | undefined {
    const route = this.routeOf(flow);
    return route && this.choosePlacement(flow, route, nowMs);
  }

  /** Returns true if `backend` leaves or has left, or its service is not a target of the flow's route any more. */
  hasLeftRoute(flow: FlowAddresses, backend: KnownBackend, nowMs: number): boolean {
    const route = this.routeOf(flow);
    if (!route) return false;
    if (!route.targets.some(({ service }) => service === backend.record.service)) return true;
    const exclusion = this.options.eligibility.recordExclusionOf(backend, route, nowMs);
    return exclusion === 'departed' || exclusion === 'draining';
  }

  /**
   * Records a choice. The caller also records a choice that keeps the flow at its first back end, so that the trial
   * opening and the spacing of flows to a cold back end take effect.
   */
  recordPlacement({ rule, state }: Placement, nowMs: number): void {
    if (rule === 'trial') state.recordTrial(nowMs);
    this.options.coldAdmission.recordPlacement(state.backend, nowMs);
  }

  private decideWithoutBackend({ targets }: Route): NoBackendOutcome {
    const { knowledge, settlement } = this.options;
    return decideWithoutBackend({
      listState: settlement.state,
      hasServingRecord: targets.some(({ service }) => knowledge.backends.hasServingBackend(service)),
      isKnownEmpty: targets.every(({ service }) => settlement.isKnownEmpty(service)),
    });
  }

  private choosePlacement(flow: FlowAddresses, route: Route, nowMs: number): Placement | undefined {
    const flowHash = hashFlow(flow);
    const placements = new Map<string, Placement | undefined>();
    const chosenService = this.options.splitter.chooseService(route, (service) => {
      const placement = this.choosePlacementInService(service, route, flowHash, nowMs);
      placements.set(service, placement);
      return placement !== undefined;
    });
    if (chosenService === undefined) return undefined;
    if (placements.has(chosenService)) return placements.get(chosenService);
    return this.choosePlacementInService(chosenService, route, flowHash, nowMs);
  }

  private choosePlacementInService(
    service: string,
    route: Route,
    flowHash: number,
    nowMs: number,
  ): Placement | undefined {
    const { knowledge, eligibility, placement, isOutlier, slowHandshakeMs } = this.options;
    const maxConnections = knowledge.routes()?.maxConnectionsOf(service) ?? 0;
    return placement.chooseBackend({
      backends: knowledge.backends.ofService(service),
      eligibleStateOf: (backend) => eligibility.eligibleStateOf(backend, route, maxConnections, nowMs),
      isOutlier: (state) => isOutlier(state, flowHash, nowMs),
      slowHandshakeMs: slowHandshakeMs(),
      flowHash,
      nowMs,
    });
  }
}

function hashFlow(flow: FlowAddresses): number {
  const callerHash = combine32(flow.sourceAddress, flow.sourcePort);
  return combine32(callerHash, combine32(flow.destinationAddress, flow.destinationPort));
}
