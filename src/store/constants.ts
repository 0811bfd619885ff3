/** Deadlines, retry and circuit limits of the platform client. */

/** Longest time a call may take, in ms, its retries included. Below the 4 s within which an edit must be in force. */
export const CALL_DEADLINE_MS = 3_000;
/** Longest time one attempt of a call may take, in ms: leaves three attempts within `CALL_DEADLINE_MS`. */
export const ATTEMPT_DEADLINE_MS = 1_000;
/** First pause between two attempts, in ms; doubles with each failure. A single lost answer costs little. */
export const BACKOFF_BASE_MS = 50;
/** Longest pause between two attempts, in ms. Equal to `CIRCUIT_OPEN_MAX_MS`. */
export const BACKOFF_MAX_MS = 2_000;
/** Share of a pause that is random, either way, so that clients that failed together do not retry together. */
export const BACKOFF_SPREAD = 0.5;
/**
 * Consecutive failed attempts after which the circuit opens. Small, so that a store that is down is asked few times.
 */
export const CIRCUIT_FAILURE_THRESHOLD = 4;
/** First time in ms for which an open circuit lets nothing through; doubles with each failed trial. */
export const CIRCUIT_OPEN_BASE_MS = 500;
/**
 * Longest time in ms for which an open circuit lets nothing through; bounds how late a recovered store is noticed.
 * Below `CALL_DEADLINE_MS`.
 */
export const CIRCUIT_OPEN_MAX_MS = 2_000;
/**
 * The platform writes an empty line at least this often, in ms, on a watch that has nothing to say: a bound of the
 * platform.
 */
export const WATCH_HEARTBEAT_MS = 1_000;
/**
 * A watch that is silent for this long, in ms, is given up and opened again, so that three lines may be lost or late.
 */
export const WATCH_SILENCE_MS = 4 * WATCH_HEARTBEAT_MS;
/**
 * Subtracted from a lease's duration, in ms, on top of the time its grant took, before the holder trusts it. Above a
 * pause of garbage collection.
 */
export const LEASE_MARGIN_MS = 500;
/**
 * Share of a lease's duration that is subtracted besides, for clocks that run at different rates. Far above what quartz
 * clocks drift by.
 */
export const LEASE_DRIFT_SHARE = 0.01;
/** Largest answer (one object) that is read, in bytes: a bound against a faulty store, above the full tree. */
export const MAX_ANSWER_BYTES = 32 * 1024 * 1024;
/** Connections kept to the platform: one for calls, one for a watch, one to spare. Bounds the file descriptors. */
export const MAX_CONNECTIONS = 3;
/** Request header that names the calling member, so that the platform can count its readers. */
export const CALLER_HEADER = 'x-platform-caller';
