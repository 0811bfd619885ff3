/**
 * Rule: decides whether a record that disappeared from the source may only have lapsed (expired without renewal), so
 * that its back end may still run. Prevents a service from losing back ends only because they could not renew their
 * records during an outage. Does no input or output; times are ms.
 *
 * A daemon that has not detected an outage treats the record as removed. Placement decides for how long, and after
 * which signs of life, a back end with a lapsed record still gets new flows.
 */
import { LAPSE_AFTER_OUTAGE_MS } from './constants.js';

/**
 * Returns true during an outage of the source and for `LAPSE_AFTER_OUTAGE_MS` after it. `sinceRegainedMs` is Infinity
 * before the first outage.
 */
export function recordsMayLapse(isSourceLost: boolean, sinceRegainedMs: number): boolean {
  return isSourceLost || sinceRegainedMs < LAPSE_AFTER_OUTAGE_MS;
}

/** Returns true if a missing record may have lapsed. The record of a draining back end was removed on purpose. */
export function countsAsLapsed(mayLapse: boolean, isDraining: boolean): boolean {
  return mayLapse && !isDraining;
}
