/**
 * Rule of eligibility: the back ends of a service that may take an opening now.
 *
 * It prevents openings at back ends that drain, were tried already, are out of use or full. Conditions that need no
 * look-up come first. An unknown load excludes nobody; then the own count alone limits. No input or output.
 */
import type { EffectiveBackend } from '../../settings/types.js';
import type { BackendHealth } from '../health/types.js';
import { CAPACITY_SLACK } from './constants.js';
import type { PlacementRequest } from './types.js';

/** A back end that may take the opening. */
export interface Candidate {
  readonly backend: EffectiveBackend;
  readonly id: number;
  /** Weight in force: configured weight times warm-up, > 0. */
  readonly weight: number;
  /** Flows this balancer keeps there. */
  readonly ownFlows: number;
  readonly health: BackendHealth;
  /**
   * Flows of this balancer that the back end would hold if load followed weight exactly; set by
   * `ServiceBalance.weigh`.
   */
  share: number;
  /** Flows beyond the share, corrected by reports; negative when below. Set by `ServiceBalance.weigh`. */
  excess: number;
}

/** Least warm-up that a candidate's weight is computed with. Above 0, because a weight must be. */
const SMALLEST_WARMUP = 0.01;

/**
 * Lists the candidates in the order of the service's back ends.
 *
 * @param capacityShare this balancer's part (0–1) of each back end's connections. A balancer knows only its own flows
 * and, with a delay, the reported total, so a back end may exceed `maxConnections` by at most the slack plus what opens
 * within one report; a report of a full back end closes it for everyone.
 */
export function listCandidates(request: PlacementRequest, capacityShare: number): Candidate[] {
  const candidates: Candidate[] = [];
  for (const backend of request.service.backends) {
    if (backend.draining || request.exclude?.has(backend.id)) continue;
    const health = request.health.health(backend.id);
    if (!health.eligible) continue;
    const ownFlows = request.load.openFlows(backend.id);
    if (!hasCapacity(backend, ownFlows, health, capacityShare)) continue;
    const weight = backend.weight * Math.max(SMALLEST_WARMUP, health.warmup);
    candidates.push({ backend, id: backend.id, weight, ownFlows, health, share: 0, excess: 0 });
  }
  return candidates;
}

function hasCapacity(
  backend: EffectiveBackend,
  ownFlows: number,
  health: BackendHealth,
  capacityShare: number,
): boolean {
  if (health.reportedLoad !== undefined && health.reportedLoad >= 1) return false;
  if (capacityShare >= 1) return ownFlows < backend.maxConnections;
  const ownLimit = Math.ceil(backend.maxConnections * capacityShare * (1 + CAPACITY_SLACK));
  return ownFlows < Math.min(ownLimit, backend.maxConnections);
}
