/** Messages between daemons and how they travel. */
import type Result from 'true-myth/result';
import type { Endpoint } from '../../common/types.js';
import type { LoadReport } from '../load/index.js';
import type { BadAnswerReport } from '../outliers/index.js';
import type { RoutingTopic, RoutingUpdate, TopicConfirmation } from '../routing/index.js';
import type { SpreadingError } from './errors.js';

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
  /** Monotonic ms at which it last confirmed something. */
  readonly confirmedAtMs: number;
}

/** An update with the revision it starts from; -1 for a complete one. */
export interface SpreadUpdate {
  readonly topic: RoutingTopic;
  readonly since: number;
  readonly update: RoutingUpdate;
}

/** A back end that gave some daemon no sign of life while others did. */
export interface EjectionReport {
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
  readonly confirmations: Readonly<Partial<Record<RoutingTopic, TopicConfirmation>>>;
  readonly readers: readonly ReaderSighting[];
  readonly peers: readonly Peer[];
  readonly updates: readonly SpreadUpdate[];
  readonly suspicions: readonly EjectionReport[];
  readonly loads: readonly LoadReport[];
  readonly badAnswers: readonly BadAnswerReport[];
  /** Back ends that left and that the sender remembers. */
  readonly departedCount: number;
  /** Revision of the table of routes that the sender has in force; -1 for none. */
  readonly tableRevision: number;
}

/** How far a daemon knows a topic; revisions are -1 for nothing. */
export interface KnownTopic {
  readonly revision: number;
  /** Revision of the table of routes in force, from which a change must start; of no matter to back ends. */
  readonly table: number;
}

/** Revisions up to which a daemon knows each topic, and the table that it has in force; -1 for nothing. */
export interface KnownRevisions extends Readonly<Record<RoutingTopic, number>> {
  readonly table: number;
}

/** Takes a datagram in. */
export type DatagramReceiver = (bytes: Uint8Array, from: Endpoint) => void;

/** Encodes everything that somebody lacks who knows `known`. */
export type StateProvider = (known: KnownRevisions) => Uint8Array;

/** Carries messages between daemons: datagrams, and everything at once over a connection. */
export interface PeerTransport {
  readonly endpoint: Endpoint;
  /** Sends one datagram; it may be lost. */
  send(to: Endpoint, bytes: Uint8Array): void;
  /** Fetches what the peer knows beyond `known`, as the provider given to `serve` tells it. */
  fetch(from: Endpoint, known: KnownRevisions): Promise<Result<Uint8Array, SpreadingError>>;
  /** Registers the receiver of datagrams and the provider of the state. */
  serve(receive: DatagramReceiver, provideState: StateProvider): void;
  close(): Promise<void>;
}
