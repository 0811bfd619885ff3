/**
 * Flow keeping: one balancer, the keeper, decides for each flow; the others relay its packets there.
 *
 * Owns the flow tables of the shards kept here, the replicas held for other keepers, and the transfers between
 * them. Relies on membership for the owners of shards, on control for delivery (not for order), on placement for
 * the choice of a back end and on health for its eligibility. Nothing is stored: a shard outlives its keeper at its
 * backup only.
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
export type { FlowStatistics } from './types.js';
export type { FlowDescription, FlowLimits, OpeningAdmission, PacketForwarder } from './packet-forwarder.js';
export { createForwarder } from './create-forwarder.js';
