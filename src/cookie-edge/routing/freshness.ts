/**
 * Rule: the durations of reading the source, derived from the freshness bound, the time within which a change must be
 * in force everywhere. Prevents both knowledge that is older than the bound and calls that a looser bound makes
 * unnecessary: with it watches wait longer. Does no input or output.
 *
 * Order in which the durations pass for a daemon without a confirmation: a reader's own age (`readerAgeMs`), pulls from
 * peers (`pullAfterMs`), reads of the source (`readAfterMs` and a random part of `readSpreadMs`).
 */

/** Bound of a deployment that sets none, in ms. */
export const DEFAULT_FRESHNESS_BOUND_MS = 3_000;

/** Loosest bound that is used, in ms. With looser ones dead readers would stay unnoticed. */
const LOOSEST_BOUND_MS = 6_000;

/**
 * Parts of the bound, without a unit. A reader's wait and the age that it may reach add up to the bound:
 * `WATCH_WAIT_SHARE` + `READER_AGE_SHARE` = 1.
 */
const WATCH_WAIT_SHARE = 0.45;
const READER_AGE_SHARE = 0.55;

/**
 * It equals four ordinary waits. Long watches of cordons alone take at most 1.15 times the calls of two topics
 * (simulation).
 */
const LONG_WATCH_WAIT_SHARE = 1.8;

/** Half of the bound. A long watch is broken off with half of the bound left. */
const CONFIRM_AFTER_SHARE = 0.5;

/** Shortest wait of a watch. */
const WATCH_MIN_WAIT_SHARE = 0.1;

/** Above `READER_AGE_SHARE`. */
const PULL_AFTER_SHARE = 0.6;

/** Above `PULL_AFTER_SHARE`, so that a daemon pulls before it reads. */
const READ_AFTER_SHARE = 0.667;

/** After both shares 0.166 of the bound are left for the first read. */
const READ_SPREAD_SHARE = 0.167;

/** Longer than the bound, as `FreshnessTimings.readerFreshMs` explains. */
const READER_FRESH_SHARE = 1.333;

/** Multiple of the bound without a confirmation after which a reader counts as gone. */
const READER_MISSED_BOUNDS = 2;

/** Durations in ms. */
export interface FreshnessTimings {
  /** Longest wait of a watch; bounds how late a dead connection is noticed. */
  readonly watchWaitMs: number;
  /**
   * Longest wait of a watch of a topic that seldom changes. While the source's revision stands still, each response
   * about another topic confirms this one as well; `confirmAfterMs` bounds how late a silent watch is noticed.
   */
  readonly longWatchWaitMs: number;
  /** A long watch is aborted and repeated with a short wait when its topic was not confirmed for this long. */
  readonly confirmAfterMs: number;
  /** Shortest wait of a watch that follows a confirmation. */
  readonly watchMinWaitMs: number;
  /** A watch waits no longer than until the reader's own knowledge is this old. */
  readonly readerAgeMs: number;
  /** A daemon without a confirmation for this long sends pull requests to peers. */
  readonly pullAfterMs: number;
  /** Without a confirmation for this long, and a random part of the spread more, it reads the source itself. */
  readonly readAfterMs: number;
  readonly readSpreadMs: number;
  /**
   * A daemon stands down only for readers that confirmed something within this time. It may be longer than a
   * confirmation lasts: a daemon that stood down for readers that are gone soon lacks a confirmation and reads again.
   */
  readonly readerFreshMs: number;
  /**
   * A reader counts as gone this long after its last confirmation. Not each of its confirmations is gossiped far,
   * because another reader's may just have been. The bound may be loose, since daemons without any confirmation read
   * for themselves much earlier.
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
