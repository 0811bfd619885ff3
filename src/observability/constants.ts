/** Constants of logs, metrics and the admin server. */

/** One event is written at most this often in a window; the rest are counted. */
export const EVENT_BURST = 20;

/** Length of the window that `EVENT_BURST` applies to. */
export const EVENT_WINDOW_MS = 10_000;

/** Prefix of every metric's name. */
export const METRIC_PREFIX = 'sailquay_';

/** A request to the admin server must be complete after this long. */
export const ADMIN_REQUEST_TIMEOUT_MS = 5_000;

/** Connections the admin server keeps open at once. */
export const ADMIN_MAX_CONNECTIONS = 64;

/** Longest request body the admin server reads. */
export const ADMIN_MAX_BODY_BYTES = 1_048_576;
