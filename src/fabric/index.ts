/**
 * The edge of a balancer: encapsulated packets from the fabric, other balancers and back ends.
 *
 * Owns the data sockets and the formats of encapsulation, relay frames and resets. Relies on the handler for every
 * decision on a packet, and on `isPeer` and `isBackend` for the class of a source. Nothing is stored.
 *
 * ```ts
 * const edge = await createEdgePort({ data, fabricReturn, isPeer, isBackend, handler, events });
 * // in handler.onForward:
 * edge.sendToBackend(packet, backend.endpoint);
 * ```
 */
export { createEdgePort, type BoundEdgePort } from './gue-edge-port.js';
export { RELAY_HOP_LIMIT } from './constants.js';
export { EdgeBindError } from './errors.js';
export { FABRIC_EVENTS } from './events.js';
export { formatIpv4, parseIpv4 } from './ipv4-address.js';
export { buildReset, decodeSegment, encodeSegment, type Segment } from './segment-codec.js';
export type { SourceRules } from './source-cache.js';
export type * from './types.js';
