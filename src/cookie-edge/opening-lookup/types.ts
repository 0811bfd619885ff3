/** Messages about openings between daemons, and the interface that sends them. Times are monotonic ms. */
import type { CookiePacket } from '../../fabric/cookie-edge.js';

/** Addresses that identify a flow. */
export type FlowAddresses = Pick<
  CookiePacket,
  'sourceAddress' | 'sourcePort' | 'destinationAddress' | 'destinationPort'
>;

/** Asks a peer whether it has placed an opening. */
export interface OpeningQuery extends FlowAddresses {
  /** Retransmission count of the SYN that the asking daemon has received. */
  readonly retransmissionCount: number;
}

/** Answer to an `OpeningQuery`. */
export interface OpeningAnswer extends FlowAddresses {
  /** Back end at which the peer placed the opening; undefined if it has not placed it. */
  readonly backendId: string | undefined;
}

/** Sends queries to peers. */
export interface OpeningPeers {
  /** Returns false if no peer is known. */
  hasPeers(): boolean;
  /** Sends queries to some peers and returns a key for each of these; answers carry the same keys. */
  askAboutOpenings(queries: readonly OpeningQuery[]): readonly string[];
}
