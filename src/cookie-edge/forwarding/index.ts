/**
 * Forwards callers' packets on a cookie edge. Owns the flow cache, the registry of connection cookies and the counters.
 * Uses `placement` for new flows, `backend-health` and `outliers` to evaluate back ends from observed packets,
 * `routing` for routes and records, and the edge of `fabric` for sending.
 */
export type { CookieForwarder } from './cookie-forwarder.js';
export type { CookieStatistics } from './cookie-statistics.js';
export { createCookieForwarder } from './create-cookie-forwarder.js';
export type { Flow, FlowCache } from './flow-cache.js';
