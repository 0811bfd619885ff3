/** Limits and defaults of the control channel. */

/** Lowest protocol version that this build speaks: there is one so far. */
export const PROTOCOL_VERSION_MIN = 1;
/** Highest protocol version that this build speaks: there is one so far. */
export const PROTOCOL_VERSION_MAX = 1;

/**
 * Bytes of the truncated HMAC-SHA256 at the end of each datagram: half of the code's length, the least that RFC
 * 2104 recommends.
 */
export const MAC_BYTES = 16;

/** IPv4 header (20, RFC 791) and UDP header (8, RFC 768), counted with each datagram. */
export const IP_UDP_HEADER_BYTES = 28;

/** Largest accepted datagram: the largest payload plus the envelope, below the MTU of Ethernet. */
export const MAX_DATAGRAM_BYTES = 1_472;

/** Longest member id in UTF-8 bytes: ids have at most 63 characters (see the daemon's configuration). */
export const MAX_SENDER_ID_BYTES = 64;

/**
 * Largest accepted difference between the wall clocks of a sender never seen and this process, in ms. Above what
 * machines with time synchronisation differ by.
 */
export const MAX_CLOCK_SKEW_MS = 30_000;

/**
 * Sequence numbers behind the highest seen one that are still accepted once each. Above the datagrams that a sender's
 * whole budget of a second gives.
 */
export const REPLAY_WINDOW = 1_024;

/**
 * A sender not heard for this long, in ms, is forgotten and must show a fresh clock again. Far above twice
 * `MAX_CLOCK_SKEW_MS`, below which its recorded datagrams could pass.
 */
export const REPLAY_FORGET_MS = 600_000;

/** Control bytes a second that one daemon may send, IP and UDP headers included: a bound of the platform. */
export const DEFAULT_BUDGET_BYTES_PER_SECOND = 28_000;

/**
 * Shortest secret of a cluster key in bytes: as long as the truncated code, so that guessing the key is no easier
 * than guessing a code.
 */
export const MIN_SECRET_BYTES = 16;

/**
 * Span in ms over which rates are averaged, and slots it is cut into. A rate follows a change within seconds.
 */
export const RATE_WINDOW_MS = 5_000;
export const RATE_WINDOW_SLOTS = 10;
