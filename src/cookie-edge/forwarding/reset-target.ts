/** Builds from a remembered flow what a reset to its caller needs. */
import type { ResetTarget } from '../../fabric/cookie-edge.js';
import { splitAddressKey } from '../routing/index.js';
import type { Flow } from './flow-cache.js';

/** The caller of a flow as a reset names it. An opening without an answer has acknowledged nothing: its SYN's count counts. */
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
