/** Durations and limits of opening lookups. */

/**
 * Time in ms after which a lookup ends without the missing answers. Above the round-trip time within a region; a peer
 * that is dead never answers, and its callers wait this long.
 */
export const LOOKUP_TIMEOUT_MS = 50;

/** Time in ms for which the outcome of a lookup is kept: longer than a SYN may be held. */
export const OUTCOME_RETENTION_MS = 1_000;

/**
 * Rounds of queries that a daemon may send at once, and per second later. Each round is one message to each asked peer.
 * Bounds the messages after the loss of all daemons, when most openings are retransmissions.
 */
export const ROUND_BURST = 8;
export const ROUNDS_PER_SECOND = 2;

/**
 * Lookups are suspended for this long, in ms, after one that most peers did not answer. After the loss of many daemons
 * the others have nothing to tell, and every opening would wait for the timeout.
 */
export const SUSPENSION_MS = 1_000;

/** Minimum time in ms between two rounds. Lookups that start meanwhile share the next round. */
export const ROUND_INTERVAL_MS = 20;

/** Maximum number of queries in a round. They fit into a datagram. */
export const MAX_QUERIES_PER_ROUND = 32;

/** Maximum number of peers asked in a round, nearest first. Bounds the messages in a large fleet. */
export const MAX_ASKED_PEERS = 24;

/** Maximum number of packets of one open flow that wait for the end of a lookup: what a caller sends at once. */
export const MAX_KEPT_PACKETS = 16;

/** Maximum number of handshake records in a message. They fit into a datagram. */
export const MAX_RECORDS_PER_MESSAGE = 16;

/** Maximum number of handshake records that are kept, and that wait to be sent. Bounds memory to about 4 MB. */
export const MAX_HANDSHAKE_RECORDS = 8_192;

/**
 * A packet whose acknowledgement differs by more from that of a handshake record, in bytes, belongs to another flow.
 * More than a flow receives in its lifetime after an opening that was sent to two back ends.
 */
export const MAX_RECORD_ADVANCE_BYTES = 16_777_216;

/** Maximum number of openings that are remembered as left to a peer. Bounds memory. */
export const MAX_YIELDED_OPENINGS = 4_096;
