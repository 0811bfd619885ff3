/** Defaults of a daemon on a cookie edge. */

/** Shortest time that a stopping daemon goes on forwarding: whoever sends it packets must notice that it is not ready. */
export const DEFAULT_DRAIN_MIN_MS = 1_300;

/** After that it ends as soon as no packet came for this long, and at the latest after the longest time. */
export const DEFAULT_DRAIN_QUIET_MS = 400;
export const DEFAULT_DRAIN_MAX_MS = 3_000;

/** Flows remembered at once; more are forwarded all the same, by their cookies. */
export const DEFAULT_MAX_FLOWS = 200_000;

/** Longest life of a flow unless the configuration says otherwise. */
export const DEFAULT_MAX_FLOW_AGE_MS = 3_600_000;

/** The configuration file is looked at this often for changes that nobody announced. */
export const CONFIG_POLL_MS = 2_000;

/** Log lines of one event in ten seconds; the rest are counted. */
export const DEFAULT_LOG_BURST = 2_000;

/** Packets held between the binding of the data socket and the first knowledge; about 1.3 MB at the most. */
export const MAX_BUFFERED_PACKETS = 1_024;

/**
 * A held first SYN is placed when it is certainly younger than this: callers repeat a SYN after 200 ms, and its answer must be back
 * before that. Nothing in the socket is older than the binding. For copies see `buffered-packets.ts`.
 */
export const MAX_BUFFERED_SYN_MS = 150;

/** Later a SYN may have waited in the socket for a moment before it was read; it is placed within this time after that. */
export const MAX_BUFFERED_SYN_AFTER_READ_MS = 50;

/**
 * All balancers together may send a cold back end its rate times the overage, plus the slack, within any second, unless the
 * deployment says otherwise.
 */
export const DEFAULT_COLD_OVERAGE = 1.5;
export const DEFAULT_COLD_SLACK = 5;

/** Flows that a back end of another zone must have less, for each unit of capacity, to be preferred. */
export const DEFAULT_ZONE_MARGIN = 0.5;

/**
 * How many times the load of a back end of another zone counts: the own zone gets up to this many times as much. A balancer with few
 * flows keeps all of them in its zone, so that a cut between zones meets few: callers got 0.990 in place of 0.962 of the credit
 * during a cut of 5 s, with 0.015 in place of 0.025 GB between zones in 50 s (74 balancers, 3,600 flows, one run each).
 */
export const DEFAULT_ZONE_LOAD_FACTOR = 1.5;
