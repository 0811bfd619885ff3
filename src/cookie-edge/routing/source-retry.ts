/**
 * Rule: computes the exponential backoff after a failed call to the source, and decides when the source counts as lost.
 * Prevents a fleet from overloading a slow or unreachable source, and a single failed call from counting as an outage.
 * Does no input or output; times are ms.
 *
 * The delay doubles with each consecutive failure up to `RETRY_MAX_MS`. A larger minimum overrides that bound, because
 * it grows with the number of daemons that may read the source at the same time. The caller adds the jitter.
 */
import { OUTAGE_AFTER_MS, RETRY_MAX_DOUBLINGS, RETRY_MAX_MS, RETRY_MIN_MS } from './constants.js';

/**
 * Computes the delay before the next call, without jitter.
 *
 * @param failedCalls consecutive failed calls, including the last one; at least 1
 * @param minimumMs minimum delay for the number of readers; 0 when that is unknown
 */
export function retryDelayMs(failedCalls: number, minimumMs: number): number {
  const doubled = RETRY_MIN_MS * 2 ** Math.min(failedCalls - 1, RETRY_MAX_DOUBLINGS);
  return Math.max(Math.min(doubled, RETRY_MAX_MS), minimumMs);
}

/**
 * Returns true if a call that fails `silentMs` after the last response, or after this daemon started to read, shows an
 * outage.
 */
export function isOutage(silentMs: number): boolean {
  return silentMs >= OUTAGE_AFTER_MS;
}
