/** Builds the fields of a reset from a cached flow, without a packet of that flow. Does no input or output. */
import type { ResetTarget } from '../../fabric/cookie-edge.js';
import { splitAddressKey } from '../routing/index.js';
import type { Flow } from './flow-cache.js';

/**
 * Returns the target of a reset for a flow. A caller that is still opening has acknowledged nothing, so the reset
 * carries the retransmission count of its SYN instead.
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
