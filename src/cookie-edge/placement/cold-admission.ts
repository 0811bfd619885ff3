/**
 * Rule: whether a back end in slow start may get one more new flow from this balancer.
 *
 * Keeps all balancers together within the rate that a cold back end bears, above all when a whole zone comes back and
 * its empty back ends attract every new flow. Does no input or output.
 *
 * Each cold back end is assigned to `COLD_OWNERS` balancers by rendezvous hashing; only these send it flows, each at
 * its part of the rate, evenly spaced. No balancer needs to hear what the others sent. Order: the spacing is tested
 * before the ownership, since ownership costs a ranking of the fleet. A back end without a rate, or past its slow
 * start, is not limited.
 */
import type { KnownBackend } from '../routing/index.js';
import { COLD_BACKEND_OWNERS, MAX_MEMBERSHIP_VIEWS } from './constants.js';

/** What the admission looks at. */
export interface ColdAdmissionOptions {
  /** Factor by which a cold back end's flows in a second may exceed its rate, as the deployment allows. */
  readonly overage: number;
  /** Flows in a second that are allowed in addition. */
  readonly slack: number;
  /** True when this balancer is among the `count` that are assigned to a back end. */
  readonly isOwner: (backendId: string, count: number) => boolean;
}

const MS_PER_SECOND = 1_000;

/** Owns the time of the last flow to each cold back end. Times are monotonic ms. */
export class ColdAdmission {
  private readonly lastPlacedAtMs = new Map<KnownBackend, number>();

  constructor(private readonly options: ColdAdmissionOptions) {}

  /**
   * True when a new flow may go to `backend`.
   *
   * @param requestsPerSecond rate that the back end bears while it is cold; undefined: no limit
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

  /** Forgets a back end. */
  forget(backend: KnownBackend): void {
    this.lastPlacedAtMs.delete(backend);
  }

  /**
   * Time in ms between two flows of one owner. In any second an owner sends one flow more than its rate says; with that
   * included, the owners of `COLD_VIEWS` differing views of the fleet stay within the limit together.
   */
  private spacingMs(requestsPerSecond: number): number {
    const { overage, slack } = this.options;
    const limit = requestsPerSecond * overage + slack;
    const ownersRate = Math.min(requestsPerSecond, limit / MAX_MEMBERSHIP_VIEWS - COLD_BACKEND_OWNERS);
    return ownersRate > 0 ? (MS_PER_SECOND * COLD_BACKEND_OWNERS) / ownersRate : Number.POSITIVE_INFINITY;
  }
}
