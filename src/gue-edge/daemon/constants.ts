/** Defaults and times of the daemon. */

/**
 * Flows that one balancer keeps at most by default: about ten times the 51,000 kept and backed up at the size to
 * design for.
 */
export const DEFAULT_MAX_FLOWS = 500_000;

/**
 * Openings that may wait for a backup's acknowledgement at once by default. Over 200 s of openings at the size to
 * design for.
 */
export const DEFAULT_MAX_PENDING_OPENINGS = 20_000;

/**
 * Resident memory in MB above which openings are refused by default. Without a bound of the platform, for an operator
 * to adapt.
 */
export const DEFAULT_MAX_MEMORY_MEGABYTES = 1_024;

/** A limit that was reached counts as exceeded until the measure is below this share of it (hysteresis). */
export const LIMIT_RECOVERY_SHARE = 0.9;

/**
 * How often resident memory and open flows are compared with their limits, in ms. A burst of a second passes a
 * limit by little.
 */
export const LIMIT_CHECK_INTERVAL_MS = 1_000;

/**
 * A stopping daemon that has seen no data packet for this long, in ms, is done. Above the time between two
 * retransmissions of most callers.
 */
export const DEFAULT_DRAIN_QUIET_MS = 3_000;

/** A stopping daemon ends after this long, in ms, at the latest. Above the time that a fabric takes to turn away. */
export const DEFAULT_DRAIN_MAX_MS = 60_000;

/** How often a starting daemon looks whether it may become active, in ms. Small against the seconds of a start. */
export const ACTIVATION_POLL_INTERVAL_MS = 100;

/**
 * Longest time in ms that a SIGTERM waits for the hand-over itself before it is given up with an event. By the
 * model check a leave of 1,281 kept shards takes 1.3 s at 28 KB/s.
 */
export const HANDOVER_TIMEOUT_MS = 30_000;
