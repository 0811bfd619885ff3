/** Timings of reading and writing the roster, in ms. */

/** Interval at which a daemon checks whether it may write the roster, and which pages are outdated. */
export const ROSTER_CHECK_MS = 500;

/**
 * Minimum time between two rounds of writes. A rolling replacement of back ends makes at least one change a second.
 * A roster that lacks the latest changes costs some flows only if all daemons are lost at that moment.
 */
export const ROSTER_WRITE_INTERVAL_MS = 2_000;

/** Delay before the writer retries after a failed call. */
export const ROSTER_RETRY_MS = 2_000;

/**
 * Delay between the first list of back ends and the first read of the roster. A peer whose list is settled usually
 * answers within this time, which makes the read unnecessary.
 */
export const ROSTER_READ_DELAY_MS = 20;

/** Delay before the reader retries after a failed read. */
export const ROSTER_READ_RETRY_MS = 200;
