/** Timers and sizes of segment connections. */

/** First wait before a segment is retransmitted, ms; doubles up to the limit. Linux's smallest one. */
export const RETRANSMIT_INITIAL_MS = 200;
/** Longest wait between two retransmissions, ms: 200 ms doubled three times. */
export const RETRANSMIT_LIMIT_MS = 1_600;

/**
 * Default time without any acknowledgement after which a connection counts as broken, ms; the bound of
 * docs/records/MEASUREMENTS.md.
 */
export const DEFAULT_GIVE_UP_MS = 15_000;

/** Largest payload of one segment, bytes. It fits an MTU of 1,500 with its encapsulation. */
export const MAX_SEGMENT_BYTES = 1_200;

/** Most segments that wait for an acknowledgement at once. A burst then fits a UDP socket buffer. */
export const MAX_SEGMENTS_IN_FLIGHT = 32;

/** Bytes past the next expected one that a receiver accepts: the largest window of a TCP header without scaling. */
export const RECEIVE_WINDOW_BYTES = 0xffff;

/**
 * How long an owner keeps a closed connection, ms, so that late retransmissions still get their acknowledgement. About
 * three times RETRANSMIT_LIMIT_MS.
 */
export const TIME_WAIT_MS = 5_000;
