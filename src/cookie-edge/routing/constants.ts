/** Times of following a routing source. */

/** The first watch of a new reader is answered at once: its confirmation tells others that somebody reads. */
export const FIRST_WATCH_WAIT_MS = 1;

/** After an answer with changes the next watch is asked for this much later, so that changes in a row come together. */
export const CHANGE_GATHER_MS = 120;

/**
 * A reader that has just started begins to watch the topic with long watches this much later than the others, in ms: most of those
 * that start together stop before, and the answers about the other topics confirm it meanwhile.
 */
export const LONG_WATCH_START_MS = 1_000;

/** While a long watch is under way, its topic's age is checked this often. */
export const CONFIRM_CHECK_MS = 100;

/** First wait after a failed call, and the largest; waits are jittered and doubled. */
export const RETRY_MIN_MS = 100;
export const RETRY_MAX_MS = 1_000;

/** Part of a wait that is drawn at random. */
export const RETRY_JITTER = 0.5;

/** Failed calls for this long mean that the source is out of reach. */
export const OUTAGE_AFTER_MS = 1_000;

/**
 * Records that vanish up to this long after an outage may have lapsed because their owners could not write. Those that live
 * are back by then, as the platform promises; one that vanishes later left. In ms.
 */
export const LAPSE_AFTER_OUTAGE_MS = 2_000;
