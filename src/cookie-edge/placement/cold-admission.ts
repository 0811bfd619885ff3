/**
 * Rule: whether this balancer may send one more new flow to a back end in slow start.
 *
 * Keeps the new flows of all balancers together within the rate that a cold back end can serve, above all when a whole
 * zone comes back and its empty back ends attract every new flow. Does no input or output.
 *
 * Rendezvous hashing assigns each cold back end to `COLD_BACKEND_OWNERS` balancers. Only these owners send it new
 * flows, each at its share of the rate and evenly spaced, so that balancers need not exchange counts. Order: the
 * spacing is tested before the ownership, because ownership requires a ranking of all balancers. A back end without a
 * rate or past its slow start is not limited.
 */
import type { KnownBackend } from '../routing/index.js';
import { COLD_BACKEND_OWNERS, MAX_MEMBERSHIP_VIEWS } from './constants.js';

/** Limits of the admission, and the assignment of back ends to balancers. */
export interface ColdAdmissionOptions {
  /** Configured factor by which the new flows of a cold back end may exceed its rate within any second. */
  readonly overage: number;
  /** New flows that are allowed in addition within any second. */
  readonly slack: number;
  /** True if this balancer is one of the `count` owners of a back end. */
  readonly isOwner: (backendId: string, count: number) => boolean;
}

const MS_PER_SECOND = 1_000;

/** Owns the time of the last new flow to each cold back end. Times are monotonic ms. */
export class ColdAdmission {
  private readonly lastPlacedAtMs = new Map<KnownBackend, number>();

  constructor(private readonly options: ColdAdmissionOptions) {}

  /**
   * True if this balancer may send a new flow to `backend` now.
   *
   * @param requestsPerSecond rate that the back end can serve while it is cold; undefined: no limit
   */
  canAdmit(backend: KnownBackend, requestsPerSecond: number | undefined, nowMs: number): boolean {
    if (requestsPerSecond === undefined || nowMs >= backend.coldUntilMs) return true;
    const spacingMs = this.spacingMs(requestsPerSecond);
    const lastPlacedMs = this.lastPlacedAtMs.get(backend) ?? Number.NEGATIVE_INFINITY;
    return nowMs - lastPlacedMs >= spacingMs && this.options.isOwner(backend.id, COLD_BACKEND_OWNERS);
  }

  /** Records that a new flow was sent to `backend`. */
  recordPlacement(backend: KnownBackend, nowMs: number): void {
    if (nowMs < backend.coldUntilMs) this.lastPlacedAtMs.set(backend, nowMs);
    else this.lastPlacedAtMs.delete(backend);
  }

  /** Removes the stored time of a back end's last flow. */
  remove(backend: KnownBackend): void {
    this.lastPlacedAtMs.delete(backend);
  }

  /**
   * Time in ms between two new flows from one owner. Within any second, an owner may send one flow more than its rate.
   * The limit allows for this extra flow, so that the owners of all `MAX_MEMBERSHIP_VIEWS` diverging membership views
   * stay within it together.
   */
  private spacingMs(requestsPerSecond: number): number {
    const { overage, slack } = this.options;
    const limit = requestsPerSecond * overage + slack;
    const ownersRate = Math.min(requestsPerSecond, limit / MAX_MEMBERSHIP_VIEWS - COLD_BACKEND_OWNERS);
    return ownersRate > 0 ? (MS_PER_SECOND * COLD_BACKEND_OWNERS) / ownersRate : Number.POSITIVE_INFINITY;
  }
}
