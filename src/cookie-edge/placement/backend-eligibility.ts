/**
 * Rule: which back ends may get a new flow of a route at all.
 *
 * Prevents new flows at back ends that must not have them whatever their load: no fallback class of the placement
 * overrides this rule. Does no input or output.
 *
 * Order: what the record says comes first, because it needs no state of the back end; `cold` is last among these,
 * because only its test costs a ranking of the fleet. Then what this balancer has observed: `full`, `dead`, `disputed`.
 * Missing knowledge: a zone without a region is in no allowed region; a service without a limit of connections or a
 * cold rate is not limited.
 *
 * Relies on the routing knowledge for records, cordons and limits, and on the back end's state for open flows and dead
 * verdicts.
 */
import type { LocalBackendState } from '../backend-health/index.js';
import type { KnownBackend, Route, RoutingKnowledge } from '../routing/index.js';
import type { ColdAdmission } from './cold-admission.js';

/**
 * Why a record or a limit of the deployment excludes a back end. `cold`: its rate of new flows in slow start is used
 * up.
 */
export type RecordExclusion = 'departed' | 'draining' | 'cordoned' | 'region' | 'cold';

/**
 * Why the state of a back end excludes it. `full`: it holds its maximum of flows; `dead`: it is held dead; `disputed`:
 * another back end probably listens at its address.
 */
export type StateExclusion = 'full' | 'dead' | 'disputed';

/** Number of excluded back ends, by reason. */
type ExclusionCounts = Readonly<Partial<Record<RecordExclusion, number>>>;

/** What the rule looks at. */
interface BackendEligibilityOptions {
  readonly knowledge: RoutingKnowledge;
  readonly coldAdmission: ColdAdmission;
  readonly stateOf: (backend: KnownBackend) => LocalBackendState;
  /** Region of a zone; undefined when it is not configured. */
  readonly regionOf: (zone: string) => string | undefined;
}

/**
 * Why a back end's state excludes it; undefined when it does not. `maxConnections` limits this balancer's open flows
 * there.
 */
export function stateExclusionOf(
  state: LocalBackendState,
  maxConnections: number,
  nowMs: number,
): StateExclusion | undefined {
  if (state.openFlows >= maxConnections) return 'full';
  if (state.isDead(nowMs)) return 'dead';
  return state.standing === 'disputed' ? 'disputed' : undefined;
}

/** Tests back ends against the rule. Times are monotonic ms. */
export class BackendEligibility {
  constructor(private readonly options: BackendEligibilityOptions) {}

  /** The state of `backend` if it may get a new flow of `route`; undefined when it is excluded. */
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
   * Why its record excludes `backend` from new flows of `route`; undefined when it does not. A departed back end whose
   * record may only have lapsed is not excluded: it is the last resort of its service.
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

  /** Back ends of a route's services that their records exclude, by reason: for the log of a refusal. */
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
