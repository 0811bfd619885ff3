/**
 * Rule: the longest wait of a watch, the time that the source may hold its response back. Prevents both calls that
 * bring nothing and knowledge that is older than the freshness bound. Does no input or output; times are ms.
 *
 * Order: a topic without any confirmation is watched with practically no wait, because the first confirmation shows
 * others that this daemon reads. A topic that seldom changes comes next, since confirmations by other topics make its
 * own age irrelevant. Any other watch waits until the topic's age reaches `readerAgeMs`: a response with changes may
 * have been under way for long, so it confirms no more than that nothing newer existed when it was requested.
 */
import { FIRST_WATCH_WAIT_MS } from './constants.js';
import type { FreshnessTimings } from './freshness.js';

/** What is known when a watch begins. */
export interface WatchRequest {
  /** Age of the topic's last confirmation; Infinity without any. */
  readonly ageMs: number;
  /** The topic seldom changes, and other topics' responses confirm it. */
  readonly isLongWatched: boolean;
  /** The source's revision stood still between the last two responses. */
  readonly isSourceCalm: boolean;
}

/** True when nothing confirmed a topic for so long that a long watch of it is broken off. */
export function isUnconfirmed(ageMs: number, { confirmAfterMs }: FreshnessTimings): boolean {
  return ageMs >= confirmAfterMs;
}

/**
 * While the source's revision moves, responses about other topics do not confirm this one, so that it is watched with
 * short waits.
 */
export function mayWatchLong(request: WatchRequest, timings: FreshnessTimings): boolean {
  return request.isLongWatched && request.isSourceCalm && !isUnconfirmed(request.ageMs, timings);
}

/** The longest time that the source may hold the watch back. */
export function watchWaitMs(request: WatchRequest, timings: FreshnessTimings): number {
  if (!Number.isFinite(request.ageMs)) return FIRST_WATCH_WAIT_MS;
  if (mayWatchLong(request, timings)) return timings.longWatchWaitMs;
  const leftMs = Math.floor(timings.readerAgeMs - request.ageMs);
  return Math.max(timings.watchMinWaitMs, Math.min(timings.watchWaitMs, leftMs));
}
