/**
 * Rule: which back ends may get a new flow of a route at all.
 *
 * Keeps new flows away from back ends that must not get them, whatever their load: no fallback class of the placement
 * overrides this rule. Does no input or output.
 *
 * Order: the conditions of the record come first, because they need no state of the back end. `cold` is the last of
 * them, because only this test ranks all balancers (rendezvous hashing). Then the conditions that this balancer has
 * observed: `full`, `dead`, `disputed`. Missing knowledge: a zone without a region is in no allowed region; a service
 * without a connection limit or a cold rate is not limited.
 *
 * Relies on the routing knowledge for records, cordons and limits, and on the back end's state for open flows and dead
 * verdicts.
 */
import type { LocalBackendState } from '../backend-health/index.js';
import type { KnownBackend, Route, RoutingKnowledge } from '../routing/index.js';
import type { ColdAdmission } from './cold-admission.js';

/**
 * Why a back end's record or a configured limit excludes it. `cold`: it is in slow start, and this balancer may not
 * send it another new flow yet.
 */
export type RecordExclusion = 'departed' | 'draining' | 'cordoned' | 'region' | 'cold';

/**
 * Why the state of a back end excludes it. `full`: it has its maximum number of flows; `dead`: a dead verdict is in
 * force; `disputed`: another back end probably listens at its address.
 */
export type StateExclusion = 'full' | 'dead' | 'disputed';

/** Number of excluded back ends by reason. */
type ExclusionCounts = Readonly<Partial<Record<RecordExclusion, number>>>;

/** Sources of the rule's inputs. */
interface BackendEligibilityOptions {
  readonly knowledge: RoutingKnowledge;
  readonly coldAdmission: ColdAdmission;
  readonly stateOf: (backend: KnownBackend) => LocalBackendState;
  /** Region of a zone; undefined when it is not configured. */
  readonly regionOf: (zone: string) => string | undefined;
}

/**
 * Returns why a back end's state excludes it, or undefined if it does not. `maxConnections` limits the open flows of
 * this balancer to the back end.
 */
export function stateExclusionOf(
  state: LocalBackendState,
  maxConnections: number,
  nowMs: number,
): StateExclusion | undefined {
  if (state.openFlows >= maxConnections) return 'full';
  if (state.isDead(nowMs)) return 'dead';
  return state.addressStatus === 'disputed' ? 'disputed' : undefined;
}

/** Tests back ends against the rule. Times are monotonic ms. */
export class BackendEligibility {
  constructor(private readonly options: BackendEligibilityOptions) {}

  /** Returns the state of `backend` if it may get a new flow of `route`, or undefined if it is excluded. */
  eligibleStateOf(
    backend: KnownBackend,
    route: Route,
    maxConnections: number,
    nowMs: number,
  ): LocalBackendState | undefined {
    if (this.recordExclusionOf(backend, route, nowMs)) return undefined;
    const state = this.options.stateOf(backend);
    return stateExclusionOf(state, maxConnections, nowMs) ? undefined : state;
  }

  /**
   * Returns why the record of `backend` excludes it from new flows of `route`, or undefined if it does not. A departed
   * back end whose record may only have lapsed is not excluded, because it is the last resort of its service.
   */
  recordExclusionOf(backend: KnownBackend, route: Route, nowMs: number): RecordExclusion | undefined {
    const { knowledge } = this.options;
    const { record } = backend;
    if (backend.departed && !backend.lapsed) return 'departed';
    if (record.draining) return 'draining';
    if (knowledge.cordons.has(record.zone)) return 'cordoned';
    if (!this.isInAllowedRegion(record.zone, route)) return 'region';
    return nowMs < backend.coldUntilMs && !this.isWithinColdRate(backend, nowMs) ? 'cold' : undefined;
  }

  /** Counts, by reason, the back ends of a route's services that their records exclude. Logged with a refusal. */
  countRecordExclusions(route: Route, nowMs: number): ExclusionCounts {
    const counts: Partial<Record<RecordExclusion, number>> = {};
    for (const { service } of route.targets) {
      for (const backend of this.options.knowledge.backends.ofService(service)) {
        const exclusion = this.recordExclusionOf(backend, route, nowMs);
        if (exclusion) counts[exclusion] = (counts[exclusion] ?? 0) + 1;
      }
    }
    return counts;
  }

  private isWithinColdRate(backend: KnownBackend, nowMs: number): boolean {
    const { knowledge, coldAdmission } = this.options;
    const requestsPerSecond = knowledge.routes()?.coldRequestsPerSecondOf(backend.record.service);
    return coldAdmission.canAdmit(backend, requestsPerSecond, nowMs);
  }

  private isInAllowedRegion(zone: string, { allowedRegions }: Route): boolean {
    if (!allowedRegions) return true;
    const region = this.options.regionOf(zone);
    return region !== undefined && allowedRegions.includes(region);
  }
}
