/** Fixed numbers of placement, with their units. */

/**
 * Share of openings that a policy aims to spend on exceptions; the goal is at most 0.15, and `steady-balance`
 * measured 0.139.
 */
export const TARGET_EXCEPTION_SHARE = 0.14;
/** Least and largest bias in flows: how far above its share a first choice may be before an exception is made. */
export const MIN_BIAS_FLOWS = 0.1;
export const MAX_BIAS_FLOWS = 40;
/** The bias is at least this part of a back end's share, so that large counts are not balanced to the last flow. */
export const MIN_BIAS_SHARE = 0.02;
/** Bias that a service starts with, in flows. The bias adjusts with every opening. */
export const INITIAL_BIAS_FLOWS = 3;
/** Relative change of the bias for one decision above the target share. */
export const BIAS_GAIN = 0.03;
/**
 * Candidates compared for an exception. Measured only together with `REPORT_MAX_AGE_LIFETIMES`; chosen to compare
 * several without weighing each back end.
 */
export const EXCEPTION_CANDIDATES = 5;
/** Flows by which an exception must be less loaded than the first choice: the one flow that it moves. */
export const LEAST_GAIN_FLOWS = 1;
/**
 * Flows beyond its share that a first choice may hold however strong the preference for the zone. Above 0, so that only
 * a first choice above its share loses openings to the own zone.
 */
export const MIN_ZONE_TOLERANCE_FLOWS = 0.5;
/**
 * The load that back ends report moves an own count by at most this part of the back end's share. Measured together
 * with the turnovers and the gain below in the balance simulation, seeds 1 to 4, not one by one: peak to mean at
 * most 1.058 and exceptions at most 13.4%, with 3 and 12 keepers at 100 and 1,000 flows a back end.
 */
export const REPORT_CORRECTION_SHARE = 0.4;
/** Turnovers of the flows over which a constant error of a report is learned. Measured as above. */
export const REPORT_OFFSET_TURNOVERS = 3;
/**
 * Part of the others' excess that a correction takes into account; all keepers react to one report, with a delay.
 * Measured as above.
 */
export const REPORT_GAIN = 0.5;
/**
 * Age in ms from which a reported load has no weight; in between the weight falls linearly. Measured only together
 * with `REPORT_MAX_AGE_LIFETIMES`.
 */
export const REPORT_MAX_AGE_MS = 60_000;
/**
 * The same as part of a flow's mean lifetime, whichever is less. Measured in the balance simulation, 3 keepers, 100
 * flows of 5 s a back end, seeds 1 to 8: peak to mean 1.077 before, 1.053 after. The longest age and the number of
 * candidates changed with it.
 */
export const REPORT_MAX_AGE_LIFETIMES = 0.3;
/** Window over which the rate of openings, and from it the mean lifetime, is measured. */
export const RATE_WINDOW_MS = 10_000;
/**
 * Client addresses that the opening limiter remembers; the least recently used one is forgotten first. Bounds the
 * memory.
 */
export const MAX_TRACKED_CLIENTS = 65_536;
/** Burst that a token bucket takes, as time in ms at its rate. Limits are set a second. */
export const BURST_MS = 1_000;
/** Retries a second that a retry budget always allows. A service with few openings retries at all. */
export const RETRY_FLOOR_PER_SECOND = 1;
/** Time in ms over which a retry budget counts openings. The window of the opening rate (`RATE_WINDOW_MS`). */
export const RETRY_WINDOW_MS = 10_000;
/**
 * The share of exceptions is reported when it exceeds its target, or this least target, by the factor, so that chance
 * around the target, or around a target near 0, is not reported.
 */
export const EXCEPTION_ALARM_FACTOR = 1.5;
export const EXCEPTION_ALARM_LEAST_TARGET = 0.1;
/** Decisions over which the share of exceptions is averaged. A share of 0.14 is then known to 0.01. */
export const EXCEPTION_AVERAGE_DECISIONS = 1_000;
/** Relative slack on this balancer's part of a back end's capacity, because flows are not split exactly evenly. */
export const CAPACITY_SLACK = 0.1;
/**
 * Bytes sent that one replicated exception costs; measured as bytes beyond the idle rate, six daemons, 1.9 to 6 a
 * second: 126 to 169.
 */
export const BYTES_PER_EXCEPTION = 130;
/**
 * Window in ms over which openings are counted for the byte budget of exceptions. Shorter than `RATE_WINDOW_MS`,
 * because the budget must follow a rise soon.
 */
export const EXCEPTION_RATE_WINDOW_MS = 5_000;
/** Bytes a second that the records of exceptions may cost a balancer unless configured otherwise. */
export const DEFAULT_EXCEPTION_BYTES_PER_SECOND = 3_500;
