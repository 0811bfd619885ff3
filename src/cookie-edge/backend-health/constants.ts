/** Timeouts and limits of passive health checks, probes and dead verdicts. Durations are in ms. */

/**
 * An opening that its caller has not continued after this time counts as unanswered. Below the 200 ms after which
 * callers retransmit a SYN. The forwarder checks every `HOUSEKEEPING_TICK_MS`, so it counts the failure up to one tick
 * later.
 */
export const OPENING_ANSWER_TIMEOUT_MS = 150;

/**
 * Failures (unanswered openings, retransmitted data) without a sign of life between them that eject a back end. A
 * single failure may be a lost packet.
 */
export const EJECT_AFTER_FAILURES = 2;

/** Length of the first ejection; each failed trial opening doubles it. */
export const EJECT_MIN_MS = 1_000;

/** Longest ejection, reached at the fourth one without a sign of life between them. */
export const EJECT_MAX_MS = 8_000;

/**
 * A back end with too few failures to eject it stays suspect for this long after the last one. Ejection reports of the
 * same back end less than this apart count as duplicates.
 */
export const SUSPECT_MS = 1_000;

/**
 * A back end that another daemon ejected stays suspect here for this long, unless it gives a sign of life here. Equals
 * the time for which daemons gossip an ejection.
 */
export const SHARED_SUSPECT_MS = 2_000;

/**
 * Time constant of the exponential decay of closed flows in the load. If the load ignored closed flows, a back end
 * without long flows would get every short flow, because each short flow ends before the next one opens.
 */
export const CLOSED_FLOW_DECAY_MS = 2_000;

/**
 * Timeout of a probe. Longer than packets wait on a link that the platform does not count as overloaded (500 ms), so
 * that a busy link does not look like a dead back end. A probe that loses a packet also takes the whole timeout.
 */
export const PROBE_TIMEOUT_MS = 600;

/**
 * Delay of the second probe after the first. Silence counts only if both stay unanswered: with 3% packet loss in each
 * direction, one probe is lost in 6% of the cases and both in 0.4%. Overlapping probes take 800 ms; probes sent one
 * after the other would take 1,200 ms.
 */
export const PROBE_SPACING_MS = 200;

/** Pairs of probes sent to one back end before the prober gives up without a proof. */
export const MAX_PROBE_PAIRS = 2;

/** Most back ends probed at once. Each probe takes a file descriptor here and a connection at the back end. */
export const MAX_PROBES_AT_ONCE = 64;

/** Shortest time from an answered probe to the next probe of the same back end. */
export const PROBE_COOLDOWN_MS = 1_000;

/** A probe that ends later than its timeout by more than this is inconclusive: this process was paused. */
export const PROBE_TIMEOUT_SLACK_MS = 100;

/**
 * Lifetime of a dead verdict that follows from probes; later probes renew it. Must exceed `DEAD_RECHECK_DELAY_MS` plus
 * the time of a pair of probes, together 1,800 ms.
 */
export const DEAD_VERDICT_TTL_MS = 2_000;

/**
 * Delay before a back end with a dead verdict is probed again. Without these probes each daemon would place callers'
 * flows at every dead back end when its verdict ends. In a run of 34 s with 74 daemons, in which 35 back ends of a
 * zone crashed, the probes and the rule that a refusal alone is a proof together cut the attempts that ended with a
 * reset from 834 to 280.
 */
export const DEAD_RECHECK_DELAY_MS = 1_000;

/** Two deaths in a zone within this time cause probes of its other back ends. */
export const ZONE_DEATH_WINDOW_MS = 2_000;

/**
 * Uptime after which a daemon has received from its peers whether they remember more about back ends than the source
 * lists. Before that it cannot know when each back end was first created.
 */
export const CREATION_HISTORY_UPTIME_MS = 5_000;

/**
 * A handshake is slow when it takes longer than `SLOW_HANDSHAKE_FACTOR` times the moving average plus this margin.
 * Avoiding back ends with a slow handshake cut the requests that failed at their last attempt from 24 to 12.
 */
export const SLOW_HANDSHAKE_MARGIN_MS = 5;

/** Factor of the moving average in the limit above which a handshake is slow; see `SLOW_HANDSHAKE_MARGIN_MS`. */
export const SLOW_HANDSHAKE_FACTOR = 2;

/** Weight of the newest handshake in the moving average; the average covers about the last 1 / 0.05 = 20 handshakes. */
export const HANDSHAKE_AVERAGE_WEIGHT = 0.05;

/** Moving average before the first handshake; a handshake is then slow from 45 ms. */
export const HANDSHAKE_AVERAGE_START_MS = 20;
