/** Formats the id of a flow in logs: `caller:port>service:port`. */
import { formatIpv4 } from '../../fabric/ipv4-address.js';
import type { FlowAddresses } from '../opening-lookup/index.js';

/** Returns the flow id of a caller's packet, or of a reset to a caller. */
export function formatFlowId(packet: FlowAddresses): string {
  const caller = `${formatIpv4(packet.sourceAddress)}:${packet.sourcePort}`;
  return `${caller}>${formatIpv4(packet.destinationAddress)}:${packet.destinationPort}`;
}
