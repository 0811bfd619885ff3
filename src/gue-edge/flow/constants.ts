/** Named numbers of flow keeping. */

/** Parts of the flow space; a shard is named by the upper bits of a flow's fingerprint. */
export const SHARD_COUNT = 4_096;
/** Right shift that turns the upper fingerprint half into a shard number. */
export const SHARD_SHIFT = 20;
/** Replica peers of one keeper: its shards are spread over this many backups at most. */
export const MAX_BACKUPS_PER_KEEPER = 4;

/** Interval of heartbeats from a keeper to each of its backups. Not measured; chosen so that three fit into a lease. */
export const HEARTBEAT_MS = 700;
/** A keeper opens flows only while its backup acknowledged a heartbeat sent less than this ago; one lost heartbeat is borne. */
export const LEASE_MS = 3 * HEARTBEAT_MS;
/** A backup waits this long after its last acknowledgement before it treats the keeper's lease as over. */
export const LEASE_MARGIN_MS = 300;
/** A new keeper that is offered nothing for this long starts the shard without records; longer than a lease. */
export const ORPHAN_WAIT_MS = 6_000;
/** Offers postpone the start without records for this long at most. */
export const ORPHAN_WAIT_LIMIT_MS = 60_000;
/** Members that are asked for shards at a time. */
export const MAX_CLAIM_TARGETS = 12;
/** A gap of this length between two ticks means that the process was paused. */
export const PAUSE_DETECTION_MS = 1_500;

/** Interval of the keeper's housekeeping. */
export const TICK_MS = 100;
/** Every shard is searched for idle flows once in this time. */
export const EXPIRY_ROUND_MS = 30_000;
/** A closed flow is remembered this long, so that late packets still find their back end. */
export const CLOSED_LINGER_SECONDS = 30;
/** A flow of which one direction is closed is forgotten after this long without packets. */
export const HALF_CLOSED_IDLE_SECONDS = 300;
/** An opening without an answer for this long counts as failed. */
export const OPEN_TIMEOUT_MS = 8_000;
/** A packet that waits for a replica's acknowledgement is dropped after this long; the caller repeats it. */
export const RETAIN_PACKET_MS = 900;

/** Delay that collects exception records for one datagram. */
export const BATCH_FLUSH_MS = 5;
/** The same delay when control bytes run short. */
export const BATCH_FLUSH_SHORT_BUDGET_MS = 40;
/** Below this many free control bytes a second, exceptions are made only where the first choice is ineligible. */
export const EXCEPTION_RESERVE_BYTES_PER_SECOND = 2_000;
/** First and longest delay before an unacknowledged record batch is sent again. */
export const RESEND_MS = 40;
export const RESEND_LIMIT_MS = 640;
/** Records in one batch at most; bounded by the payload of one control message. */
export const MAX_BATCH_RECORDS = 60;

/** Delay before unacknowledged parts of a shard are sent again. */
export const TRANSFER_RESEND_MS = 150;
/** Longest delay between two attempts for one shard. */
export const TRANSFER_RESEND_LIMIT_MS = 1_500;
/** Shards in transfer to one peer at once: this many in any case, */
export const TRANSFER_WINDOW_SHARDS = 32;
/** and up to this many while they have few records. */
export const TRANSFER_WINDOW_SMALL_SHARDS = 256;
/** Records in transfer to one peer above which the smaller window holds. */
export const TRANSFER_WINDOW_RECORDS = 1_024;
/** Attempts to send a shard in a group before it is sent in the form that older balancers know. */
export const MAX_GROUP_ATTEMPTS = 3;
/** Records in one part of a shard. */
export const MAX_PART_RECORDS = 96;
/** Bytes of parts collected for one datagram. */
export const TRANSFER_DATAGRAM_BYTES = 1_100;

/** After a crash takeover a keeper waits this long for its flows to show themselves before it may rebase. */
export const REBASE_LEARNING_MS = 15 * 60_000;
/** Shards that start a rebase in one tick. */
export const REBASE_SHARDS_PER_TICK = 256;
/** Free control bytes a second that a rebase leaves to others. */
export const REBASE_RESERVE_BYTES_PER_SECOND = 4_000;
/** Settings versions kept for reconstruction although no shard refers to them. */
export const RECENT_BASES = 4;
