/** Times of cookie forwarding. */

/**
 * Period of the housekeeping, in ms: pending openings, pauses, ejections and expiry. Not measured; chosen to be at most
 * the 150 ms after which an opening is unanswered.
 */
export const TICK_MS = 150;

/**
 * An opening that its caller does not go on with within this time, in ms, is unanswered. Source: callers retransmit a SYN
 * after 200 ms; 50 ms less as a margin, which is not measured.
 */
export const OPENING_ANSWER_MS = 150;

/** Unanswered openings and repeated data in a row, without any sign of life, after which a back end is ejected: one may be a lost packet. */
export const EJECT_AFTER_FAILURES = 2;

/** First time in ms for which a back end is ejected, and the longest; it doubles with each failed trial. */
export const EJECT_MIN_MS = 1_000;
export const EJECT_MAX_MS = 8_000;

/** A back end with one failure and no sign of life is avoided this long, in ms, where there are others. */
export const SUSPECT_MS = 1_000;

/** A back end that another balancer ejected is avoided this long, in ms, where there are others, unless it gives signs of life. */
export const SHARED_SUSPECT_MS = 2_000;

/**
 * Data repeated sooner than this, in ms, is a duplicate made by the network. Source: callers retransmit after 200 ms at the
 * earliest; 50 ms less as a margin, which is not measured.
 */
export const REPETITION_MIN_MS = 150;

/**
 * A flow that is closed or still opening is remembered this long after its last packet, in ms, so that its last packets and the
 * retransmissions of its SYN are attributed. Not measured; chosen to outlast a caller's attempt to open a flow, which ends after
 * 1,400 ms.
 */
export const CLOSING_MS = 3_000;

/**
 * Time in ms between two sweeps of the flow cache. Not measured; chosen because a flow that expires up to 1 s late does no
 * harm, and each sweep visits every flow.
 */
export const EXPIRY_INTERVAL_MS = 1_000;

/**
 * A flow that was closed counts for this long after it, in ms, less and less. Otherwise a back end that holds no long flows yet
 * would get every short one: each has ended before the next one comes.
 */
export const CLOSED_FLOW_COUNTS_MS = 2_000;

/**
 * A probe is unanswered after this long, in ms: longer than packets wait on a link that is not overloaded (half a second, by the
 * platform's own measure), so that a busy link is not taken for a dead back end. A lost packet of a probe costs as much.
 */
export const PROBE_TIMEOUT_MS = 600;

/**
 * A second probe is sent this long after the first, in ms, without waiting for its time-out: both must stay unanswered to prove a back
 * end dead, since each is lost in 6% of the cases where 3% of the packets are lost in each direction, and both in 0.4%. One after
 * the other would take 1,200 ms in place of 800.
 */
export const PROBE_SPACING_MS = 200;

/** Pairs of probes of one back end that may follow each other while other back ends give no sign of life. */
export const MAX_PROBE_PAIRS = 2;

/** Back ends that are probed at once; each takes a file descriptor and a connection of the back end. */
export const MAX_PROBES_AT_ONCE = 64;

/** A back end that answered a probe is not probed again for this long, in ms. */
export const PROBE_AGAIN_MS = 1_000;

/** A probe's time-out that fires later than this, in ms, means that this process stood still, and proves nothing. */
export const PROBE_LATE_MS = 100;

/** A proof by probes holds this long, in ms, unless other probes renew it. */
export const DEAD_VERDICT_MS = 2_000;

/**
 * A back end that is held dead is probed again this long after the proof, in ms: early enough for both probes to end before the
 * proof does. Without that each balancer would try every dead back end with callers' flows as soon as its proof has ended: on a day of
 * 34 s on which 35 back ends of a zone crashed, callers' tries that ended with a reset fell from 834 to 280, together with taking a
 * refusal for a proof by itself (74 balancers, one run each).
 */
export const DEAD_RECHECK_MS = 1_000;

/** Two back ends of a zone that are found dead within this time, in ms, put the other ones in doubt. */
export const DEAD_IN_ZONE_MS = 2_000;

/**
 * An opening waits unusually long after the moving average of the answers' times, times the factor, plus the minimum. Each
 * answer moves the average by the share.
 */
export const USUAL_ANSWER_MIN_MS = 5;
export const USUAL_ANSWER_FACTOR = 2;
export const USUAL_ANSWER_SHARE = 0.05;
export const USUAL_ANSWER_START_MS = 20;
