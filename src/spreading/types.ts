/** Messages between daemons and how they travel. */
import type Result from 'true-myth/result';
import type { Endpoint } from '../common/types.js';
import type { RoutingTopic, RoutingUpdate, TopicProof } from '../routing/index.js';
import type { SpreadingError } from './errors.js';

export const ROUTING_TOPICS: readonly RoutingTopic[] = ['routes', 'backends'];

/** A daemon as others know it. */
export interface Peer {
  readonly endpoint: Endpoint;
  readonly zone: string;
  /** Monotonic ms at which it was last heard of. */
  heardAtMs: number;
}

/** A daemon that reads the source. */
export interface ReaderSighting {
  readonly id: string;
  /** Monotonic ms at which it last proved something. */
  readonly provedAtMs: number;
}

/** An update with the revision it starts from; -1 for a complete one. */
export interface SpreadUpdate {
  readonly topic: RoutingTopic;
  readonly since: number;
  readonly update: RoutingUpdate;
}

/** A back end that gave some daemon no sign of life while others did. */
export interface BackendSuspicion {
  readonly backendId: string;
  /** Monotonic ms at which it was ejected there. */
  readonly atMs: number;
}

/** What a message says; times are this process's monotonic ms. */
export interface PeerMessage {
  readonly type: 'news' | 'pull' | 'state';
  readonly senderId: string;
  readonly senderZone: string;
  /** The sender stops. */
  readonly leaving: boolean;
  readonly proofs: Readonly<Partial<Record<RoutingTopic, TopicProof>>>;
  readonly readers: readonly ReaderSighting[];
  readonly peers: readonly Peer[];
  readonly updates: readonly SpreadUpdate[];
  readonly suspicions: readonly BackendSuspicion[];
}

/** Carries messages between daemons: datagrams, and everything at once over a connection. */
export interface PeerTransport {
  readonly endpoint: Endpoint;
  /** Sends one datagram; it may be lost. */
  send(to: Endpoint, bytes: Uint8Array): void;
  /** Fetches what the peer serves with the provider given to `serve`. */
  fetch(from: Endpoint): Promise<Result<Uint8Array, SpreadingError>>;
  /** Registers the receiver of datagrams and the provider of the state. */
  serve(receive: (bytes: Uint8Array, from: Endpoint) => void, provideState: () => Uint8Array): void;
  close(): Promise<void>;
}
