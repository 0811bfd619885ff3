/**
 * Forwarding: the packets of callers on a cookie edge. Owns the flow cache, the registry of connection cookies and the
 * counters. Relies on `placement` for new flows, on `backend-health` and `outliers` for what packets say of back ends,
 * on `routing` for routes and records, and on the edge of `fabric` for sending.
 */
export { HOUSEKEEPING_TICK_MS } from './constants.js';
export type { CookieForwarder } from './cookie-forwarder.js';
export type { CookieStatistics } from './cookie-statistics.js';
export { createCookieForwarder } from './create-cookie-forwarder.js';
export type { Flow, FlowCache } from './flow-cache.js';
