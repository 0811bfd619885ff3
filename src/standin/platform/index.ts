/**
 * Stand-in platform for tests and experiments.
 *
 * ```ts
 * const standin = await startPlatformStandin({ port: 0 });
 * standin.setFaults({ down: true });
 * ```
 */
export { startPlatformStandin, type PlatformStandin } from './server.js';
export { registerPlatformStandin } from './command.js';
export { InMemoryPlatform } from './in-memory-platform.js';
export type { CounterReport } from './request-counters.js';
