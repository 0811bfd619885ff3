/**
 * Limits the new flows that all balancers together send to a back end while it is cold from its start. Each cold back end is
 * assigned to a few balancers by rendezvous hashing; only these send it flows, each at its part of the rate, evenly spaced. No
 * balancer needs to hear what the others sent, and after a whole zone came back nobody rushes to its empty back ends.
 */
import type { KnownBackend } from '../routing/index.js';
import { COLD_OWNERS, COLD_VIEWS } from '../forwarding/constants.js';

/** What the admission looks at. */
export interface ColdAdmissionOptions {
  /** Factor and addition by which a back end may get more than its rate in a second, as the deployment allows. */
  readonly overage: number;
  readonly slack: number;
  /** True when this balancer is among the `count` that are assigned to a back end. */
  readonly isOwner: (backendId: string, count: number) => boolean;
}

/** In a second. */
const MILLISECONDS = 1_000;

/** See the module. Times are monotonic ms. */
export class ColdAdmission {
  /** When the last flow was sent to each cold back end. */
  private readonly admittedAtMs = new Map<KnownBackend, number>();

  constructor(private readonly options: ColdAdmissionOptions) {}

  /**
   * True when a new flow may go to `backend`.
   *
   * @param requestsPerSecond rate that the back end bears while it is cold; undefined: no limit
   */
  admits(backend: KnownBackend, requestsPerSecond: number | undefined, nowMs: number): boolean {
    if (requestsPerSecond === undefined || nowMs >= backend.coldUntilMs) return true;
    const spacingMs = this.spacingMs(requestsPerSecond);
    const admittedAtMs = this.admittedAtMs.get(backend) ?? Number.NEGATIVE_INFINITY;
    return nowMs - admittedAtMs >= spacingMs && this.options.isOwner(backend.id, COLD_OWNERS);
  }

  /** Notes that a new flow was sent to `backend`. */
  note(backend: KnownBackend, nowMs: number): void {
    if (nowMs < backend.coldUntilMs) this.admittedAtMs.set(backend, nowMs);
    else this.admittedAtMs.delete(backend);
  }

  /** Forgets a back end. */
  forget(backend: KnownBackend): void {
    this.admittedAtMs.delete(backend);
  }

  /**
   * Time between two flows of one owner. In any second an owner sends one flow more than its rate says; with that, the owners of
   * `COLD_VIEWS` differing views of the fleet stay within the limit together.
   */
  private spacingMs(requestsPerSecond: number): number {
    const { overage, slack } = this.options;
    const limit = requestsPerSecond * overage + slack;
    const rate = Math.min(requestsPerSecond, limit / COLD_VIEWS - COLD_OWNERS);
    return rate > 0 ? (MILLISECONDS * COLD_OWNERS) / rate : Number.POSITIVE_INFINITY;
  }
}
