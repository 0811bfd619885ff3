/** Named numbers of flow keeping. */

/**
 * Parts of the flow space; a shard is named by the upper 12 bits of a flow's fingerprint. A power of two so that a
 * look-up is one shift and one table read.
 */
export const SHARD_COUNT = 4_096;
/**
 * Right shift in bits that turns the upper 32-bit half of a fingerprint into a shard number; derived so that the
 * bits of a shard number remain.
 */
export const SHARD_SHIFT = 32 - Math.log2(SHARD_COUNT);
/**
 * Backups that the shards of one keeper are spread over at most. Each costs 236 bytes a heartbeat with its answer
 * (docs/DESIGN.md, section 3); chosen so that heartbeats stay a small part of the control budget.
 */
export const MAX_BACKUPS_PER_KEEPER = 4;

/** Interval of heartbeats from a keeper to each of its backups, so that three fit into a lease. */
export const HEARTBEAT_MS = 700;
/**
 * A keeper opens flows only while its backup acknowledged a heartbeat sent less than this ago, in ms. Derived so
 * that one lost heartbeat is borne.
 */
export const LEASE_MS = 3 * HEARTBEAT_MS;
/** A backup waits this long in ms beyond the lease before it treats it as over. Three ticks (`TICK_MS`). */
export const LEASE_MARGIN_MS = 300;
/** A new keeper that is offered nothing for this long starts the shard without records; longer than a lease. */
export const ORPHAN_WAIT_MS = 6_000;
/** Offers postpone the start without records for this long at most. */
export const ORPHAN_WAIT_LIMIT_MS = 60_000;
/** Members that are asked for shards at a time. Bounds the datagrams of one round of claims. */
export const MAX_CLAIM_TARGETS = 12;
/**
 * A gap of this length in ms between two ticks means that the process was paused. Below `LEASE_MS`, so that a pause
 * that outlasts a lease is noticed.
 */
export const PAUSE_DETECTION_MS = 1_500;

/** Interval of the keeper's housekeeping in ms. A seventh of `HEARTBEAT_MS`, so that heartbeats leave in time. */
export const TICK_MS = 100;
/**
 * Every shard is searched for idle flows once in this time, in ms. No longer than `CLOSED_LINGER_SECONDS`, so that a
 * closed flow stays at most twice as long as meant.
 */
export const EXPIRY_ROUND_MS = 30_000;
/** A closed flow is remembered this long, so that late packets still find their back end. */
export const CLOSED_LINGER_SECONDS = 30;
/** A flow of which one direction is closed is forgotten after this long without packets. */
export const HALF_CLOSED_IDLE_SECONDS = 300;
/** An opening without an answer for this long counts as failed. */
export const OPEN_TIMEOUT_MS = 8_000;
/**
 * A packet that waits for a replica's acknowledgement is dropped after this long in ms. Below the 1 s after which a
 * caller first retransmits a SYN (RFC 6298).
 */
export const RETAIN_PACKET_MS = 900;

/**
 * Delay in ms that collects exception records for one datagram. Far below `RESEND_MS`, because a new flow waits for it.
 */
export const BATCH_FLUSH_MS = 5;
/** The same delay in ms when control bytes run short. Eight times as long, so that more records share an envelope. */
export const BATCH_FLUSH_SHORT_BUDGET_MS = 40;
/** Below this many free control bytes a second, exceptions are made only where the first choice is ineligible. */
export const EXCEPTION_RESERVE_BYTES_PER_SECOND = 2_000;
/**
 * First and longest delay in ms before an unacknowledged record batch is sent again. A batch is sent several
 * times within `RETAIN_PACKET_MS`; the longest is the first after four doublings.
 */
export const RESEND_MS = 40;
export const RESEND_LIMIT_MS = 640;
/** Records in one batch at most; bounded by the payload of one control message. */
export const MAX_BATCH_RECORDS = 60;

/**
 * Delay in ms before unacknowledged parts of a shard are sent again. Longer than `RESEND_MS`, because no new flow waits
 * for a transfer.
 */
export const TRANSFER_RESEND_MS = 150;
/** Longest delay in ms between two attempts for one shard. Ten times the first. */
export const TRANSFER_RESEND_LIMIT_MS = 1_500;
/** Shards in transfer to one peer at once, in any case. Bounds what is sent again when acknowledgements are lost. */
export const TRANSFER_WINDOW_SHARDS = 32;
/**
 * Shards in transfer to one peer at once while they have few records. Measured together with grouped shards, model
 * of 3 nodes at 28 KB/s: a planned leave of 1,281 kept shards 10.55 s before, 1.30 s after.
 */
export const TRANSFER_WINDOW_SMALL_SHARDS = 256;
/** Records in transfer to one peer above which the smaller window holds. */
export const TRANSFER_WINDOW_RECORDS = 1_024;
/**
 * Attempts to send a shard in a group before it is sent in the form that older balancers know. Above one, so that a
 * lost datagram does not look like an older balancer.
 */
export const MAX_GROUP_ATTEMPTS = 3;
/**
 * Records in one part of a shard: 768 bytes at 8 bytes each, below `TRANSFER_DATAGRAM_BYTES` with the keys. Fits one
 * datagram.
 */
export const MAX_PART_RECORDS = 96;
/**
 * Bytes of parts collected for one datagram. Below the largest datagram of the control channel (`MAX_DATAGRAM_BYTES`),
 * which the envelope shares.
 */
export const TRANSFER_DATAGRAM_BYTES = 1_100;

/**
 * After a crash takeover a keeper waits this long in ms for its flows to show themselves before it may rebase. A flow
 * that sends nothing meanwhile is not known.
 */
export const REBASE_LEARNING_MS = 15 * 60_000;
/**
 * Shards that start a rebase in one tick. A sixteenth of `SHARD_COUNT`, so that a whole table takes at least 16 ticks.
 */
export const REBASE_SHARDS_PER_TICK = 256;
/**
 * Free control bytes a second that a rebase leaves to others. Above `EXCEPTION_RESERVE_BYTES_PER_SECOND`, so that a
 * rebase stops before exceptions do.
 */
export const REBASE_RESERVE_BYTES_PER_SECOND = 4_000;
/**
 * Settings versions kept for reconstruction although no shard refers to them. Above one, because another balancer may
 * still refer to an earlier one.
 */
export const RECENT_BASES = 4;
