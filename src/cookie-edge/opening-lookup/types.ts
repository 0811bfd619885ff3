/** Messages about openings between daemons, and the interface that sends them. Times are monotonic ms. */
import type { CookiePacket } from '../../fabric/cookie-edge.js';

/** Addresses that identify a flow. */
export type FlowAddresses = Pick<
  CookiePacket,
  'sourceAddress' | 'sourcePort' | 'destinationAddress' | 'destinationPort'
>;

/** Asks a peer whether it has placed an opening, or knows where its handshake was completed. */
export interface OpeningQuery extends FlowAddresses {
  /** Retransmission count of the SYN that the asking daemon has received; 0 for another packet. */
  readonly retransmissionCount: number;
  /** Acknowledgement number of a packet of the caller that is not a SYN. Undefined for a SYN. */
  readonly acknowledgement?: number;
}

/** Answer to an `OpeningQuery`. */
export interface OpeningAnswer extends FlowAddresses {
  /** Back end at which the peer placed the opening; undefined if it has not placed it. */
  readonly backendId: string | undefined;
  /** Present if the answer is about a completed handshake; see `HandshakeRecord`. */
  readonly acknowledgement?: number;
}

/** The back end at which a caller completed the handshake of a flow. */
export interface HandshakeRecord extends FlowAddresses {
  readonly backendId: string;
  /** An acknowledgement number of the caller, which distinguishes the flow from others with the same addresses. */
  readonly acknowledgement: number;
}

/** Sends queries to peers. */
export interface OpeningPeers {
  /** Returns false if no peer is known and this daemon does not search for peers any more. */
  hasPeers(): boolean;
  /**
   * Sends queries to some peers and returns a key for each of these; answers carry the same keys. Returns none if no
   * peer is known yet.
   */
  askAboutOpenings(queries: readonly OpeningQuery[]): readonly string[];
  /** Sends records to the peers that are asked. */
  shareHandshakes(records: readonly HandshakeRecord[]): void;
}
