/** The authenticated datagram channel between balancers, as the other slices see it. */
import type { Endpoint } from '../../common/types.js';

/** Duty a control message belongs to; each slice owns one and meters its bytes under it. */
export type ControlKind = 'membership' | 'dissemination' | 'replication' | 'handover' | 'health' | 'status';

/** Every control kind, in wire order (index + 1 is the number on the wire). */
export const CONTROL_KINDS: readonly ControlKind[] = [
  'membership',
  'dissemination',
  'replication',
  'handover',
  'health',
  'status',
];

/** Largest payload of one control message in bytes, so that an envelope fits an Ethernet frame. */
export const MAX_CONTROL_PAYLOAD_BYTES = 1_200;

/** A received, authenticated, fresh message. */
export interface InboundControlMessage {
  /** Member id of the sender, as authenticated. */
  readonly senderId: string;
  /** Incarnation (boot) of the sending process. */
  readonly senderIncarnation: number;
  readonly from: Endpoint;
  readonly payload: Uint8Array;
  /** Highest protocol version that both ends speak. */
  readonly protocolVersion: number;
}

/** Sends and receives control messages. Delivery is not guaranteed and not ordered. */
export interface ControlChannel {
  /** Sends one message; false when the byte budget makes this kind wait (the caller retries later). */
  send(to: Endpoint, kind: ControlKind, payload: Uint8Array): boolean;
  /** Registers the one handler of a kind. */
  handle(kind: ControlKind, handler: (message: InboundControlMessage) => void): void;
  /** Bytes per second still free in the budget (all kinds), for senders that pace themselves. */
  availableBytesPerSecond(): number;
}
