/**
 * An edge that carries a connection cookie: 32 bits that a balancer writes into each packet towards a back end and that
 * come back with the flow's next packets. Answers go from the back end straight to the caller.
 */
import type { Endpoint } from '../common/types.js';
import type { EdgeDropReason } from './types.js';

/** A decoded packet from a caller. Views are reused between packets: do not keep one. */
export interface CookiePacket {
  /** IPv4 addresses as unsigned 32-bit integers, ports 0–65535. */
  sourceAddress: number;
  sourcePort: number;
  destinationAddress: number;
  destinationPort: number;
  syn: boolean;
  ack: boolean;
  fin: boolean;
  rst: boolean;
  /** Sequence and acknowledgement numbers, unsigned 32-bit. A caller counts the copies of its SYN in the latter. */
  sequence: number;
  acknowledgement: number;
  /** Bytes of data. */
  payloadBytes: number;
  /** 0: none yet. */
  cookie: number;
}

/** Names a caller's flow in a reset; the packet fields of its last packet. */
export type ResetTarget = Pick<
  CookiePacket,
  'sourceAddress' | 'sourcePort' | 'destinationAddress' | 'destinationPort' | 'acknowledgement'
>;

/** Receives what arrives at the edge. */
export interface CookieEdgeHandler {
  onPacket(packet: CookiePacket): void;
  onDrop(reason: EdgeDropReason): void;
}

/** The balancer's data socket. All calls but `sendResetTo` speak of the packet that is being handled. */
export interface CookieEdgePort {
  /** Sends the packet with `cookie` to the start `backendId` of a back end, and to no other process at `endpoint`. */
  sendToBackend(backendId: string, endpoint: Endpoint, cookie: number): void;
  /** Answers the caller with a reset of this balancer's own. */
  sendReset(): void;
  /** Sends a reset to the caller of another packet's flow. */
  sendResetTo(target: ResetTarget): void;
  /** Keeps the packet; the function that is returned hands it to the handler anew. */
  keepPacket(): () => void;
}
