/** Durations in ms, levels and sizes of load reports. */

/** Interval in ms between readings of call counts. Back ends write theirs about every 1.2 s. */
export const LOAD_READ_INTERVAL_MS = 2_000;

/**
 * Below this many daemons no load is read, because each places enough flows to balance by its own counts.
 */
export const LOAD_MIN_DAEMONS = 16;

/**
 * Weight of the newest rate in the moving average. Below 1 because one reading sees only one or two writes of a back
 * end.
 */
export const RATE_SHARE = 0.4;

/** A back end is busy above this multiple of its service's mean rate. Less is chance at a few calls a second. */
export const BUSY_LEVEL = 1.1;

/**
 * Back ends named in one report, the busiest first. Each takes up to 5 bytes, so that a report and the rest of its
 * message stay within a datagram of 1,400 bytes; a page of 500 back ends has about 200 above the level.
 */
export const MAX_REPORTED = 128;

/** A report is used for this many readings of its page. One may be lost and one may have returned an old list. */
export const VALID_READINGS = 3;

/**
 * A report replaces one of the same page only if it is this much newer, in ms, so that those of two readers are not
 * both gossiped. Half of `LOAD_READ_INTERVAL_MS`.
 */
export const LOAD_STEP_MS = 1_000;

/**
 * Bits of a back end's hash that name it in reports. Part of the wire; two back ends that share a tag both count as
 * busy.
 */
const TAG_BITS = 16;

/** Selects the lowest `TAG_BITS` bits of a hash. 2^16 - 1. */
export const TAG_MASK = 2 ** TAG_BITS - 1;
