/** Durations and limits of opening lookups. */

/**
 * Time in ms after which a lookup ends without the missing answers. Above the round-trip time within a region; a peer
 * that is dead never answers, and its callers wait this long.
 */
export const LOOKUP_TIMEOUT_MS = 50;

/** Time in ms for which the outcome of a lookup is kept: longer than a SYN may be held. */
export const OUTCOME_RETENTION_MS = 1_000;

/** Lookups that a daemon may start at once, and per second later. Bounds the messages after the loss of all daemons. */
export const LOOKUP_BURST = 64;
export const LOOKUPS_PER_SECOND = 8;

/** Maximum number of peers asked in a lookup, nearest first. Bounds the messages in a large fleet. */
export const MAX_ASKED_PEERS = 32;

/** Maximum number of openings that are remembered as left to a peer. Bounds memory. */
export const MAX_YIELDED_OPENINGS = 4_096;
