/** Durations of cookie forwarding. */

/**
 * Period of the housekeeping, in ms: pending openings, pauses, ejections and expiry. At most the 150 ms after
 * which an opening is unanswered.
 */
export const HOUSEKEEPING_TICK_MS = 150;

/** Openings that are held at once, so that memory is bounded: at most about 1.3 MB. */
export const MAX_HELD_OPENINGS = 1_024;

/** A held opening is given up this long before its caller sends the next copy, in ms: packets are on their way. */
export const HOLD_SAFETY_MARGIN_MS = 50;

/** Held openings are decided again this long after a change, in ms, so that one turn serves several changes. */
export const HELD_REEVALUATION_DELAY_MS = 20;

/**
 * A request on a flow opened this long ago, in ms, no longer counts as in progress: several times what answers take, so
 * that one which never comes does not keep others waiting.
 */
export const STALE_REQUEST_MS = 500;

/**
 * Data repeated sooner than this, in ms, is a duplicate made by the network. Source: callers retransmit after 200 ms at
 * the earliest; 50 ms less as a margin.
 */
export const MIN_RETRANSMISSION_INTERVAL_MS = 150;

/**
 * A flow that is closed or still opening is remembered this long after its last packet, in ms, so that its last packets
 * and the retransmissions of its SYN are attributed. Outlasts a caller's attempt to open a flow, which ends after
 * 1,400 ms.
 */
export const TRANSIENT_FLOW_TIMEOUT_MS = 3_000;

/**
 * Time in ms between two sweeps of the flow cache. A flow that expires up to 1 s late does no harm, and each sweep
 * visits every flow.
 */
export const EXPIRY_INTERVAL_MS = 1_000;
