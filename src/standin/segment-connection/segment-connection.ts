/**
 * A small reliable connection over IPv4/TCP headers: handshake, ordered bytes, cumulative acknowledgements,
 * retransmission, FIN and RST. No congestion or flow control: it serves the stand-ins' load, not the Internet.
 */
import type { Clock, TimerHandle } from '../../common/clock.js';
import { encodeSegment, type Segment } from '../../fabric/index.js';
import {
  DEFAULT_GIVE_UP_MS,
  RECEIVE_WINDOW_BYTES,
  RETRANSMIT_INITIAL_MS,
  RETRANSMIT_LIMIT_MS,
} from './constants.js';
import { ReceiveBuffer } from './receive-buffer.js';
import { SendQueue, type QueuedSegment } from './send-queue.js';
import { advanceSequence, sequenceDistance } from './sequence.js';

/** Inner address of one end: IPv4 as an unsigned 32-bit integer and port. */
export interface SegmentAddress {
  readonly address: number;
  readonly port: number;
}

/** opening: SYN sent or answered. open: both ends agreed. closing: a FIN was sent. closed: over, well or not. */
type ConnectionState = 'opening' | 'open' | 'closing' | 'closed';

/** How a connection ended other than by both FINs. */
export type ConnectionFailure = 'refused' | 'open-timeout' | 'reset' | 'give-up';

/** What an owner is told. After `onFailed` or `onClosed` nothing follows. */
export interface ConnectionListener {
  onOpen?(): void;
  onData(bytes: Buffer): void;
  /** The peer sent its FIN; it sends no more bytes. */
  onPeerClosed?(): void;
  onClosed?(): void;
  onFailed?(failure: ConnectionFailure): void;
}

interface ConnectionOptions {
  readonly local: SegmentAddress;
  readonly remote: SegmentAddress;
  readonly clock: Clock;
  /** First sequence number of this end, unsigned 32-bit. */
  readonly initialSequence: number;
  /** Time without any acknowledgement after which the connection fails. */
  readonly giveUpMs?: number;
  /** Sends a built IPv4 packet. */
  readonly transmit: (packet: Buffer) => void;
  readonly listener: ConnectionListener;
}

const EMPTY = Buffer.alloc(0);

/** One end of a connection. The owner passes each of its segments to `receive`. */
export class SegmentConnection {
  private readonly queue: SendQueue;
  private received: ReceiveBuffer | undefined;
  private currentState: ConnectionState = 'opening';
  private peerInitial = 0;
  private peerClosed = false;
  private timer: TimerHandle | undefined;
  private retransmitMs = RETRANSMIT_INITIAL_MS;
  private waitingSinceMs: number | undefined;
  /** End of what was in flight at the last timeout; undefined once all of that is acknowledged. */
  private recoverUntil: number | undefined;

  private constructor(private readonly options: ConnectionOptions) {
    this.queue = new SendQueue(options.initialSequence);
    this.queue.addSyn();
  }

  /** Opens actively: sends the SYN. */
  static open(options: ConnectionOptions): SegmentConnection {
    const connection = new SegmentConnection(options);
    connection.sendWaiting();
    return connection;
  }

  /** Answers a SYN with the SYN-ACK. */
  static accept(options: ConnectionOptions, syn: Segment): SegmentConnection {
    const connection = new SegmentConnection(options);
    connection.peerInitial = syn.sequence;
    connection.received = new ReceiveBuffer(advanceSequence(syn.sequence, 1));
    connection.sendWaiting();
    return connection;
  }

  get state(): ConnectionState {
    return this.currentState;
  }

  /** Queues bytes; they are sent at once when there is room. Ignored once closing. */
  write(data: Buffer): void {
    if (this.currentState === 'closing' || this.currentState === 'closed') return;
    this.queue.addData(data);
    if (this.currentState === 'open') this.sendWaiting();
  }

  /** Ends this end's stream after what was written. */
  close(): void {
    if (this.currentState === 'closing' || this.currentState === 'closed') return;
    this.queue.addFin();
    if (this.currentState === 'open') this.sendWaiting();
    this.currentState = 'closing';
  }

  /** Sends an empty segment: a peer that has lost the connection answers with a reset. */
  probe(): void {
    if (this.currentState !== 'closed' && this.received) this.acknowledge();
  }

  /** Ends at once with a reset. */
  abort(): void {
    if (this.currentState === 'closed') return;
    this.resetFrom(this.queue.sentUntil);
    this.finish();
  }

  /** Forgets the connection without telling the peer, as a crash does. */
  discard(): void {
    this.finish();
  }

  receive(segment: Segment): void {
    if (this.currentState === 'closed') this.answerLateSegment(segment);
    else if (segment.rst) this.receiveReset(segment);
    else if (!this.received) this.receiveSynAnswer(segment);
    else if (segment.syn) this.receiveRepeatedSyn(segment);
    else this.receiveOpen(segment, this.received);
  }

  private receiveReset(segment: Segment): void {
    if (!this.received) {
      const answersSyn = segment.ack && segment.acknowledgement === this.queue.sentUntil;
      if (answersSyn) this.fail('refused');
      return;
    }
    const ahead = sequenceDistance(this.received.next, segment.sequence);
    if (ahead >= 0 && ahead <= RECEIVE_WINDOW_BYTES) this.fail('reset');
  }

