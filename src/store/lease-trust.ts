/**
 * Decides how long a granted lease is trusted.
 *
 * What the rule prevents: that a holder still acts on a lease that the platform has given to another. The time
 * counts from the moment the request was sent, since the platform cannot have granted the lease before.
 * `LEASE_DRIFT_SHARE` of it covers clocks that run at different rates, `LEASE_MARGIN_MS` what a pause may add
 * between the check and the act.
 *
 * Owns nothing; relies on monotonic times in ms of this process.
 */
import { LEASE_DRIFT_SHARE, LEASE_MARGIN_MS } from './constants.js';

/**
 * How long a lease of `grantedMs` is trusted, in ms from the moment its request was sent; 0 when it is too short to
 * use.
 */
export function trustedDurationMs(grantedMs: number): number {
  return Math.max(0, grantedMs * (1 - LEASE_DRIFT_SHARE) - LEASE_MARGIN_MS);
}
