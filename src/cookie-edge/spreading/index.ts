/**
 * Spreads routes, back ends and confirmations that they are current between daemons, so that few of them read the source.
 *
 * ```ts
 * const transport = await NetworkTransport.open(control, events);
 * const spreader = new Spreader({ selfId, zone, seeds, transport, knowledge, clock, random, events, setReading, mayBeOld });
 * spreader.start(signal);
 * ```
 */
export type * from './types.js';
export { SpreadingError } from './errors.js';
export { SPREADING_EVENTS } from './events.js';
export { NetworkTransport } from './network-transport.js';
export { ReaderRole, type RoleReason } from './reader-role.js';
export { Spreader } from './spreader.js';
