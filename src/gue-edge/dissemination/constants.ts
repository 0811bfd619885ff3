/**
 * Sizes, intervals and limits of the spreading of settings. By simulation an edit is everywhere in 20 ms at 3
 * members and in 220 ms at 400, with 2 watches on the store and 41 to 50 B/s a member when idle; single values were
 * not measured against others.
 */

/** Leases, and so members that watch the store, per region. One does the work; the other covers its loss. */
export const READERS_PER_REGION = 2;
/**
 * Members that try to take each lease; they stand in different zones where there are several, so that the loss of one
 * zone leaves a candidate.
 */
export const CANDIDATES_PER_LEASE = 2;
/** Duration of a reader lease and interval of its renewals, in ms, so that two renewals may be lost. */
export const READER_LEASE_MS = 9_000;
export const READER_RENEW_MS = READER_LEASE_MS / 3;
/**
 * Pause of a candidate after the lease was refused, and of a member that is no candidate, in ms. Below
 * `READER_RENEW_MS`, so that a free lease is taken before the next renewal would have come.
 */
export const CANDIDATE_PAUSE_MS = 2_500;
/** Pause of a candidate that could not reach the store; the client's circuit bounds what the store sees of it. */
export const UNREACHABLE_PAUSE_MS = 700;
export const PAUSE_SPREAD = 0.3;

/** Peers that are told of a new version in each round of pushes. The fan-out of membership's gossip. */
export const PUSH_FANOUT = 3;
/** Rounds of pushes that a member makes for a new version. Anti-entropy reaches the few that two rounds miss. */
export const PUSH_ROUNDS = 2;
/** Above the round-trip time within a region, so that the second round skips peers that have told of the version. */
export const PUSH_ROUND_INTERVAL_MS = 150;

/**
 * A member compares its tree with that of one random peer this often, in ms: an edit must be in force everywhere
 * within 4 s, and this leaves three comparisons.
 */
export const ANTI_ENTROPY_INTERVAL_MS = 1_000;
/**
 * The same while the member has no tree yet or knows of a newer one that it cannot get. A newcomer has asked
 * ten peers in 3 s.
 */
export const ANTI_ENTROPY_BEHIND_MS = 300;
/**
 * Every so often, in ms, so many nodes in memory are compared with their hashes. A tree of 10,600 nodes is
 * checked within a minute.
 */
export const INTEGRITY_CHECK_INTERVAL_MS = 1_000;
export const INTEGRITY_CHECK_NODES = 200;

/** Payload bytes of a transfer in one datagram: the largest control payload less the room for the two stamps. */
export const CHUNK_BYTES = 1_040;
/**
 * Wait for a chunk before it is asked for again, in ms. Above `SEND_ATTEMPTS` pauses of a sender whose budget is spent.
 */
export const CHUNK_TIMEOUT_MS = 400;
/** Requests for one chunk to one peer before another peer is asked. A peer that is gone costs 1.6 s. */
export const CHUNK_ATTEMPTS = 4;
/**
 * Share of the free control bytes that a transfer may use, and the least that it uses in bytes per second. A
 * transfer leaves a quarter to others and never stops.
 */
export const TRANSFER_BUDGET_SHARE = 0.75;
export const TRANSFER_MIN_BYTES_PER_SECOND = 4_096;
/**
 * Pause in ms before a chunk that the byte budget held back is sent again, and how often that is tried. The budget
 * refills a chunk's 1.1 KB in 40 ms.
 */
export const SEND_RETRY_MS = 80;
export const SEND_ATTEMPTS = 4;
/**
 * Largest encoded tree or delta in bytes, compressed and not: a bound against faulty peers, far above the full tree
 * of 6,300 back ends.
 */
export const MAX_TRANSFER_BYTES = 4 * 1024 * 1024;
export const MAX_NODE_SET_BYTES = 32 * 1024 * 1024;
/** Transfers kept ready for peers that are in the middle of one. Bounds memory to a few trees. */
export const TRANSFER_CACHE_ENTRIES = 4;

/** Bounds of the log of changes from which lagging peers get deltas. */
export const CHANGE_LOG_BYTES = 512 * 1024;
export const CHANGE_LOG_ENTRIES = 256;
/** Rejected trees that are remembered so that they are not fetched again. Far above what one faulty edit causes. */
export const REJECTED_STAMPS_KEPT = 16;
/** Peers remembered as having a newer tree, so that some are left when a few fail. */
export const SOURCES_KEPT = 8;

/** Prefix of the lease names: `readers/<region>/<n>`. */
export const READER_LEASE_PREFIX = 'readers';
