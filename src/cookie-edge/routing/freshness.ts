/**
 * Times that follow from how soon a change must be in force everywhere. A looser bound lets watches wait longer, so that
 * the source is called less often; the parts of the bound are alike at any size.
 */

/** Bound for which a deployment gives none, and the loosest one that is used: beyond, dead readers would stay unnoticed. */
export const DEFAULT_FRESHNESS_BOUND_MS = 3_000;
const LOOSEST_BOUND_MS = 6_000;

/** Parts of the bound. */
const WATCH_WAIT_SHARE = 0.45;
const LONG_WATCH_WAIT_SHARE = 1.8;
const CONFIRM_AFTER_SHARE = 0.5;
const WATCH_MIN_WAIT_SHARE = 0.1;
const READER_AGE_SHARE = 0.55;
const PULL_AFTER_SHARE = 0.6;
const READ_AFTER_SHARE = 0.667;
const READ_SPREAD_SHARE = 0.167;
const READER_FRESH_SHARE = 1.333;

/** A reader is missed after this many bounds without a confirmation of it. */
const READER_MISSED_BOUNDS = 2;

/** All in ms. */
export interface FreshnessTimings {
  /** A watch is answered after this long at the latest, so that a dead connection is noticed soon. */
  readonly watchWaitMs: number;
  /**
   * A watch of a topic that seldom changes is answered after this long at the latest. While the source's revision stands still,
   * each answer about another topic confirms this one as well; a watch that went silent is noticed by `confirmAfterMs`.
   */
  readonly longWatchWaitMs: number;
  /** A long watch is broken off and asked anew, to be answered at once, when its topic was not confirmed for this long. */
  readonly confirmAfterMs: number;
  /** Shortest wait of a watch that follows a confirmation. */
  readonly watchMinWaitMs: number;
  /** A watch waits no longer than until the reader's own knowledge is this old. */
  readonly readerAgeMs: number;
  /** Without a confirmation for this long a daemon asks peers. */
  readonly pullAfterMs: number;
  /** Without a confirmation for this long, and a random part of the spread more, it reads the source itself. */
  readonly readAfterMs: number;
  readonly readSpreadMs: number;
  /**
   * A daemon stands down only for readers that confirmed something within this time. It may be longer than a confirmation lasts:
   * whoever stood down for readers that are gone lacks a confirmation soon and reads again.
   */
  readonly readerFreshMs: number;
  /**
   * A reader is missed this long after its last confirmation. Not each of its confirmations travels far, because another reader's may just
   * have done so; and nothing hangs on it, since daemons without any confirmation read for themselves much earlier.
   */
  readonly readerMissedMs: number;
}

/** The times for a bound of `boundMs`. */
export function freshnessTimings(boundMs: number): FreshnessTimings {
  const usedMs = Math.min(boundMs, LOOSEST_BOUND_MS);
  const part = (share: number): number => Math.round(usedMs * share);
  return {
    watchWaitMs: part(WATCH_WAIT_SHARE),
    longWatchWaitMs: part(LONG_WATCH_WAIT_SHARE),
    confirmAfterMs: part(CONFIRM_AFTER_SHARE),
    watchMinWaitMs: part(WATCH_MIN_WAIT_SHARE),
    readerAgeMs: part(READER_AGE_SHARE),
    pullAfterMs: part(PULL_AFTER_SHARE),
    readAfterMs: part(READ_AFTER_SHARE),
    readSpreadMs: part(READ_SPREAD_SHARE),
    readerFreshMs: part(READER_FRESH_SHARE),
    readerMissedMs: part(READER_MISSED_BOUNDS),
  };
}
