/** Timers and sizes of segment connections. */

/** First wait before a segment is sent again; doubles up to the limit. */
export const RETRANSMIT_INITIAL_MS = 200;
export const RETRANSMIT_LIMIT_MS = 1_600;

/** Default time without any acknowledgement after which a connection counts as broken. */
export const DEFAULT_GIVE_UP_MS = 15_000;

/** Largest payload of one segment in bytes. */
export const MAX_SEGMENT_BYTES = 1_200;

/** Most segments that wait for an acknowledgement at once. */
export const MAX_SEGMENTS_IN_FLIGHT = 32;

/** Bytes past the next expected one that a receiver takes. */
export const RECEIVE_WINDOW_BYTES = 0xffff;

/** How long an owner keeps a closed connection, so that late repeats still get their acknowledgement. */
export const TIME_WAIT_MS = 5_000;
