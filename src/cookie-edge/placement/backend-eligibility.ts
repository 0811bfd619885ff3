/** Which back ends may get a new flow of a route at all, whatever their load and health: neither may be traded for these rules. */
import type { KnownBackend, Route, RoutingKnowledge } from '../routing/index.js';
import type { ColdAdmission } from './cold-admission.js';

/** Why a back end may not get a new flow. `cold`: its share of openings while it is slow from its start is used up. */
export type Exclusion = 'departed' | 'draining' | 'cordoned' | 'region' | 'cold';

/** How many back ends were excluded, by reason. */
type ExclusionCounts = Readonly<Partial<Record<Exclusion, number>>>;

/** What the rules look at. */
interface BackendEligibilityOptions {
  readonly knowledge: RoutingKnowledge;
  readonly coldAdmission: ColdAdmission;
  /** Region of a zone; undefined when nothing says so. */
  readonly regionOf: (zone: string) => string | undefined;
}

/** See the module. */
export class BackendEligibility {
  constructor(private readonly options: BackendEligibilityOptions) {}

  /**
   * Why `backend` may not get a new flow of `route`; undefined when it may. A departed back end whose record may only have
   * lapsed is not excluded, as the last resort of its service.
   */
  exclusionOf(backend: KnownBackend, route: Route, nowMs: number): Exclusion | undefined {
    const { knowledge } = this.options;
    const { record } = backend;
    if (backend.departed && !backend.lapsed) return 'departed';
    if (record.draining) return 'draining';
    if (knowledge.cordons.has(record.zone)) return 'cordoned';
    if (!this.isInAllowedRegion(record.zone, route)) return 'region';
    return nowMs < backend.coldUntilMs && !this.admitsCold(backend, nowMs) ? 'cold' : undefined;
  }

  private admitsCold(backend: KnownBackend, nowMs: number): boolean {
    const { knowledge, coldAdmission } = this.options;
    const limit = knowledge.routes()?.coldRequestsPerSecondOf(backend.record.service);
    return coldAdmission.admits(backend, limit, nowMs);
  }

  /** Back ends of a route's services that may not get its flows, by reason: for the log of a refusal. */
  countExclusions(route: Route, nowMs: number): ExclusionCounts {
    const counts: Partial<Record<Exclusion, number>> = {};
    for (const { service } of route.targets) {
      for (const backend of this.options.knowledge.backends.ofService(service)) {
        const exclusion = this.exclusionOf(backend, route, nowMs);
        if (exclusion) counts[exclusion] = (counts[exclusion] ?? 0) + 1;
      }
    }
    return counts;
  }

  private isInAllowedRegion(zone: string, { allowedRegions }: Route): boolean {
    if (!allowedRegions) return true;
    const region = this.options.regionOf(zone);
    return region !== undefined && allowedRegions.includes(region);
  }
}
