/** Formats the id of a flow in logs: `caller:port>service:port`. */
import type { ResetTarget } from '../../fabric/cookie-edge.js';
import { formatIpv4 } from '../../fabric/ipv4-address.js';

/** Returns the flow id of a caller's packet, or of a reset to a caller. */
export function formatFlowId(packet: Omit<ResetTarget, 'acknowledgement' | 'retransmissionCount'>): string {
  const caller = `${formatIpv4(packet.sourceAddress)}:${packet.sourcePort}`;
  return `${caller}>${formatIpv4(packet.destinationAddress)}:${packet.destinationPort}`;
}
