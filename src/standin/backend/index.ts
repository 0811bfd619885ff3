/**
 * Stand-in of the back ends.
 *
 * ```ts
 * const backend = { name, service, addresses, endpoint, health };
 * const standin = await startBackendStandin({ control, seed: 1, backends: [backend] });
 * standin.setFaults('isartal/pickguide/pick-01', { blackhole: true });
 * ```
 */
export { startBackendStandin, type BackendStandin } from './backend-standin.js';
export { registerBackendStandin } from './command.js';
export * from './types.js';
