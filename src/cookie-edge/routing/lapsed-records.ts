/**
 * Rule: whether a record that vanished from the source may only have lapsed, so that its back end may still live.
 * Keeps a service from losing back ends merely because they could not renew their records in an outage. Does no input
 * or output; times are ms.
 *
 * A daemon that has not noticed an outage treats the record as removed. Placement decides for how long, and on which
 * signs of life, a lapsed record still gets flows.
 */
import { LAPSE_AFTER_OUTAGE_MS } from './constants.js';

/**
 * True during an outage of the source and for `LAPSE_AFTER_OUTAGE_MS` after it; `sinceRegainedMs` is Infinity before
 * any.
 */
export function recordsMayLapse(isSourceLost: boolean, sinceRegainedMs: number): boolean {
  return isSourceLost || sinceRegainedMs < LAPSE_AFTER_OUTAGE_MS;
}

/** True for a record that may have lapsed; one whose back end was draining was removed on purpose. */
export function hasLapsed(mayLapse: boolean, draining: boolean): boolean {
  return mayLapse && !draining;
}
