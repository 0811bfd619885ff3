/**
 * Rule: how long to wait after a failed call to the source, and when the source counts as lost. Keeps a fleet from
 * overloading a source that is slow or unreachable, and one failed call from counting as an outage. Does no input or
 * output; times are ms.
 *
 * The delay doubles with each failed call in a row up to `RETRY_MAX_MS`. A larger minimum wins over that bound, because
 * it grows with the number of daemons that may read the source at the same time. The caller adds the jitter.
 */
import { OUTAGE_AFTER_MS, RETRY_MAX_DOUBLINGS, RETRY_MAX_MS, RETRY_MIN_MS } from './constants.js';

/**
 * The delay before the next call, without jitter.
 *
 * @param failedCalls failed calls in a row, the last one included; at least 1
 * @param minimumMs delay that the number of readers demands; 0 when that is unknown
 */
export function retryDelayMs(failedCalls: number, minimumMs: number): number {
  const doubled = RETRY_MIN_MS * 2 ** Math.min(failedCalls - 1, RETRY_MAX_DOUBLINGS);
  return Math.max(Math.min(doubled, RETRY_MAX_MS), minimumMs);
}

/** True when a failed call comes `silentMs` after the last response, or after this daemon began to read. */
export function isOutage(silentMs: number): boolean {
  return silentMs >= OUTAGE_AFTER_MS;
}
