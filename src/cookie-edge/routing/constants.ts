/** Timeouts of following a routing source. Durations are in ms. */

/**
 * Wait of a new reader's first watch: its confirmation shows the other daemons at once that this one reads. Practically
 * none.
 */
export const FIRST_WATCH_WAIT_MS = 1;

/** Delay of the next watch after a response with changes, so that one response brings several changes. */
export const CHANGE_WATCH_DELAY_MS = 120;

/**
 * Delay before a new reader watches the topic with long watches. Most daemons that begin to read together stand down
 * before it passes, and responses about the other topics confirm this one meanwhile.
 */
export const LONG_WATCH_START_MS = 1_000;

/** Interval at which a long watch checks the age of its topic. */
export const CONFIRM_CHECK_MS = 100;

/** First delay after a failed call; doubled with each further one, and jittered. */
export const RETRY_MIN_MS = 100;

/** Longest delay, jitter and the minimum by the number of readers apart. */
export const RETRY_MAX_MS = 1_000;

/** Doublings after which the delay stays the same. 2^10 times `RETRY_MIN_MS` is far above `RETRY_MAX_MS`. */
export const RETRY_MAX_DOUBLINGS = 10;

/** Largest part of a delay that jitter adds or takes off. Daemons that fail together must not retry together. */
export const RETRY_DELAY_JITTER = 0.5;

/** The source counts as lost once calls have failed for this long. */
export const OUTAGE_AFTER_MS = 1_000;

/**
 * Records that vanish within this time after an outage may have lapsed. A bound of the platform: back ends that live
 * are recorded again about 2 s after the source's return.
 */
export const LAPSE_AFTER_OUTAGE_MS = 2_000;

/**
 * After the first list of a start, back ends that live may still be missing from it for this long, in ms: they are
 * recorded again within about 2,000 ms of the source's return, and gossip takes a moment.
 */
export const SETTLING_MS = 2_500;

/**
 * A message of a settled peer settles a daemon that has lost the source for this long, in ms. Peers send several a
 * second.
 */
export const SETTLED_PEER_MS = 1_500;

/**
 * After the source was restored from an older copy, what the copy may hold wrongly waits this long, in ms: a back end
 * that had left and is listed again gets no new flows, and a cordon that is not listed stays in force. Longer than the
 * platform needs to write both again or to remove the entry of a back end that is gone: three heartbeats, 3,600 ms.
 */
export const RESTORED_HOLD_MS = 5_000;
