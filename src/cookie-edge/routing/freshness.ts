/**
 * Rule: derives all durations for reading the source from the freshness bound, the time within which a change must
 * be in force on every daemon. Keeps the state within the bound, and saves calls where the bound is looser, because
 * watches then wait longer. Does no input or output.
 *
 * Without confirmations the durations elapse in this order: `readerAgeMs` (the maximum age at a reader),
 * `pullAfterMs` (the daemon pulls from peers), `readAfterMs` plus a random part of `readSpreadMs` (the daemon reads
 * the source).
 */

/** Default freshness bound in ms. */
export const DEFAULT_FRESHNESS_BOUND_MS = 3_000;

/** Upper limit of the bound in ms. With a looser bound, dead readers would go undetected. */
const LOOSEST_BOUND_MS = 6_000;

/**
 * Fractions of the freshness bound. The longest wait and the maximum age at a reader add up to the bound:
 * `WATCH_WAIT_SHARE` + `READER_AGE_SHARE` = 1.
 */
const WATCH_WAIT_SHARE = 0.45;
const READER_AGE_SHARE = 0.55;

/**
 * Four ordinary waits. With long watches of cordons only, three topics need at most 1.15 times the calls of two topics.
 */
const LONG_WATCH_WAIT_SHARE = 1.8;

/** A long watch is aborted while half of the bound is left. */
const CONFIRM_AFTER_SHARE = 0.5;

const WATCH_MIN_WAIT_SHARE = 0.1;

/** Above `READER_AGE_SHARE`, the longest age of the state at a reader. */
const PULL_AFTER_SHARE = 0.6;

/** Above `PULL_AFTER_SHARE`, so that a daemon pulls before it reads. */
const READ_AFTER_SHARE = 0.667;

/** Leaves 0.166 of the bound for the first read after `READ_AFTER_SHARE` and this spread. */
const READ_SPREAD_SHARE = 0.167;

/** Longer than the bound; see `FreshnessTimings.readerFreshMs`. */
const READER_FRESH_SHARE = 1.333;

/** Multiple of the bound after which a reader without a new confirmation counts as gone. */
const READER_MISSED_BOUNDS = 2;

/** Durations in ms. */
export interface FreshnessTimings {
  /** Longest wait of a watch. A dead connection is detected no later than this. */
  readonly watchWaitMs: number;
  /**
   * Longest wait of a watch of a topic that rarely changes. While the source's revision is unchanged, each response
   * about another topic also confirms this one. `confirmAfterMs` bounds how late a stalled watch is detected.
   */
  readonly longWatchWaitMs: number;
  /** A long watch is aborted and repeated with a short wait when its topic has not been confirmed for this long. */
  readonly confirmAfterMs: number;
  /** Shortest wait of a watch that follows a confirmation. */
  readonly watchMinWaitMs: number;
  /** A watch waits at most until the reader's own state is this old, but never less than `watchMinWaitMs`. */
  readonly readerAgeMs: number;
  /** A daemon sends pull requests to peers after this long without a confirmation. */
  readonly pullAfterMs: number;
  /** A daemon reads the source itself after this long without a confirmation, plus a random part of `readSpreadMs`. */
  readonly readAfterMs: number;
  readonly readSpreadMs: number;
  /**
   * A daemon stops reading only in favor of readers that sent a confirmation within this time. This may be longer than
   * the freshness bound: if those readers are gone, the daemon soon lacks a confirmation and reads again.
   */
  readonly readerFreshMs: number;
  /**
   * A reader counts as gone this long after its last confirmation. Not all of its confirmations reach every daemon:
   * gossip does not forward one that closely follows another reader's. The time may be long, because a daemon without
   * any confirmation reads the source itself much earlier.
   */
  readonly readerMissedMs: number;
}

/** Computes the durations for a freshness bound of `boundMs`. */
export function freshnessTimings(boundMs: number): FreshnessTimings {
  const cappedBoundMs = Math.min(boundMs, LOOSEST_BOUND_MS);
  const shareOfBound = (share: number): number => Math.round(cappedBoundMs * share);
  return {
    watchWaitMs: shareOfBound(WATCH_WAIT_SHARE),
    longWatchWaitMs: shareOfBound(LONG_WATCH_WAIT_SHARE),
    confirmAfterMs: shareOfBound(CONFIRM_AFTER_SHARE),
    watchMinWaitMs: shareOfBound(WATCH_MIN_WAIT_SHARE),
    readerAgeMs: shareOfBound(READER_AGE_SHARE),
    pullAfterMs: shareOfBound(PULL_AFTER_SHARE),
    readAfterMs: shareOfBound(READ_AFTER_SHARE),
    readSpreadMs: shareOfBound(READ_SPREAD_SHARE),
    readerFreshMs: shareOfBound(READER_FRESH_SHARE),
    readerMissedMs: shareOfBound(READER_MISSED_BOUNDS),
  };
}
