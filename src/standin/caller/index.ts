/**
 * Stand-in of the callers.
 *
 * ```ts
 * const callers = await startCallerStandin({ fabric, services, local, control, longFlows: 200, seed: 1 });
 * const report = await callers.stop();
 * ```
 */
export { startCallerStandin } from './caller-standin.js';
export { registerCallerStandin } from './command.js';
export * from './types.js';
