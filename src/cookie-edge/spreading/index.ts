/**
 * Gossip between daemons: distributes routes, back ends, cordons and freshness confirmations, so that only a few
 * daemons need to read the source. Owns the reader role, the view of peers and the update log; relies on `routing` for
 * the knowledge and on a transport for the datagrams.
 *
 * ```ts
 * const transport = await NetworkTransport.open(control, events);
 * const dependencies = { transport, knowledge, clock, random, events };
 * const gossipNode = new GossipNode({ selfId, zone, seeds, ...dependencies, timings, setReading, recordArrival });
 * gossipNode.start(signal);
 * ```
 */
export type * from './types.js';
export { SpreadingError } from './errors.js';
export { SPREADING_EVENTS } from './events.js';
export { NetworkTransport } from './network-transport.js';
export { ReaderRole, type RoleReason } from './reader-role.js';
export { GossipNode } from './gossip-node.js';
