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
  /** Sequence number, unsigned 32-bit. */
  sequence: number;
  /** Acknowledgement number, unsigned 32-bit; 0 in a SYN. */
  acknowledgement: number;
  /** How many times the caller had sent this SYN before, as it says; 0 in any other packet. */
  retransmissionCount: number;
  /** Length of the data in bytes. */
  payloadBytes: number;
  /** Connection cookie; 0 while the caller has none. */
  cookie: number;
}

/** What a reset needs of the last packet of a caller's flow. */
export type ResetTarget = Pick<
  CookiePacket,
  | 'sourceAddress'
  | 'sourcePort'
  | 'destinationAddress'
  | 'destinationPort'
  | 'acknowledgement'
  | 'retransmissionCount'
>;

/** Receives what arrives at the edge. */
export interface CookieEdgeHandler {
  /** `waitedMs`: how long the packet was kept since it arrived; 0 unless given. */
  onPacket(packet: CookiePacket, waitedMs?: number): void;
  onDrop(reason: EdgeDropReason): void;
}

/** The balancer's data socket. All calls but `sendResetTo` refer to the packet that is being handled. */
export interface CookieEdgePort {
  /** Sends the packet with `cookie` to the start `backendId` of a back end, and to no other process at `endpoint`. */
  sendToBackend(backendId: string, endpoint: Endpoint, cookie: number): void;
  /** Answers the caller with a reset. */
  sendReset(): void;
  /** Sends a reset to the caller of any flow. */
  sendResetTo(target: ResetTarget): void;
  /** Copies the packet; the returned function delivers it to the handler again, with the time that it was kept. */
  keepPacket(): (waitedMs: number) => void;
}
