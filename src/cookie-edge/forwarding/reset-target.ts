/** Builds the fields of a reset from a remembered flow, whose packet is no longer at hand. Does no input or output. */
import type { ResetTarget } from '../../fabric/cookie-edge.js';
import { splitAddressKey } from '../routing/index.js';
import type { Flow } from './flow-cache.js';

/**
 * The caller of a flow as a reset names it. A flow that is still opening has acknowledged nothing, so its reset carries
 * the retransmission count of its SYN instead.
 */
export function resetTargetOf(flow: Flow): ResetTarget {
  const [sourceAddress, sourcePort] = splitAddressKey(flow.callerKey);
  const [destinationAddress, destinationPort] = splitAddressKey(flow.serviceKey);
  return {
    sourceAddress,
    sourcePort,
    destinationAddress,
    destinationPort,
    acknowledgement: flow.acknowledgement,
    retransmissionCount: flow.phase === 'opening' ? flow.retransmissionCount : 0,
  };
}
