/** Timeouts and limits of passive health, of probes and of dead verdicts. Durations are in ms. */

/**
 * An opening that its caller has not continued after this long is unanswered. Below the 200 ms after which callers
 * retransmit a SYN. The forwarder checks once a `HOUSEKEEPING_TICK_MS`, so the failure is counted up to that much
 * later.
 */
export const OPENING_ANSWER_MS = 150;

/**
 * Consecutive failures (unanswered openings, retransmitted data) without a sign of life that eject a back end. A single
 * one may be a lost packet.
 */
export const EJECT_AFTER_FAILURES = 2;

/** First ejection time; each failed trial opening doubles it. */
export const EJECT_MIN_MS = 1_000;

/** Longest ejection time, reached with the fourth ejection without a sign of life between. */
export const EJECT_MAX_MS = 8_000;

/**
 * A back end with failures, but too few to eject it, is suspect this long after the last one. Another daemon's ejection
 * of the same back end counts as new again after this long, too.
 */
export const SUSPECT_MS = 1_000;

/**
 * A back end that another daemon ejected is suspect this long, unless it gives a sign of life here. Spreading gossips
 * an ejection for as long.
 */
export const SHARED_SUSPECT_MS = 2_000;

/**
 * Time constant with which a closed flow's weight decays. Without closed flows a back end that holds no long flows gets
 * every short one, since each has ended before the next one comes.
 */
export const CLOSED_FLOW_COUNTS_MS = 2_000;

/**
 * Timeout of a probe. Longer than packets wait on a link that is not overloaded (500 ms, the platform's own measure),
 * so that a busy link is not taken for a dead back end. A lost packet of a probe costs as much.
 */
export const PROBE_TIMEOUT_MS = 600;

/**
 * Delay of the second probe after the first. Both must stay unanswered: with a loss of 3% in each direction one probe
 * is lost in 6% of the cases and both in 0.4%. Overlapping probes take 800 ms instead of 1,200 ms one after the other.
 */
export const PROBE_SPACING_MS = 200;

/** Pairs of probes of one back end that may follow each other without a proof. */
export const MAX_PROBE_PAIRS = 2;

/** Back ends probed at once. Each probe takes a file descriptor here and a connection there. */
export const MAX_PROBES_AT_ONCE = 64;

/** A back end that answered a probe is not probed again for this long. */
export const PROBE_AGAIN_MS = 1_000;

/** A probe that ends this much after its timeout is inconclusive, because this process stood still. */
export const PROBE_LATE_MS = 100;

/**
 * Lifetime of a dead verdict obtained by probing; later probes renew it. Must exceed `DEAD_RECHECK_MS` plus a pair of
 * probes, which is 1,800 ms.
 */
export const DEAD_VERDICT_MS = 2_000;

/**
 * Delay after which a back end with a dead verdict is probed again. Without it each daemon tries every dead back end
 * with callers' flows when its verdict ends: on a day of 34 s on which 35 back ends of a zone crashed, tries that ended
 * with a reset fell from 834 to 280, together with the change that a refusal alone is a proof (74 daemons, one run
 * each).
 */
export const DEAD_RECHECK_MS = 1_000;

/** Two deaths in a zone within this time put its other back ends in doubt. */
export const DEAD_IN_ZONE_MS = 2_000;

/**
 * Time after its start in which a daemon has heard from its peers whether they know more of back ends than the source
 * lists, and so how long each has been known.
 */
export const CREATIONS_LEARNED_MS = 5_000;

/**
 * A handshake is slow when it takes longer than `SLOW_HANDSHAKE_FACTOR` times the moving average plus this. Avoiding
 * back ends with a slow handshake cut the requests lost at their last try from 24 to 12 (a trial day, one run each).
 */
export const SLOW_HANDSHAKE_MARGIN_MS = 5;

/**
 * Multiple of the moving average; `SLOW_HANDSHAKE_MARGIN_MS` says what was measured.
 */
export const SLOW_HANDSHAKE_FACTOR = 2;

/** Weight of the newest handshake in the moving average, which so covers about the last 1 / 0.05 = 20. */
export const HANDSHAKE_AVERAGE_WEIGHT = 0.05;

/** Moving average before the first handshake; a handshake is then slow from 45 ms. */
export const HANDSHAKE_AVERAGE_START_MS = 20;
