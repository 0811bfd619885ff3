/** Limits and defaults of the control channel. */

/** Protocol versions this build speaks. Version 1 is the first. */
export const PROTOCOL_VERSION_MIN = 1;
export const PROTOCOL_VERSION_MAX = 1;

/** Bytes of the truncated HMAC-SHA256 at the end of each datagram. */
export const MAC_BYTES = 16;

/** IPv4 header (20) and UDP header (8), counted with each datagram. */
export const IP_UDP_HEADER_BYTES = 28;

/** Largest accepted datagram: the largest payload plus the envelope, below the MTU of Ethernet. */
export const MAX_DATAGRAM_BYTES = 1_472;

/** Longest member id in UTF-8 bytes. */
export const MAX_SENDER_ID_BYTES = 64;

/** Largest accepted difference between the wall clocks of a sender never seen and this process. */
export const MAX_CLOCK_SKEW_MS = 30_000;

/** Sequence numbers behind the highest seen one that are still accepted once each. */
export const REPLAY_WINDOW = 1_024;

/** A sender not heard for this long is forgotten and must show a fresh clock again; above twice the skew. */
export const REPLAY_FORGET_MS = 600_000;

/** Control bytes a second that one daemon may send, IP and UDP headers included. */
export const DEFAULT_BUDGET_BYTES_PER_SECOND = 28_000;

/** Shortest secret of a cluster key in bytes. */
export const MIN_SECRET_BYTES = 16;

/** Span over which rates are averaged, and slots it is cut into. */
export const RATE_WINDOW_MS = 5_000;
export const RATE_WINDOW_SLOTS = 10;
