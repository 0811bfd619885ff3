/**
 * Sends and receives this slice's messages over the control channel, and counts them.
 *
 * Owns nothing but the handler. Relies on the control channel for authenticity, and drops with an event what cannot
 * be decoded.
 */
import type { Endpoint } from '../../common/types.js';
import {
  MAX_CONTROL_PAYLOAD_BYTES,
  type ControlChannel,
  type InboundControlMessage,
} from '../control/types.js';
import type { EventLog } from '../../observability/event.js';
import { DisseminationError } from './errors.js';
import { DISSEMINATION_EVENTS } from './events.js';
import { sailquay } from './pb/dissemination.js';
import type { DisseminationCounters } from './statistics.js';

const { Message } = sailquay.dissemination;
type Body = sailquay.dissemination.IMessage;

/** A peer as the sender of a message. */
export interface Sender {
  readonly id: string;
  readonly endpoint: Endpoint;
}

/** Handles the message bodies; may throw `DisseminationError`. */
type BodyHandler = (body: sailquay.dissemination.Message, sender: Sender) => void;

export class Messenger {
  constructor(
    private readonly channel: ControlChannel,
    private readonly events: EventLog,
    private readonly counters: DisseminationCounters,
  ) {}

  /** Encodes a message; undefined when it does not fit a datagram. */
  encode(body: Body): Uint8Array | undefined {
    const payload = Message.encode(body).finish();
    return payload.length <= MAX_CONTROL_PAYLOAD_BYTES ? payload : undefined;
  }

  /** Sends a message that is known to fit; false when the byte budget holds it back. */
  send(to: Endpoint, body: Body): boolean {
    const payload = this.encode(body);
    return payload !== undefined && this.sendPayload(to, payload);
  }

  sendPayload(to: Endpoint, payload: Uint8Array): boolean {
    const sent = this.channel.send(to, 'dissemination', payload);
    if (!sent) {
      this.counters.sendsDeferred += 1;
      return false;
    }
    this.counters.messagesOut += 1;
    this.counters.bytesOut += payload.length;
    return true;
  }

  /** Free control bytes per second. */
  availableBytesPerSecond(): number {
    return this.channel.availableBytesPerSecond();
  }

  /** Registers the handler; what cannot be decoded is counted and dropped. */
  receive(handler: BodyHandler): void {
    this.channel.handle('dissemination', (message) => {
      this.counters.messagesIn += 1;
      this.counters.bytesIn += message.payload.length;
      this.dispatch(message, handler);
    });
  }

  private dispatch(message: InboundControlMessage, handler: BodyHandler): void {
    const body = this.decode(message);
    if (!body) return;
    try {
      handler(body, { id: message.senderId, endpoint: message.from });
    } catch (error) {
      if (!(error instanceof DisseminationError)) throw error;
      this.dropBadMessage(message.senderId, error.message);
    }
  }

  private decode(message: InboundControlMessage): sailquay.dissemination.Message | undefined {
    try {
      return Message.decode(message.payload);
    } catch (error) {
      this.dropBadMessage(message.senderId, String(error));
      return undefined;
    }
  }

  private dropBadMessage(from: string, detail: string): void {
    this.counters.badMessages += 1;
    this.events.emit(DISSEMINATION_EVENTS.badMessage, { from, detail });
  }
}
