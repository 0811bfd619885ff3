/** Times and sizes of load reports. */

/** A reader of the source asks for call counts this often: back ends write theirs about every 1.2 s. */
export const LOAD_READ_INTERVAL_MS = 2_000;

/**
 * Below this many daemons no load is read: each places enough flows to balance by its own counts (busiest/mean 1.03 to 1.08 on
 * 7 machines, 1.27 on 88, 1.7 and more on 195; docs/DECISIONS-MEASURED.md).
 */
export const LOAD_MIN_DAEMONS = 16;

/** Weight of the newest rate in the moving average: one reading sees only one or two writes of a back end. */
export const RATE_SHARE = 0.4;

/** A back end counts as busy above this multiple of its service's mean rate; less is chance at a few calls a second. */
export const BUSY_LEVEL = 1.1;

/**
 * Back ends named in one report, the busiest first. Each takes up to 5 bytes, so that a report and the rest of its message stay
 * within a datagram of 1,400 bytes; a page of 500 back ends has about 200 above the level.
 */
export const MAX_REPORTED = 128;

/** A report is used for this many readings of its page: one may be lost, and one may have returned an old list. */
export const VALID_READINGS = 3;

/** A report replaces one of the same page only if it is this much newer, so that those of two readers do not both travel. */
export const LOAD_STEP_MS = 1_000;

/** Back ends are named in reports by this many bits of their hash. Two that share a tag both count as busy, no more. */
const TAG_BITS = 16;
export const TAG_MASK = 2 ** TAG_BITS - 1;
