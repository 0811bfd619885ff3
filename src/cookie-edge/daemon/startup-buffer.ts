/**
 * Buffers packets from the binding of the edge until routes and back ends are known, and then delivers them. Applies
 * the rule in `buffered-packets.ts`. Owns the buffered packets; relies on the edge to keep a packet's bytes until it is
 * delivered.
 */
import type { Clock } from '../../common/clock.js';
import { ALL_MECHANISMS_ON, type MechanismCheck } from '../../common/mechanisms.js';
import type { CookieEdgeHandler, CookiePacket } from '../../fabric/cookie-edge.js';
import type { EdgeDropReason } from '../../fabric/types.js';
import type { EventLog } from '../../observability/event.js';
import type { BoundCookieEdge } from './adapters.js';
import { decideOnFlush, decideOnArrival, longestWaitMs } from './buffered-packets.js';
import { COOKIE_DAEMON_EVENTS } from './events.js';

/** A packet that waits for the flush. */
interface BufferedPacket {
  /** Number of times that the caller had sent this SYN before; undefined if the packet is not a SYN. */
  readonly retransmissions: number | undefined;
  /** Monotonic ms at which the packet was read from the socket, where it may have waited since the binding. */
  readonly readAtMs: number;
  /** Passes the packet to `onPacket`; `waitedMs` is an upper bound on its waiting time. */
  readonly deliver: (waitedMs: number) => void;
}

/** The part of an edge that the buffer uses. */
type BufferedEdge = Pick<BoundCookieEdge, 'keepPacket' | 'boundAtMs'>;

interface StartupBufferOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  /** Returns whether a mechanism is switched on; all are on by default. */
  readonly isOn?: MechanismCheck;
}

/** Packet handler of the edge. Call `attach` as soon as the edge is bound, and `flushTo` once. */
export class StartupBuffer implements CookieEdgeHandler {
  private handler: CookieEdgeHandler | undefined;
  private edge: BufferedEdge | undefined;
  private edgeBoundAtMs = 0;
  private bufferedPackets: BufferedPacket[] = [];
  private overflowCount = 0;

  constructor(private readonly options: StartupBufferOptions) {}

  /** True until `flushTo` is called. */
  get isBuffering(): boolean {
    return this.handler === undefined;
  }

  /** Sets the edge. Packets that arrive earlier are dropped. */
  attach(edge: BufferedEdge): void {
    this.edge = edge;
    this.edgeBoundAtMs = edge.boundAtMs;
  }

  /**
   * Delivers to `handler` the buffered packets that are not too old, in order of arrival, and then every new packet.
   */
  flushTo(handler: CookieEdgeHandler): void {
    this.handler = handler;
    const nowMs = this.options.clock.now();
    const boundForMs = nowMs - this.edgeBoundAtMs;
    const deliverable = this.bufferedPackets.filter(
      ({ retransmissions, readAtMs }) =>
        decideOnFlush({ retransmissions, boundForMs, readAgoMs: nowMs - readAtMs }) === 'deliver',
    );
    const bufferedCount = this.bufferedPackets.length;
    this.bufferedPackets = [];
    for (const { deliver, readAtMs } of deliverable) deliver(longestWaitMs(nowMs - readAtMs, boundForMs));
    if (bufferedCount === 0) return;
    this.options.events.emit(COOKIE_DAEMON_EVENTS.heldPacketsDelivered, {
      delivered: deliverable.length,
      tooOld: bufferedCount - deliverable.length,
      tooMany: this.overflowCount,
      boundForMs: Math.round(boundForMs),
    });
  }

  onPacket(packet: CookiePacket, waitedMs = 0): void {
    if (this.handler) return this.handler.onPacket(packet, waitedMs);
    const { isOn = ALL_MECHANISMS_ON } = this.options;
    const { edge } = this;
    const outcome = decideOnArrival({
      isBufferingOn: isOn('held-packets'),
      isAttached: edge !== undefined,
      bufferedCount: this.bufferedPackets.length,
    });
    if (outcome === 'drop-buffer-full') this.overflowCount += 1;
    if (outcome !== 'hold' || !edge) return;
    this.bufferedPackets.push({
      retransmissions: packet.syn && !packet.ack ? packet.retransmissionCount : undefined,
      readAtMs: this.options.clock.now(),
      deliver: edge.keepPacket(),
    });
  }

  onDrop(reason: EdgeDropReason): void {
    this.handler?.onDrop(reason);
  }
}
