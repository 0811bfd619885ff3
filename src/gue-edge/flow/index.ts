/**
 * Flow keeping: one balancer, the keeper, decides for each flow; the others relay its packets there.
 *
 * ```ts
 * const forwarder = createForwarder('bounded-load', components);
 * forwarder.start(signal);
 * const handler = {
 *   onForward: (packet) => forwarder.handlePacket(packet),
 *   onReturn: (packet, from) => forwarder.handleReturn(packet, from),
 * };
 * ```
 */
export * from './types.js';
export * from './packet-forwarder.js';
export { createForwarder } from './create-forwarder.js';
export { FlowKeeper } from './flow-keeper.js';
export { RendezvousForwarder } from './baselines/rendezvous-forwarder.js';
export { LocalTableForwarder } from './baselines/local-table-forwarder.js';
export { listOwners, ShardMap } from './shard-map.js';
export { fingerprintFlow, shardOf, type MutableFingerprint } from './flow-key.js';
export { SHARD_COUNT } from './constants.js';
export { FLOW_EVENTS } from './events.js';
export { BackendIndexExhaustedError, MalformedRecordError, ServiceAddressError } from './errors.js';