  private receiveSynAnswer(segment: Segment): void {
    const answersSyn = segment.syn && segment.ack && segment.acknowledgement === this.queue.sentUntil;
    if (!answersSyn) return;
    this.peerInitial = segment.sequence;
    this.received = new ReceiveBuffer(advanceSequence(segment.sequence, 1));
    this.takeAcknowledgement(segment);
    this.acknowledge();
    this.becomeOpen();
  }

  private receiveRepeatedSyn(segment: Segment): void {
    const synAnswer = this.queue.oldest;
    const repeated = segment.sequence === this.peerInitial && !segment.ack;
    if (repeated && synAnswer?.syn) this.transmitSegment(synAnswer);
    else this.acknowledge();
  }

  private receiveOpen(segment: Segment, received: ReceiveBuffer): void {
    if (this.answersAnotherOpening(segment)) {
      this.resetFrom(segment.acknowledgement);
      return;
    }
    this.takeAcknowledgement(segment);
    if (this.currentState === 'opening' && !this.queue.oldest?.syn) this.becomeOpen();
    const inOrder = received.take(segment.sequence, segment.payload);
    if (segment.fin) received.takeEnd(advanceSequence(segment.sequence, segment.payload.length));
    const ended = received.reachedEnd();
    if (segment.payload.length > 0 || segment.fin) this.acknowledge();
    for (const bytes of inOrder) this.options.listener.onData(bytes);
    if (ended) this.receiveEnd();
    this.closeWhenDone();
  }

  /** The peer acknowledges the SYN-ACK of a connection that this end has lost since. */
  private answersAnotherOpening(segment: Segment): boolean {
    const { oldest, sentUntil } = this.queue;
    return oldest?.syn === true && segment.ack && segment.acknowledgement !== sentUntil;
  }

  private receiveEnd(): void {
    this.peerClosed = true;
    this.options.listener.onPeerClosed?.();
  }

  private answerLateSegment(segment: Segment): void {
    if (this.received && segment.fin) this.acknowledge();
  }

  private becomeOpen(): void {
    if (this.currentState === 'opening') this.currentState = 'open';
    this.sendWaiting();
    this.options.listener.onOpen?.();
  }

  private takeAcknowledgement(segment: Segment): void {
    if (!segment.ack || !this.queue.acknowledge(segment.acknowledgement)) return;
    this.retransmitMs = RETRANSMIT_INITIAL_MS;
    this.waitingSinceMs = undefined;
    this.timer?.cancel();
    this.timer = undefined;
    this.resendNextLost();
    this.sendWaiting();
  }

  /**
   * During recovery, an acknowledgement that stops short of `recoverUntil` shows the next lost segment: it is sent
   * again at once (a partial acknowledgement, RFC 6582). Were each lost segment to wait for a timeout of its own, a
   * connection that writes steadily would never catch up after a burst of losses.
   */
  private resendNextLost(): void {
    const { oldest } = this.queue;
    if (this.recoverUntil === undefined) return;
    if (oldest && sequenceDistance(oldest.sequence, this.recoverUntil) > 0) this.transmitSegment(oldest);
    else this.recoverUntil = undefined;
  }

  private closeWhenDone(): void {
    if (this.currentState !== 'closing' || !this.peerClosed || !this.queue.empty) return;
    this.finish();
    this.options.listener.onClosed?.();
  }

  private sendWaiting(): void {
    for (const segment of this.queue.takeSendable()) this.transmitSegment(segment);
    this.armTimer();
  }

  private armTimer(): void {
    if (this.timer || !this.queue.oldest) return;
    this.waitingSinceMs ??= this.options.clock.now();
    this.timer = this.options.clock.schedule(this.retransmitMs, () => this.retransmit());
  }

  private retransmit(): void {
    this.timer = undefined;
    const oldest = this.queue.oldest;
    if (!oldest || this.currentState === 'closed') return;
    const waitedMs = this.options.clock.now() - (this.waitingSinceMs ?? 0);
    if (waitedMs >= (this.options.giveUpMs ?? DEFAULT_GIVE_UP_MS)) {
      this.fail(this.received ? 'give-up' : 'open-timeout');
      return;
    }
    this.retransmitMs = Math.min(this.retransmitMs * 2, RETRANSMIT_LIMIT_MS);
    this.recoverUntil ??= this.queue.sentUntil;
    this.transmitSegment(oldest);
    this.armTimer();
  }

  private fail(failure: ConnectionFailure): void {
    this.finish();
    this.options.listener.onFailed?.(failure);
  }

  private finish(): void {
    this.currentState = 'closed';
    this.timer?.cancel();
    this.timer = undefined;
  }

  private resetFrom(sequence: number): void {
    this.transmitSegment({ sequence, payload: EMPTY, syn: false, fin: false }, true);
  }

  private acknowledge(): void {
    this.transmitSegment({ sequence: this.queue.sentUntil, payload: EMPTY, syn: false, fin: false });
  }

  private transmitSegment(segment: QueuedSegment, rst = false): void {
    const { local, remote, transmit } = this.options;
    transmit(
      encodeSegment({
        ...segment,
        sourceAddress: local.address,
        sourcePort: local.port,
        destinationAddress: remote.address,
        destinationPort: remote.port,
        rst,
        ack: this.received !== undefined,
        acknowledgement: this.received?.next ?? 0,
      }),
    );
  }
}
