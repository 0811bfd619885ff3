/**
 * Rule: computes the wait of a watch, that is, how long the source may hold back its response. Prevents needless calls,
 * and a state that is older than the freshness bound. Does no input or output; times are ms.
 *
 * Order of conditions: a topic without any confirmation is watched with almost no wait, because the first confirmation
 * shows other daemons that this one reads the source. A topic that rarely changes comes next: it gets a long wait,
 * because responses about other topics keep confirming it. Any other watch waits at most until the topic's age reaches
 * `readerAgeMs`, but never less than `watchMinWaitMs`. The source may have held back a response with changes for long,
 * so the response only confirms that nothing newer existed at the time of the request.
 */
import { FIRST_WATCH_WAIT_MS } from './constants.js';
import type { FreshnessTimings } from './freshness.js';

/** State of a topic when a watch begins. */
export interface WatchRequest {
  /** Time since the topic's last confirmation; Infinity without any. */
  readonly ageMs: number;
  /** True for a topic that rarely changes and that responses about other topics confirm. */
  readonly isLongWatchEnabled: boolean;
  /** True when the last two responses had the same source revision. */
  readonly isRevisionStable: boolean;
}

/** Returns true when a topic has been unconfirmed for so long that a long watch of it must be aborted. */
export function isOverdue(ageMs: number, { confirmAfterMs }: FreshnessTimings): boolean {
  return ageMs >= confirmAfterMs;
}

/**
 * Returns true when a topic can be watched with a long wait. While the source's revision changes, responses about other
 * topics do not confirm this one, so it needs short waits.
 */
export function canUseLongWatch(request: WatchRequest, timings: FreshnessTimings): boolean {
  return request.isLongWatchEnabled && request.isRevisionStable && !isOverdue(request.ageMs, timings);
}

/** Computes the longest time that the source may hold back the response. */
export function computeWatchWaitMs(request: WatchRequest, timings: FreshnessTimings): number {
  if (!Number.isFinite(request.ageMs)) return FIRST_WATCH_WAIT_MS;
  if (canUseLongWatch(request, timings)) return timings.longWatchWaitMs;
  const leftMs = Math.floor(timings.readerAgeMs - request.ageMs);
  return Math.max(timings.watchMinWaitMs, Math.min(timings.watchWaitMs, leftMs));
}
