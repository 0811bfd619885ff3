/** Deadlines, retry and circuit limits of the platform client. */

/** Longest time a call may take, its retries included. */
export const CALL_DEADLINE_MS = 3_000;
/** Longest time one attempt of a call may take. */
export const ATTEMPT_DEADLINE_MS = 1_000;
/** First pause between two attempts; doubles with each failure. */
export const BACKOFF_BASE_MS = 50;
/** Longest pause between two attempts. */
export const BACKOFF_MAX_MS = 2_000;
/** Share of a pause that is random, either way. */
export const BACKOFF_SPREAD = 0.5;
/** Consecutive failed attempts after which the circuit opens. */
export const CIRCUIT_FAILURE_THRESHOLD = 4;
/** First time an open circuit lets nothing through; doubles with each failed trial. */
export const CIRCUIT_OPEN_BASE_MS = 500;
/** Longest time an open circuit lets nothing through; bounds how late a recovered store is noticed. */
export const CIRCUIT_OPEN_MAX_MS = 2_000;
/** The platform writes an empty line at least this often on a watch that has nothing to say. */
export const WATCH_HEARTBEAT_MS = 1_000;
/** A watch that is silent for this long is given up and opened again. */
export const WATCH_SILENCE_MS = 4 * WATCH_HEARTBEAT_MS;
/** Subtracted from a lease's duration, on top of the time its grant took, before the holder trusts it. */
export const LEASE_MARGIN_MS = 500;
/** Share of a lease's duration that is subtracted besides, for clocks that run at different rates. */
export const LEASE_DRIFT_SHARE = 0.01;
/** Largest answer (one object) that is read. */
export const MAX_ANSWER_BYTES = 32 * 1024 * 1024;
/** Connections kept to the platform: one for calls, one for a watch, one to spare. */
export const MAX_CONNECTIONS = 3;
/** Request header that names the calling member, so that the platform can count its readers. */
export const CALLER_HEADER = 'x-platform-caller';
