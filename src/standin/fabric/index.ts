/**
 * Stand-in of the network fabric.
 *
 * ```ts
 * const fabric = await startFabricStandin({ callerSide, balancerSide, control, balancers, seed: 1 });
 * ```
 */
export { registerFabricStandin } from './command.js';
export { startFabricStandin, type FabricStandin } from './fabric-standin.js';
export type * from './types.js';
