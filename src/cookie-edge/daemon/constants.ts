/** Defaults and bounds of a daemon on a cookie edge. */

/**
 * Shortest time in ms for which a stopping daemon keeps forwarding. Bound of the platform: its routers need two
 * missed readiness probes to turn away.
 */
export const DEFAULT_DRAIN_MIN_MS = 1_300;

/**
 * After the shortest time the daemon ends as soon as no packet came for the quiet time in ms. The longest time in ms
 * counts from the stop request. Callers send the first retransmission (after 200 ms) within the quiet time.
 */
export const DEFAULT_DRAIN_QUIET_MS = 400;
export const DEFAULT_DRAIN_MAX_MS = 3_000;

/** Flows remembered at once; more are forwarded by their cookies. It bounds memory. */
export const DEFAULT_MAX_FLOWS = 200_000;

/** Longest life of a flow in ms. A deployment that knows better configures it. */
export const DEFAULT_MAX_FLOW_AGE_MS = 3_600_000;

/** Interval in ms at which the configuration file is checked for changes without a signal. A stat is cheap. */
export const CONFIG_POLL_MS = 2_000;

/** Log lines of one event in ten seconds; the rest are counted. It bounds the log in an outage. */
export const DEFAULT_LOG_BURST = 2_000;

/**
 * Packets buffered between the binding of the data socket and the first complete knowledge. Bounds memory: at most
 * about 1.3 MB.
 */
export const MAX_BUFFERED_PACKETS = 1_024;

/**
 * A buffered first SYN is delivered while it is certainly younger than this, in ms. Callers send the first
 * retransmission after 200 ms, less 50 ms for the answer.
 */
export const MAX_BUFFERED_SYN_MS = 150;

/**
 * Long after the binding a SYN is delivered within this time after it was read, in ms. It leaves 150 ms of the 200 for
 * the wait in the socket and the answer.
 */
export const MAX_BUFFERED_SYN_AFTER_READ_MS = 50;

/**
 * All balancers together may send a cold back end its rate times the overage, plus the slack in openings, within any
 * second. A deployment that knows better configures them.
 */
export const DEFAULT_COLD_OVERAGE = 1.5;
export const DEFAULT_COLD_SLACK = 5;

/**
 * Flows that a back end of another zone must have less, for each unit of capacity, to be preferred. Equal loads must
 * stay in the zone.
 */
export const DEFAULT_ZONE_MARGIN = 0.5;

/**
 * How many times the load of a back end of another zone counts: the own zone gets up to this many times as much. A
 * balancer with few flows keeps all of them in its zone, so that a cut between zones meets few.
 */
export const DEFAULT_ZONE_LOAD_FACTOR = 1.5;
