/**
 * Sends and receives messages between daemons: encodes and decodes them, limits the size of datagrams, and counts. Owns
 * the counters; relies on the transport for the sockets.
 */
import type { Clock } from '../../common/clock.js';
import { formatEndpoint, type Endpoint } from '../../common/types.js';
import type { EventLog } from '../../observability/event.js';
import { MAX_DATAGRAM_BYTES } from './constants.js';
import { SPREADING_EVENTS } from './events.js';
import { decodePeerMessage, encodePeerMessage } from './message-codec.js';
import type { KnownRevisions, PeerMessage, PeerTransport } from './types.js';

interface MessageChannelOptions {
  readonly transport: PeerTransport;
  readonly clock: Clock;
  readonly events: EventLog;
  /** Called with each datagram that arrives, before it is decoded. */
  readonly recordArrival: () => void;
}

/** Counters since start. */
export interface MessageCounts {
  messagesSent: number;
  messagesReceived: number;
  bytesSent: number;
  bytesReceived: number;
  /** Pull requests sent, except the periodic ones to seeds. */
  pulls: number;
  /** Received messages that could not be decoded. */
  malformed: number;
}

/** Message channel of one daemon. Call `serve` once. */
export class MessageChannel {
  readonly counts: MessageCounts = {
    messagesSent: 0,
    messagesReceived: 0,
    bytesSent: 0,
    bytesReceived: 0,
    pulls: 0,
    malformed: 0,
  };

  constructor(private readonly options: MessageChannelOptions) {}

  /** Registers the handler of received messages, and the function that composes the state for fetches of peers. */
  serve(
    receive: (message: PeerMessage, from: Endpoint, nowMs: number) => void,
    composeState: (known: KnownRevisions) => PeerMessage,
  ): void {
    const { transport, clock } = this.options;
    transport.serve(
      (bytes, from) => {
        const nowMs = clock.now();
        const message = this.decode(bytes, from, nowMs);
        if (message) receive(message, from, nowMs);
      },
      (known) => encodePeerMessage(composeState(known), clock.now()),
    );
  }

  /**
   * Sends a message to several peers. Encodes it only once, since encoding takes longer than sending. If the message
   * exceeds a datagram, it is sent without its updates.
   */
  send(to: readonly Endpoint[], message: PeerMessage): void {
    const nowMs = this.options.clock.now();
    let bytes = encodePeerMessage(message, nowMs);
    if (bytes.length > MAX_DATAGRAM_BYTES) bytes = encodePeerMessage({ ...message, updates: [] }, nowMs);
    for (const peer of to) {
      this.counts.messagesSent += 1;
      this.counts.bytesSent += bytes.length;
      this.options.transport.send(peer, bytes);
    }
  }

  private decode(bytes: Uint8Array, from: Endpoint, nowMs: number): PeerMessage | undefined {
    this.options.recordArrival();
    this.counts.messagesReceived += 1;
    this.counts.bytesReceived += bytes.length;
    const message = decodePeerMessage(bytes, nowMs);
    if (message) return message;
    this.counts.malformed += 1;
    this.options.events.emit(SPREADING_EVENTS.malformedMessage, {
      from: formatEndpoint(from),
      bytes: bytes.length,
    });
    return undefined;
  }
}
