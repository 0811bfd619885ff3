/** Times and sizes of membership. */

/** Times in ms; the defaults fit one-way delays of a few milliseconds. */
export interface MembershipTiming {
  /** One member is probed in each interval. */
  readonly probeIntervalMs: number;
  /** Silence after which a probe is repeated through other members. */
  readonly directTimeoutMs: number;
  /** Gossip rounds while there is something to spread. */
  readonly gossipIntervalMs: number;
  /** Digests are compared with one random member this often. */
  readonly syncIntervalMs: number;
  /** Smallest time between suspicion and removal, and its growth with each factor of ten in members. */
  readonly suspicionMinMs: number;
  readonly suspicionPerDecadeMs: number;
  /** Changes within this time make one view. */
  readonly viewBatchMs: number;
  /** A suspect counts as reachable for the quorum this long; below suspicionMinMs. */
  readonly quorumGraceMs: number;
  /** Without a failure for this long a quorate view becomes the new base of the quorum. */
  readonly settleMs: number;
  /** Non-quorate sole survivors wait this long before they try the platform's lease; above quorumLeaseMs. */
  readonly witnessWaitMs: number;
  readonly quorumLeaseMs: number;
  /** A timer this late means that the process was paused. */
  readonly pauseThresholdMs: number;
  /** Interval at which a member may contact one that failed; the probability is the share of members that failed. */
  readonly reconnectIntervalMs: number;
  /** Interval of reads of the platform's machine list by the one member that reads it. */
  readonly machineListIntervalMs: number;
}

export const DEFAULT_MEMBERSHIP_TIMING: MembershipTiming = {
  probeIntervalMs: 500,
  directTimeoutMs: 150,
  gossipIntervalMs: 200,
  syncIntervalMs: 15_000,
  suspicionMinMs: 1_500,
  suspicionPerDecadeMs: 700,
  viewBatchMs: 100,
  quorumGraceMs: 1_000,
  settleMs: 10_000,
  witnessWaitMs: 6_000,
  quorumLeaseMs: 4_000,
  pauseThresholdMs: 1_000,
  reconnectIntervalMs: 5_000,
  machineListIntervalMs: 30_000,
};

/** Longest suspicion (no confirmation) relative to the shortest. */
export const SUSPICION_MAX_FACTOR = 2;

/** Confirmations by other members that shorten a suspicion to its minimum. */
export const SUSPICION_CONFIRMATIONS = 3;

/** Members asked to repeat a probe. */
export const INDIRECT_PROBES = 3;

/** Members that get each gossip round. */
export const GOSSIP_FANOUT = 3;

/** With less of the byte budget free than this, gossip goes to one member a round. */
export const GOSSIP_RESERVE_BYTES_PER_SECOND = 12_000;

/** Each update is sent RETRANSMIT_FACTOR * ceil(log10(members + 1)) times by each member. */
export const RETRANSMIT_FACTOR = 4;

/** Bytes of entries in a probe, and in a gossip or state message. */
export const PIGGYBACK_BYTES = 300;
export const GOSSIP_BYTES = 1_000;

/** Buckets of the state digest; fixed by the 32-bit mask on the wire. */
export const DIGEST_BUCKETS = 32;

/** Time between the messages of one state transfer. */
export const SYNC_CHUNK_INTERVAL_MS = 50;

/** Least time between two state exchanges with the same member that were caused by something unknown. */
export const SYNC_REPEAT_MS = 1_000;

/** Highest local health score: 0 is well; probe times are stretched by score + 1. */
export const MAX_HEALTH_SCORE = 8;

/** Highest score that unanswered probes alone lead to. */
export const MAX_BLIND_HEALTH_SCORE = 1;

/** A probe round that starts this late is a sign that the process is slow. */
export const LATE_ROUND_MS = 100;

/** Members that left are remembered this long, so that late news cannot revive them. */
export const LEFT_RETENTION_MS = 300_000;

/** Members that failed are remembered, and now and then contacted, this long: a partition may last hours. */
export const FAILED_RETENTION_MS = 24 * 3_600_000;

/** A zone is silent when more than this share of it fails within ZONE_WINDOW_MS, and at least ZONE_MIN_MEMBERS. */
export const ZONE_SILENT_SHARE = 0.5;
export const ZONE_WINDOW_MS = 5_000;
export const ZONE_MIN_MEMBERS = 3;

/** First and largest wait between attempts to reach a seed. */
export const JOIN_RETRY_MIN_MS = 500;
export const JOIN_RETRY_MAX_MS = 10_000;

/** Seeds asked in one attempt. */
export const JOIN_FANOUT = 3;

/** Probes in a row without an answer from the target or from any helper, after which this member counts as cut off. */
export const BLIND_PROBES = 3;

/** Changes are gathered this long while a zone is silent, so that its loss is one change of the view or a few. */
export const ZONE_VIEW_BATCH_MS = 1_000;

/** A member enters the quorum base after it was active, and nobody suspected, for this long; above the time to notice a cut. */
export const ADMISSION_WAIT_MS = 5_000;
