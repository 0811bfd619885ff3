/** Durations of admission, in ms. */

/**
 * Duration of a recovery, in which late openings may be deferred. Callers that waited reconnect within one attempt of
 * 1,400 ms, and the back ends need about as long again to serve them.
 */
export const RECOVERY_MS = 3_000;
