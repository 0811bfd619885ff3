/** Times of following a routing source. */

/** A watch is answered after this long at the latest, so that a dead connection is noticed soon. */
export const WATCH_WAIT_MS = 1_500;

/**
 * A watch that follows an answer with changes waits this long only: such an answer may have been on its way for long, so it
 * proves no more than that nothing newer existed when it was asked for.
 */
export const WATCH_WAIT_AFTER_CHANGE_MS = 300;

/** First wait after a failed call, and the largest; waits are jittered and doubled. */
export const RETRY_MIN_MS = 100;
export const RETRY_MAX_MS = 1_000;

/** Part of a wait that is drawn at random. */
export const RETRY_JITTER = 0.5;

/** Failed calls for this long mean that the source is out of reach. */
export const OUTAGE_AFTER_MS = 1_000;

/**
 * Records that vanish up to this long after an outage may have lapsed because their owners could not write: a back
 * end writes about every 1.2 s and lapses after three times that.
 */
export const LAPSE_AFTER_OUTAGE_MS = 4_000;
