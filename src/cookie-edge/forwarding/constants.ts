/** Durations and limits of cookie forwarding. */

/** Housekeeping period in ms. At most 150 ms, the time after which an opening counts as unanswered. */
export const HOUSEKEEPING_TICK_MS = 150;

/** Maximum number of held openings. Bounds their memory to about 1.3 MB. */
export const MAX_HELD_OPENINGS = 1_024;

/**
 * A held opening is discarded this long before its caller's next SYN, in ms, because that SYN may reach another daemon
 * and packets take time to arrive.
 */
export const HOLD_SAFETY_MARGIN_MS = 50;

/**
 * A packet whose acknowledgement differs by more from that of a cached flow, in bytes, belongs to another flow. The
 * platform accepts a reset within the same distance from a caller's last acknowledgement.
 */
export const MAX_ACKNOWLEDGEMENT_ADVANCE_BYTES = 76_800;

/** Delay in ms between a change and the re-evaluation of held openings. Several changes share one re-evaluation. */
export const HELD_REEVALUATION_DELAY_MS = 20;

/**
 * A flow opened this long ago, in ms, no longer counts as in progress. This is several times the usual response time;
 * without the limit, a request that is never answered would delay other openings.
 */
export const STALE_REQUEST_MS = 500;

/**
 * Data repeated sooner than this, in ms, counts as a duplicate created by the network, not a retransmission. Callers
 * retransmit after 200 ms at the earliest; the margin is 50 ms.
 */
export const MIN_RETRANSMISSION_INTERVAL_MS = 150;

/**
 * Idle timeout in ms of a flow that is opening or closing. The flow is kept so that its last packets and SYN
 * retransmissions can be matched to it. Longer than an attempt to open a flow, which ends after 1,400 ms.
 */
export const TRANSIENT_FLOW_TIMEOUT_MS = 3_000;

/**
 * Minimum time in ms between two sweeps of the flow cache. Each sweep visits every flow, and a flow may safely expire
 * up to 1 s late.
 */
export const EXPIRY_INTERVAL_MS = 1_000;
