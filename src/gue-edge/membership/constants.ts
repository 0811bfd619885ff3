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

/**
 * With these, by simulation over three seeds, a crash among 367 members is suspected after 0.69 to 0.75 s and
 * removed by all after 3.5 s, at about 450 B/s sent by each member, which does not grow with the region. Single
 * values were not measured against others.
 */
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

/**
 * Longest suspicion (no confirmation) relative to the shortest. A member that only one other cannot reach gets
 * twice the time to refute.
 */
export const SUSPICION_MAX_FACTOR = 2;

/**
 * Confirmations by other members that shorten a suspicion to its minimum. Equal to `INDIRECT_PROBES`, the members that
 * a prober can make see for themselves.
 */
export const SUSPICION_CONFIRMATIONS = 3;

/** Members asked to repeat a probe. Small, since each costs two messages. */
export const INDIRECT_PROBES = 3;

/** Members that get each gossip round. Three reach a region of 400 in about six rounds (3^6 = 729). */
export const MEMBERSHIP_FANOUT = 3;

/**
 * With less of the byte budget free than this, in bytes a second, gossip goes to one member a round. About 40% of the
 * budget, which leaves the rest to hand-overs.
 */
export const GOSSIP_RESERVE_BYTES_PER_SECOND = 12_000;

/**
 * Each update is sent RETRANSMIT_FACTOR * ceil(log10(members + 1)) times by each member. Not measured alone; with
 * it 5% of loss removes no member of a simulated region of 12 within 120 s.
 */
export const RETRANSMIT_FACTOR = 4;

/**
 * Bytes of entries in a probe, and in a gossip or state message: about 18 updates of 16 bytes, and what fits a datagram
 * beside the envelope.
 */
export const PIGGYBACK_BYTES = 300;
export const GOSSIP_BYTES = 1_000;

/**
 * Buckets of the digest of members: one for each bit of the 32-bit mask on the wire, which cannot change without a
 * new protocol version.
 */
export const MEMBER_DIGEST_BUCKETS = 32;

/**
 * Time between the messages of one state transfer, in ms: 1,000 bytes each 50 ms stay below the 28 KB/s of the
 * control budget.
 */
export const SYNC_CHUNK_INTERVAL_MS = 50;

/**
 * Least time between two state exchanges with the same member that were caused by something unknown, in ms. Above the
 * time that an exchange of a few messages takes.
 */
export const SYNC_REPEAT_MS = 1_000;

/**
 * Highest local health score: 0 is well; probe times are stretched by score + 1. In the published Lifeguard extensions
 * of SWIM.
 */
export const MAX_HEALTH_SCORE = 8;

/**
 * Highest score that unanswered probes alone lead to. A member that is cut off still notices it within twice
 * the usual time.
 */
export const MAX_BLIND_HEALTH_SCORE = 1;

/** A probe round that starts this late, in ms, is a sign that the process is slow. A fifth of the probe interval. */
export const LATE_ROUND_MS = 100;

/**
 * Members that left are remembered this long, in ms, so that a late update cannot revive them. Well above the longest
 * state exchange interval.
 */
export const LEFT_RETENTION_MS = 300_000;

/**
 * Members that failed are remembered, and now and then contacted, this long, in ms: a partition may last hours. A day.
 */
export const FAILED_RETENTION_MS = 24 * 3_600_000;

/**
 * A zone is silent when more than this share of it fails within ZONE_WINDOW_MS, and at least ZONE_MIN_MEMBERS. So that
 * a majority decides, within the time that single failures of a zone are spread over.
 */
export const ZONE_SILENT_SHARE = 0.5;
export const ZONE_WINDOW_MS = 5_000;
export const ZONE_MIN_MEMBERS = 3;

/**
 * First and largest wait between attempts to reach a seed, in ms. A seed that starts a little later is met at
 * once, and one that is gone costs little.
 */
export const JOIN_RETRY_MIN_MS = 500;
export const JOIN_RETRY_MAX_MS = 10_000;

/** Seeds asked in one attempt, so that two of them may be down. */
export const JOIN_FANOUT = 3;

/**
 * Probes in a row without an answer from the target or from any helper, after which this member counts as cut off. So
 * that a single lost round is no cut.
 */
export const BLIND_PROBES = 3;

/**
 * Changes are gathered this long while a zone is silent, so that its loss is one change of the view or a few. Ten times
 * the usual `viewBatchMs`.
 */
export const ZONE_VIEW_BATCH_MS = 1_000;

/**
 * A member enters the quorum base after it was active, without any suspicion, for this long, in ms. Above the time to
 * notice a cut.
 */
export const ADMISSION_WAIT_MS = 5_000;
