/**
 * Runs a daemon on a cookie edge: configuration, wiring, start, readiness, reload, stop, status and metrics. Owns the
 * life cycle of all components. Uses `forwarding`, `routing`, `spreading`, `roster` and `load`, and a deployment's
 * adapters for packets and the source.
 *
 * Programs that only check a configuration import `config.ts`, because this index loads the whole daemon.
 */
export type { BoundCookieEdge, CookieEdgeOptions, DeploymentAdapters } from './adapters.js';
export { runCookieDaemon } from './run.js';
