/** Constants of logs, metrics and the admin server. */

/**
 * One event is written at most this often in a window; the rest are counted. A flood costs two lines a second.
 */
export const EVENT_BURST = 20;

/**
 * Length of the window that `EVENT_BURST` applies to, in ms. With `EVENT_BURST`, so that a flood costs two lines a
 * second.
 */
export const EVENT_WINDOW_MS = 10_000;

/** Prefix of every metric's name. */
export const METRIC_PREFIX = 'sailquay_';

/** A request to the admin server must be complete after this long, in ms. Far above a scrape. */
export const ADMIN_REQUEST_TIMEOUT_MS = 5_000;

/** Connections that the admin server keeps open at once. Above the probes, scrapes and operators of one daemon. */
export const ADMIN_MAX_CONNECTIONS = 64;

/** Longest request body that the admin server reads, in bytes: only fault injection sends one. */
export const ADMIN_MAX_BODY_BYTES = 1_048_576;
