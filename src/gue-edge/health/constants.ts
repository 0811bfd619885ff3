/** Fixed numbers of health, with their units. What a service may set stands in its `HealthPolicy`. */

/** Balancers that probe one back end. The least number of which a majority outvotes one with a broken path. */
export const PROBERS_PER_BACKEND = 3;
/**
 * Probers, in this region, of a back end in a zone where no balancer of this region stands. Counted with the factor
 * below at the size to design for: 51.5 probed back ends a member before, 17.2 and 22.9 at half the rate after.
 */
export const PROBERS_PER_REMOTE_BACKEND = 2;
/** Factor on the probe interval of such a back end. Counted as above, so that far probes cost half. */
export const REMOTE_PROBE_INTERVAL_FACTOR = 2;
/**
 * A probe is sent after the interval times 1 ± this spread, less the spread, so never later than the interval. So that
 * probers drift apart.
 */
export const PROBE_JITTER = 0.1;
/**
 * After a first failed probe, the next follows after this part of the interval, so that three more probes fit into one
 * interval.
 */
export const CONFIRM_INTERVAL_SHARE = 0.25;
/**
 * Time in ms that a member goes on with its vote after it stopped being a prober of the back end, so that the new
 * prober has voted before.
 */
export const VOTE_RETIRE_MS = 10_000;

/** Time in ms between two rounds of gossip. `EVALUATION_INTERVAL_MS`, because a vote has no effect sooner. */
export const GOSSIP_INTERVAL_MS = 100;
/** Rounds that carry loads are rarer: every so many rounds, so that loads share messages. */
export const LOAD_ROUNDS = 3;
/** Members that a round of gossip of votes goes to. Above one, so that a lost datagram does not stop the spread. */
export const VOTE_GOSSIP_FANOUT = 3;
/**
 * Sends of a changed verdict or passive count by each member that learned it. Two rounds of `VOTE_GOSSIP_FANOUT`, so
 * that losses are borne.
 */
export const VERDICT_SENDS = 6;
/**
 * Sends of a changed load report by each member that learned it. One round of `VOTE_GOSSIP_FANOUT`, because the next
 * report replaces a lost one.
 */
export const LOAD_SENDS = 3;
/**
 * Time between two anti-entropy rounds in ms, and its jitter. 20 rounds of gossip, because digests only repair what
 * gossip lost; jittered so that members drift apart.
 */
export const ANTI_ENTROPY_INTERVAL_MS = 2_000;
export const ANTI_ENTROPY_JITTER = 0.25;
/**
 * Buckets of back ends in a digest of votes: a bound of the wire, because members ignore a digest of another
 * length.
 */
export const VOTE_DIGEST_BUCKETS = 32;
/** Votes at most in one message, so that it stays below the largest control payload. */
export const VOTES_PER_MESSAGE = 32;

/** Bytes a second that reported loads may cost a member; the time between two reports of a back end follows from it. */
export const LOAD_BYTES_PER_SECOND = 1_500;
/**
 * Bytes of one load report on the wire, with its share of the envelope. An estimate from which the report interval
 * follows.
 */
export const LOAD_REPORT_BYTES = 32;
/** Least time in ms between two reports of one back end's load, so that few back ends are not read without pause. */
export const MIN_LOAD_INTERVAL_MS = 1_000;
/**
 * A reported load older than this, in ms, is not used. Placement gives it no weight from then on (`REPORT_MAX_AGE_MS`).
 */
export const LOAD_MAX_AGE_MS = 60_000;
/**
 * A report is distrusted when the own count differs from it by more than this many standard deviations. Chance alone
 * hardly reaches four.
 */
export const LOAD_CONTRADICTION_DEVIATIONS = 4;

/**
 * A report is distrusted, and that written to the log, once a contradiction has lasted this long: a jump of the
 * load causes shorter ones.
 */
export const CONTRADICTION_CONFIRM_MS = 3_000;

/** Consecutive openings without an answer that eject a back end. */
export const PASSIVE_FAILURE_THRESHOLD = 3;
/** Largest count of one other member, so that a member with a broken path cannot eject a back end alone. */
export const REMOTE_FAILURE_CAP = 2;
/**
 * An opening without an answer for this long counts as failed although its timeout has not ended; longer than the
 * first repeat of a lost SYN (1 s).
 */
export const OPENING_SILENCE_MS = 1_500;
/** A failure is forgotten after this time without another one. */
export const PASSIVE_WINDOW_MS = 10_000;
/**
 * First ejection, longer than the passive window so that old failures do not renew it; each further one doubles it
 * up to the largest.
 */
export const BASE_EJECTION_MS = 20_000;
export const MAX_EJECTION_MS = 60_000;
export const EJECTION_JITTER = 0.1;
/** Time without an ejection after which one step of growth is forgotten. */
export const EJECTION_FORGET_MS = 60_000;

/**
 * An opening answered this recently, in ms, contradicts failing probes. `OPENING_SILENCE_MS`, because an older answer
 * may be followed by silence that already counts.
 */
export const CONFLICT_FRESH_MS = 1_500;
/**
 * Time in ms over which new flows fade while probes fail and openings are answered. `PASSIVE_WINDOW_MS`, so that
 * passive failures have time to decide.
 */
export const CONFLICT_FADE_MS = 10_000;

/**
 * Part (0–1) of its weight that a back end starts with. Above 0, because a back end without openings gives no evidence.
 */
export const INITIAL_WARMUP = 0.1;
/**
 * Time in ms between two evaluations of back ends whose belief changes with time. It is short beside every time that an
 * evaluation compares.
 */
export const EVALUATION_INTERVAL_MS = 100;
/** Pieces of evidence kept for each back end. Bounds the output of the status. */
export const MAX_EVIDENCE = 8;
/**
 * An evaluation that comes this late, in ms, means that the process was paused: silence meanwhile says nothing about
 * back ends. Half of `OPENING_SILENCE_MS`, so that a pause cannot pass for silence.
 */
export const PAUSE_DETECTION_MS = 750;
