/**
 * Stands between the edge, which is bound first, and the forwarder, which cannot attribute a packet before routes and back
 * ends are known. What comes meanwhile is held, since its caller would repeat it only much later; a SYN only for so long
 * that its caller cannot have sent a further copy, which another balancer may have placed elsewhere (`buffered-syn.ts`).
 */
import type { Clock } from '../../common/clock.js';
import { ALL_MECHANISMS_ON, type MechanismCheck } from '../../common/mechanisms.js';
import type { CookieEdgeHandler, CookiePacket } from '../../fabric/cookie-edge.js';
import type { EdgeDropReason } from '../../fabric/types.js';
import type { EventLog } from '../../observability/event.js';
import type { BoundCookieEdge } from './adapters.js';
import { MAX_HELD_PACKETS } from './constants.js';
import { COOKIE_DAEMON_EVENTS } from './events.js';
import { mayPlaceHeldSyn } from './buffered-syn.js';

/** A packet that waits for the gate to open. */
interface BufferedPacket {
  /** How many times its caller had sent this SYN before; undefined for a packet that is no SYN. */
  readonly synCopy: number | undefined;
  /** Monotonic ms at which it was read; it may have waited in the socket since the binding. */
  readonly readAtMs: number;
  readonly deliver: () => void;
}

/** What a gate asks of its edge. */
type GatedEdge = Pick<BoundCookieEdge, 'keepPacket' | 'boundAtMs'>;

/** What a gate needs. */
interface StartupBufferOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  /** Mechanisms that are on; all unless given. */
  readonly isOn?: MechanismCheck;
}

/** See the module. Call `attach` as soon as the edge is bound, and `open` once. */
export class StartupBuffer implements CookieEdgeHandler {
  private handler: CookieEdgeHandler | undefined;
  private edge: GatedEdge | undefined;
  private boundAtMs = 0;
  private held: BufferedPacket[] = [];
  private tooMany = 0;

  constructor(private readonly options: StartupBufferOptions) {}

  /** True until the gate is opened. */
  get isClosed(): boolean {
    return this.handler === undefined;
  }

  /** Takes the edge that was just bound. */
  attach(edge: GatedEdge): void {
    this.edge = edge;
    this.boundAtMs = edge.boundAtMs;
  }

  /** Lets everything through to `handler`, first what was held and is not too old. */
  open(handler: CookieEdgeHandler): void {
    this.handler = handler;
    const nowMs = this.options.clock.now();
    const young = this.held.filter((packet) => this.isYoung(packet, nowMs));
    const held = this.held.length;
    this.held = [];
    for (const { deliver } of young) deliver();
    if (held === 0) return;
    this.options.events.emit(COOKIE_DAEMON_EVENTS.heldPacketsDelivered, {
      delivered: young.length,
      tooOld: held - young.length,
      tooMany: this.tooMany,
      boundForMs: Math.round(nowMs - this.boundAtMs),
    });
  }

  onPacket(packet: CookiePacket): void {
    if (this.handler) return this.handler.onPacket(packet);
    const { isOn = ALL_MECHANISMS_ON } = this.options;
    if (!this.edge || !isOn('held-packets')) return;
    if (this.held.length >= MAX_HELD_PACKETS) {
      this.tooMany += 1;
      return;
    }
    this.held.push({
      synCopy: packet.syn && !packet.ack ? packet.acknowledgement : undefined,
      readAtMs: this.options.clock.now(),
      deliver: this.edge.keepPacket(),
    });
  }

  onDrop(reason: EdgeDropReason): void {
    this.handler?.onDrop(reason);
  }

  /** No packet is older than the binding of the socket; one that was read later may have waited there for a moment. */
  private isYoung({ synCopy, readAtMs }: BufferedPacket, nowMs: number): boolean {
    if (synCopy === undefined) return true;
    return mayPlaceHeldSyn({
      copy: synCopy,
      boundForMs: nowMs - this.boundAtMs,
      readAgoMs: nowMs - readAtMs,
    });
  }
}
