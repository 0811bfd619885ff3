/**
 * Messages between daemons, and the interface of the transport that carries them. Times are monotonic ms of this
 * process.
 */
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

/** A reader, as a message names it. */
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

/** Another daemon's ejection of a back end; called a suspicion on the wire. */
export interface EjectionReport {
  readonly backendId: string;
  /** Monotonic ms at which it was ejected there. */
  readonly atMs: number;
}

/** Content of a message; times are monotonic ms of this process. */
export interface PeerMessage {
  /** As on the wire. `news`: a push or the response to a pull. `pull`: a request. `state`: the response to a fetch. */
  readonly type: 'news' | 'pull' | 'state';
  readonly senderId: string;
  readonly senderZone: string;
  /** True when the sender stops. */
  readonly leaving: boolean;
  readonly confirmations: Readonly<Partial<Record<RoutingTopic, TopicConfirmation>>>;
  readonly readers: readonly ReaderSighting[];
  readonly peers: readonly Peer[];
  readonly updates: readonly SpreadUpdate[];
  /** Ejection reports, by their name on the wire. */
  readonly suspicions: readonly EjectionReport[];
  readonly loads: readonly LoadReport[];
  readonly badAnswers: readonly BadAnswerReport[];
  /** Number of departed back ends that the sender remembers. */
  readonly departedCount: number;
  /** Revision of the table of routes that the sender has in force; -1 for none. */
  readonly tableRevision: number;
  /** Back ends that live may be missing from the sender's list. False from a sender that does not know this field. */
  readonly unsettled: boolean;
}

/** Knowledge of one topic; revisions are -1 for nothing. */
export interface KnownTopic {
  /** Epoch of the source's history to which the revisions belong; absent: 0. */
  readonly epoch?: number;
  readonly revision: number;
  /** Revision of the table of routes in force, from which a change must start; irrelevant to back ends. */
  readonly table: number;
}

/**
 * Revisions up to which a daemon knows each topic, and the table that it has in force; -1 for nothing, and for what is
 * known of an earlier epoch only.
 */
export interface KnownRevisions extends Readonly<Record<RoutingTopic, number>> {
  readonly table: number;
  /** Epoch of the source's history to which the revisions belong; absent: 0. */
  readonly epoch?: number;
}

/** Receives a datagram. */
export type DatagramReceiver = (bytes: Uint8Array, from: Endpoint) => void;

/** Encodes everything beyond `known`. */
export type StateProvider = (known: KnownRevisions) => Uint8Array;

/** Carries messages between daemons: datagrams, and everything at once over a connection. */
export interface PeerTransport {
  readonly endpoint: Endpoint;
  /** Sends one datagram; it may be lost. */
  send(to: Endpoint, bytes: Uint8Array): void;
  /** Fetches what the peer knows beyond `known`, from the provider given to its `serve`. */
  fetch(from: Endpoint, known: KnownRevisions): Promise<Result<Uint8Array, SpreadingError>>;
  /** Registers the receiver of datagrams and the provider of the state. */
  serve(receive: DatagramReceiver, provideState: StateProvider): void;
  close(): Promise<void>;
}
