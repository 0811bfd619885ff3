/** Defaults and times of the daemon. */

/** Control bytes per second that a daemon may send when the configuration says nothing else. */
export const DEFAULT_CONTROL_BUDGET_BYTES_PER_SECOND = 28_000;

/** Flows one balancer keeps at most by default. */
export const DEFAULT_MAX_FLOWS = 500_000;

/** Openings that may wait for a backup's acknowledgement at once by default. */
export const DEFAULT_MAX_PENDING_OPENINGS = 20_000;

/** Resident memory in MB above which openings are refused by default. */
export const DEFAULT_MAX_MEMORY_MEGABYTES = 1_024;

/** A limit that was reached counts as exceeded until the measure is below this share of it. */
export const LIMIT_RECOVERY_SHARE = 0.9;

/** How often resident memory and open flows are compared with their limits. */
export const LIMIT_CHECK_INTERVAL_MS = 1_000;

/** A stopping daemon that has seen no data packet for this long is done. */
export const DEFAULT_DRAIN_QUIET_MS = 3_000;

/** A stopping daemon ends after this long at the latest. */
export const DEFAULT_DRAIN_MAX_MS = 60_000;

/** How often a starting daemon looks whether it may become active. */
export const ACTIVATION_POLL_INTERVAL_MS = 100;

/** Longest time a SIGTERM waits for the hand-over itself before it is given up with an event. */
export const HANDOVER_TIMEOUT_MS = 30_000;
