/** Durations of the roster, in ms. */

/** Interval at which a daemon looks whether it writes the roster, and what. */
export const ROSTER_CHECK_MS = 500;

/**
 * Shortest time between two rounds of writes. A replacement of back ends one by one makes a change or more each second;
 * a roster that lacks the last of them costs some flows only when all daemons are lost at that moment.
 */
export const ROSTER_WRITE_INTERVAL_MS = 2_000;

/** Delay after a failed call. */
export const ROSTER_RETRY_MS = 2_000;

/** Delay of a start's read after its first list: a settled peer usually answers within it, which saves the read. */
export const ROSTER_READ_DELAY_MS = 20;

/** Delay after a failed read of a start. */
export const ROSTER_READ_RETRY_MS = 200;
