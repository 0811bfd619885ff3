/**
 * Stand-ins of what surrounds the balancers on the GUE edge: the platform, the network fabric, back ends and
 * callers. For tests, experiments and the demonstration; no balancer loads them.
 *
 * Each of `platform/`, `fabric/`, `backend/` and `caller/` owns one stand-in and its command; `segment-connection/`
 * owns the connections between callers and back ends, `common/` their sockets, messages and command-line options.
 * They rely on the wire formats of src/fabric and the platform's interface in src/store, and on nothing of either
 * edge. Tests import a stand-in from its own folder.
 */
export { registerBackendStandin } from './backend/index.js';
export { registerCallerStandin } from './caller/index.js';
export { registerFabricStandin } from './fabric/index.js';
export { registerPlatformStandin } from './platform/index.js';
