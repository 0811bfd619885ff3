/** Durations in ms, thresholds and sizes of load reports. */

/** Interval in ms between reads of call counts. Back ends write their counts about every 1.2 s. */
export const LOAD_READ_INTERVAL_MS = 2_000;

/**
 * With fewer daemons than this, no daemon reads call counts. Each daemon then places enough flows to balance by its own
 * counts.
 */
export const MIN_DAEMONS_FOR_LOAD_REPORTS = 16;

/**
 * Weight of the newest rate in the exponential moving average. Below 1, because a back end writes its count only once
 * or twice between two reads, which makes a single rate imprecise.
 */
export const NEWEST_RATE_WEIGHT = 0.4;

/**
 * A back end is busy above this multiple of its service's mean rate. Smaller excesses are random variation at a few
 * calls a second.
 */
export const BUSY_LEVEL = 1.1;

/**
 * Maximum number of back ends in one report, the busiest first. Each takes up to 5 bytes, so the report and the rest of
 * its message fit into a datagram of 1,400 bytes. In a page of 500 back ends, about 200 are above `BUSY_LEVEL`.
 */
export const MAX_BUSY_BACKENDS_PER_REPORT = 128;

/**
 * A report stays valid for the time of this many reads of its page. Three, because one report may be lost and one read
 * may return a stale list.
 */
export const REPORT_LIFETIME_READS = 3;

/**
 * A report replaces the stored report of its page only if it was measured at least this much later, in ms. Otherwise
 * daemons would gossip the reports of two readers of the same page. Half of `LOAD_READ_INTERVAL_MS`.
 */
export const MIN_REPORT_SPACING_MS = 1_000;

/**
 * Number of low bits of a back end's hash that identify it in reports. Part of the wire format. If two back ends share
 * a tag, both count as busy.
 */
const TAG_BITS = 16;

/** Selects the lowest `TAG_BITS` bits of a hash. 2^16 - 1. */
export const TAG_MASK = 2 ** TAG_BITS - 1;
