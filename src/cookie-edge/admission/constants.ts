/** Durations of admission, in ms. */

/**
 * How long after its return a daemon makes late openings yield. Callers that waited come back within one attempt of
 * 1,400 ms, and what they ask is worked off within about as long.
 */
export const RECOVERY_MS = 3_000;
