/**
 * The edge: how packets reach a balancer, how they go on to a back end and back to the caller. Everything that
 * knows the encapsulation stands behind `EdgePort` and `PacketView`; meeting another fabric changes this slice alone.
 */
import type { Endpoint } from '../common/types.js';

/** TCP flags that flow keeping looks at. */
export interface PacketFlags {
  readonly syn: boolean;
  readonly ack: boolean;
  readonly fin: boolean;
  readonly rst: boolean;
}

/** Why a datagram was dropped at the edge. */
export type EdgeDropReason =
  | 'truncated'
  | 'oversized'
  | 'fragment'
  | 'not-ipv4'
  | 'not-tcp'
  | 'bad-checksum'
  | 'ttl-exceeded'
  | 'hop-limit'
  | 'unknown-peer'
  | 'unknown-service'
  | 'contradictory';

/** A decoded view on one inner packet. Views are reused between packets: do not keep one. */
export interface PacketView {
  /** The bare inner IPv4 packet; valid until the next packet. */
  bytes: Buffer;
  /** IPv4 addresses as unsigned 32-bit integers, ports 0–65535. */
  sourceAddress: number;
  destinationAddress: number;
  sourcePort: number;
  destinationPort: number;
  syn: boolean;
  ack: boolean;
  fin: boolean;
  rst: boolean;
  /** Relay hops so far; 0 for a packet straight from the fabric or a back end. */
  hops: number;
  /** Member that relayed it, by endpoint; undefined when it came from the fabric or a back end. */
  relayedFrom: Endpoint | undefined;
}

/** Receives what arrives at the edge. */
export interface EdgeHandler {
  /** A packet from a caller (from the fabric or relayed). */
  onForward(packet: PacketView): void;
  /**
   * A packet from a back end towards a caller. The edge passes it on to the fabric after this returns, unless the
   * answer is true (a reset of an opening that is repeated on another back end).
   */
  onReturn(packet: PacketView, from: Endpoint): unknown;
  onDrop(reason: EdgeDropReason): void;
}

/** The balancer's data sockets. */
export interface EdgePort {
  /** Sends the packet, encapsulated and otherwise unchanged, to a back end. */
  sendToBackend(packet: PacketView, backend: Endpoint): void;
  /** Relays the packet to another balancer with its hop count raised. */
  relay(packet: PacketView, balancer: Endpoint): void;
  /** Answers the caller with a reset for this packet, through the fabric. */
  sendReset(packet: PacketView): void;
  /** Copies a view so that it can be kept (an opening that waits for its backup). */
  retain(packet: PacketView): PacketView;
  close(): Promise<void>;
}
