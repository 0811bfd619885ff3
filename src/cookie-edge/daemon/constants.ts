/** Default settings and limits of a daemon on a cookie edge. */

/**
 * Minimum time in ms for which a stopping daemon keeps forwarding. The platform's routers stop sending packets to it
 * only after two failed readiness probes.
 */
export const DEFAULT_DRAIN_MIN_MS = 1_300;

/**
 * After the minimum time a stopping daemon exits once no packet has arrived for the quiet time, in ms. The quiet time
 * is longer than the 200 ms after which callers send the first retransmission. The maximum time, in ms, counts from the
 * stop request.
 */
export const DEFAULT_DRAIN_QUIET_MS = 400;
export const DEFAULT_DRAIN_MAX_MS = 3_000;

/** Maximum number of flows remembered at once, to bound memory. Further flows are forwarded by their cookies. */
export const DEFAULT_MAX_FLOWS = 200_000;

/** Maximum lifetime of a flow in ms. A deployment with shorter or longer flows should override it. */
export const DEFAULT_MAX_FLOW_AGE_MS = 3_600_000;

/**
 * Interval in ms at which the modification time of the configuration file is checked, for changes without a signal. The
 * check is one cheap `stat` call.
 */
export const CONFIG_POLL_MS = 2_000;

/** Maximum log lines for each event in ten seconds, to bound the log in an outage. Further lines are only counted. */
export const DEFAULT_LOG_BURST = 2_000;

/**
 * Maximum number of packets buffered from the binding of the data socket until routes and back ends are known. Limits
 * the buffer to about 1.3 MB.
 */
export const MAX_BUFFERED_PACKETS = 1_024;

/**
 * A buffered first SYN is delivered only if it is certainly not older than this, in ms. Callers send the first
 * retransmission after 200 ms, and 50 ms of these are left for the answer.
 */
export const MAX_BUFFERED_SYN_MS = 150;

/**
 * A first SYN that arrives long after the binding is delivered within this time after it was read, in ms. Of the 200 ms
 * until the first retransmission, 150 ms are left for the wait in the socket and the answer.
 */
export const MAX_BUFFERED_SYN_AFTER_READ_MS = 50;

/**
 * Within any second, all daemons together may send a cold back end at most as many openings as its rate times the
 * overage, plus the slack. A deployment that has figures for its back ends should override both.
 */
export const DEFAULT_COLD_OVERAGE = 1.5;
export const DEFAULT_COLD_SLACK = 5;

/**
 * Number of flows per unit of capacity by which a back end of another zone must be less loaded to be preferred. With
 * equal loads, new flows must stay in the zone.
 */
export const DEFAULT_ZONE_MARGIN = 0.5;

/**
 * Factor by which the load of a back end of another zone is multiplied, so that the own zone gets up to this many times
 * as much load. A daemon with few flows keeps all of them in its zone, so that a network partition between zones
 * breaks few flows.
 */
export const DEFAULT_ZONE_LOAD_FACTOR = 1.5;
