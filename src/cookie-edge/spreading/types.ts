/**
 * Messages between daemons, and the interface of the transport that carries them. Times are monotonic ms of this
 * process.
 */
import type Result from 'true-myth/result';
import type { Endpoint } from '../../common/types.js';
import type { LoadReport } from '../load/index.js';
import type { OpeningAnswer, OpeningQuery } from '../opening-lookup/index.js';
import type { BadAnswerReport } from '../outliers/index.js';
import type { RoutingTopic, RoutingUpdate, TopicConfirmation } from '../routing/index.js';
import type { SpreadingError } from './errors.js';

/** Another daemon, and when a message last came from it or mentioned it. */
export interface Peer {
  readonly endpoint: Endpoint;
  readonly zone: string;
  /** Monotonic ms of the last message that came from it or mentioned it. */
  heardAtMs: number;
}

/** A reader of the source, and when the source last confirmed its data. */
export interface ReaderSighting {
  readonly id: string;
  /** Monotonic ms of the last confirmation that it received from the source. */
  readonly confirmedAtMs: number;
}

/** An update and the revision from which it starts; -1 for a complete update. */
export interface TopicUpdate {
  readonly topic: RoutingTopic;
  readonly since: number;
  readonly update: RoutingUpdate;
}

/** Reports that a daemon ejected a back end. The wire format calls it a suspicion. */
export interface EjectionReport {
  readonly backendId: string;
  /** Monotonic ms at which the daemon ejected it. */
  readonly atMs: number;
}

/** Content of a message; times are monotonic ms of this process. */
export interface PeerMessage {
  /** Name on the wire. `news`: a push or a pull response. `pull`: a pull request. `state`: the response to a fetch. */
  readonly type: 'news' | 'pull' | 'state';
  readonly senderId: string;
  readonly senderZone: string;
  /** True if the sender stops. */
  readonly leaving: boolean;
  readonly confirmations: Readonly<Partial<Record<RoutingTopic, TopicConfirmation>>>;
  readonly readers: readonly ReaderSighting[];
  readonly peers: readonly Peer[];
  readonly updates: readonly TopicUpdate[];
  /** Ejection reports, under their name on the wire. */
  readonly suspicions: readonly EjectionReport[];
  readonly loads: readonly LoadReport[];
  readonly badAnswers: readonly BadAnswerReport[];
  /** Openings about which the sender asks, and its answers about openings; absent: none. */
  readonly openingQueries?: readonly OpeningQuery[];
  readonly openingAnswers?: readonly OpeningAnswer[];
  /** Number of departed back ends that the sender remembers. */
  readonly departedCount: number;
  /** Revision of the route table in force at the sender; -1 for none. */
  readonly tableRevision: number;
  /**
   * True if live back ends may be missing from the list of the sender. False if the sender does not support this field.
   */
  readonly unsettled: boolean;
}

/** What a daemon knows of one topic; revisions are -1 if it knows nothing. */
export interface KnownTopic {
  /** Epoch of the source's history to which the revisions belong; absent: 0. */
  readonly epoch?: number;
  readonly revision: number;
  /** Revision of the route table in force, from which a table change must start. Used for the routes topic only. */
  readonly table: number;
}

/**
 * The known revision of each topic, and the revision of the route table in force; -1 if nothing is known, or only an
 * earlier epoch.
 */
export interface KnownRevisions extends Readonly<Record<RoutingTopic, number>> {
  readonly table: number;
  /** Epoch of the source's history to which the revisions belong; absent: 0. */
  readonly epoch?: number;
}

/** Handles a received datagram. */
export type DatagramReceiver = (bytes: Uint8Array, from: Endpoint) => void;

/** Encodes everything that is newer than `known`. */
export type StateProvider = (known: KnownRevisions) => Uint8Array;

/** Carries messages between daemons: datagrams, and the whole state over a connection. */
export interface PeerTransport {
  readonly endpoint: Endpoint;
  /** Sends one datagram; it may be lost. */
  send(to: Endpoint, bytes: Uint8Array): void;
  /** Fetches what the peer knows beyond `known`, encoded by the provider that the peer passed to `serve`. */
  fetch(from: Endpoint, known: KnownRevisions): Promise<Result<Uint8Array, SpreadingError>>;
  /** Registers the handler of datagrams and the provider of the state. */
  serve(receive: DatagramReceiver, provideState: StateProvider): void;
  close(): Promise<void>;
}
