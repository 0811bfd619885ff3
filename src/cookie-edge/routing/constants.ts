/** Timing constants for reading and watching a routing source. Durations are in ms. */

/**
 * Wait of a new reader's first watch. It is almost zero, so that the confirmation shows the other daemons at once that
 * this daemon reads the source.
 */
export const FIRST_WATCH_WAIT_MS = 1;

/** Delay of the next watch after a response with changes, so that the next response batches several changes. */
export const CHANGE_WATCH_DELAY_MS = 120;

/**
 * Delay before a new reader starts long watches of a topic. Most daemons that start to read at the same time stop
 * reading before it ends, and responses about other topics confirm this one in the meantime.
 */
export const LONG_WATCH_START_DELAY_MS = 1_000;

/** Interval at which a follower checks the age of a topic during a long watch. */
export const CONFIRMATION_CHECK_INTERVAL_MS = 100;

/** Backoff after the first failed call. It doubles with each further failure, and jitter is added. */
export const RETRY_MIN_MS = 100;

/** Upper bound of the backoff, before jitter. A larger minimum set by the number of readers overrides it. */
export const RETRY_MAX_MS = 1_000;

/** Interval at which a follower that waits for its next call checks whether the wait has become shorter. */
export const RETRY_CHECK_INTERVAL_MS = 200;

/** Upper bound of doublings. 2^10 times `RETRY_MIN_MS` is far above `RETRY_MAX_MS`. */
export const RETRY_MAX_DOUBLINGS = 10;

/**
 * Largest fraction of a delay that jitter adds or subtracts, so that daemons that fail together don't retry
 * together.
 */
export const RETRY_DELAY_JITTER = 0.5;

/** The source counts as lost once calls have failed for this long. */
export const OUTAGE_AFTER_MS = 1_000;

/**
 * Records that disappear within this time after an outage may only have expired. Running back ends write their records
 * again within about 2 s of the source's return; the platform sets this bound.
 */
export const LAPSE_AFTER_OUTAGE_MS = 2_000;

/**
 * Running back ends may be missing from the list for this long after a daemon's first list. They write their records
 * again within about 2,000 ms of the source's return, and gossip adds some delay.
 */
export const SETTLING_MS = 2_500;

/**
 * While records may have expired, a daemon considers its list complete for this long after a message from a settled
 * peer. Peers send several messages a second.
 */
export const SETTLED_PEER_MS = 1_500;

/**
 * Time after a restore of the source from an older backup in which outdated entries of the backup have no effect: a
 * departed back end that is listed again gets no new flows, and a cordon that is missing stays in force. Longer than
 * the three heartbeats (3,600 ms) in which the platform writes both again or removes the record of a back end that
 * is gone.
 */
export const RESTORED_HOLD_MS = 5_000;
