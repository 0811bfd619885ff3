/** Sizes, intervals and limits of the spreading of settings. */

/** Leases, and so members that watch the store, per region. One does the work; the other covers its loss. */
export const READERS_PER_REGION = 2;
/** Members that try to take each lease; they stand in different zones where there are several. */
export const CANDIDATES_PER_LEASE = 2;
export const READER_LEASE_MS = 9_000;
export const READER_RENEW_MS = 3_000;
/** Pause of a candidate after the lease was refused, and of a member that is no candidate. */
export const CANDIDATE_PAUSE_MS = 2_500;
/** Pause of a candidate that could not reach the store; the client's circuit bounds what the store sees of it. */
export const UNREACHABLE_PAUSE_MS = 700;
export const PAUSE_SPREAD = 0.3;

/** Peers that are told of a new version in each round of pushes. */
export const PUSH_FANOUT = 3;
/** Rounds of pushes that a member makes for a new version. */
export const PUSH_ROUNDS = 2;
export const PUSH_ROUND_INTERVAL_MS = 150;

/** A member compares its tree with that of one random peer this often. */
export const ANTI_ENTROPY_INTERVAL_MS = 1_000;
/** The same while the member has no tree yet or knows of a newer one that it cannot get. */
export const ANTI_ENTROPY_BEHIND_MS = 300;
/** Every so often, so many nodes in memory are compared with their hashes. */
export const INTEGRITY_CHECK_INTERVAL_MS = 1_000;
export const INTEGRITY_CHECK_NODES = 200;

/** Payload bytes of a transfer in one datagram; leaves room for the two stamps. */
export const CHUNK_BYTES = 1_040;
/** Wait for a chunk before it is asked for again. */
export const CHUNK_TIMEOUT_MS = 400;
/** Requests for one chunk to one peer before another peer is asked. */
export const CHUNK_ATTEMPTS = 4;
/** Share of the free control bytes that a transfer may use, and the least that it uses in bytes per second. */
export const TRANSFER_BUDGET_SHARE = 0.75;
export const TRANSFER_MIN_BYTES_PER_SECOND = 4_096;
/** Pause before a chunk that the byte budget held back is sent again, and how often that is tried. */
export const SEND_RETRY_MS = 80;
export const SEND_ATTEMPTS = 4;
/** Largest encoded tree or delta, compressed and not. */
export const MAX_TRANSFER_BYTES = 4 * 1024 * 1024;
export const MAX_NODE_SET_BYTES = 32 * 1024 * 1024;
/** Transfers kept ready for peers that are in the middle of one. */
export const TRANSFER_CACHE_ENTRIES = 4;

/** Bounds of the log of changes from which lagging peers get deltas. */
export const CHANGE_LOG_BYTES = 512 * 1024;
export const CHANGE_LOG_ENTRIES = 256;
/** Rejected trees that are remembered so that they are not fetched again. */
export const REJECTED_STAMPS_KEPT = 16;
/** Peers remembered as having a newer tree. */
export const SOURCES_KEPT = 8;

/** Prefix of the lease names: `readers/<region>/<n>`. */
export const READER_LEASE_PREFIX = 'readers';
