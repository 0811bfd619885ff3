/** Fixed numbers of health, with their units. What a service may set stands in its `HealthPolicy`. */

/** Balancers that probe one back end. */
export const PROBERS_PER_BACKEND = 3;
/** Probers, in this region, of a back end in a zone where no balancer of this region stands. */
export const PROBERS_PER_REMOTE_BACKEND = 2;
/** Factor on the probe interval of such a back end. */
export const REMOTE_PROBE_INTERVAL_FACTOR = 2;
/** A probe is sent after the interval times 1 ± this spread, less the spread, so never later than the interval. */
export const PROBE_JITTER = 0.1;
/** After a first failed (or first good) probe of a changed back end, the next follows after this part of the interval. */
export const CONFIRM_INTERVAL_SHARE = 0.25;
/** Time a member goes on with its vote after it stopped being a prober of the back end. */
export const VOTE_RETIRE_MS = 10_000;

/** Time between two rounds of gossip. */
export const GOSSIP_INTERVAL_MS = 100;
/** Rounds that carry loads are rarer: every so many rounds, so that loads share messages. */
export const LOAD_ROUNDS = 3;
/** Members that a round of gossip goes to. */
export const GOSSIP_FANOUT = 3;
/** Sends of a changed verdict or passive count by each member that learned it. */
export const VERDICT_SENDS = 6;
/** Sends of a changed load report by each member that learned it. */
export const LOAD_SENDS = 3;
/** Time between two anti-entropy rounds, jittered. */
export const ANTI_ENTROPY_INTERVAL_MS = 2_000;
export const ANTI_ENTROPY_JITTER = 0.25;
/** Buckets of back ends in a digest. */
export const DIGEST_BUCKETS = 32;
/** Votes at most in one message, so that it stays below the largest control payload. */
export const VOTES_PER_MESSAGE = 32;

/** Bytes a second that reported loads may cost a member; the time between two reports of a back end follows from it. */
export const LOAD_BYTES_PER_SECOND = 1_500;
/** Bytes of one load report on the wire, with its share of the envelope. */
export const LOAD_REPORT_BYTES = 32;
/** Least time between two reports of one back end's load. */
export const MIN_LOAD_INTERVAL_MS = 1_000;
/** A reported load older than this is not used. */
export const LOAD_MAX_AGE_MS = 60_000;
/** A report is distrusted when the own count differs from it by more than this many standard deviations. */
export const LOAD_CONTRADICTION_DEVIATIONS = 4;

/** A report is distrusted, and that written to the log, once a contradiction has lasted this long: a jump of the load causes shorter ones. */
export const CONTRADICTION_CONFIRM_MS = 3_000;

/** Consecutive openings without an answer that eject a back end. */
export const PASSIVE_FAILURE_THRESHOLD = 3;
/** Largest count of one other member, so that a member with a broken path cannot eject a back end alone. */
export const REMOTE_FAILURE_CAP = 2;
/**
 * An opening without an answer for this long counts as failed although its timeout has not ended; longer than the first repeat of
 * a lost SYN (1 s).
 */
export const OPENING_SILENCE_MS = 1_500;
/** A failure is forgotten after this time without another one. */
export const PASSIVE_WINDOW_MS = 10_000;
/** First ejection, longer than the passive window so that old failures do not renew it; each further one doubles it up to the largest. */
export const BASE_EJECTION_MS = 20_000;
export const MAX_EJECTION_MS = 60_000;
export const EJECTION_JITTER = 0.1;
/** Time without an ejection after which one step of growth is forgotten. */
export const EJECTION_FORGET_MS = 60_000;

/** An opening answered this recently contradicts failing probes. */
export const CONFLICT_FRESH_MS = 1_500;
/** Time over which new flows fade while probes fail and openings are answered. */
export const CONFLICT_FADE_MS = 10_000;

/** Part of its weight that a back end starts with. */
export const INITIAL_WARMUP = 0.1;
/** Time between two evaluations of back ends whose belief changes with time. */
export const EVALUATION_INTERVAL_MS = 100;
/** Pieces of evidence kept for each back end. */
export const MAX_EVIDENCE = 8;
/** An evaluation that comes this late means that the process was paused: silence meanwhile says nothing about back ends. */
export const PAUSE_DETECTION_MS = 750;
