/** The id of a flow in logs: `caller:port>service:port`. */
import type { CookiePacket } from '../../fabric/cookie-edge.js';

/** Writes an unsigned 32-bit integer as dotted text. */
function dotted(address: number): string {
  return `${address >>> 24}.${(address >>> 16) & 0xff}.${(address >>> 8) & 0xff}.${address & 0xff}`;
}

/** The flow id of a packet from a caller. */
export function formatFlowId(packet: CookiePacket): string {
  const caller = `${dotted(packet.sourceAddress)}:${packet.sourcePort}`;
  return `${caller}>${dotted(packet.destinationAddress)}:${packet.destinationPort}`;
}
