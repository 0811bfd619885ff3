/**
 * Holds openings that no back end can serve yet, and has them decided again when one may. Owns what is held and the
 * order among it; `placement/no-backend-rule.ts` decides which opening is held. Relies on the edge to keep the packets
 * and to deliver them again.
 *
 * Load it answers: all daemons were lost in an outage in which records lapsed; for about two seconds hundreds of
 * callers wait for back ends that are listed one after the other. The most urgent come first, and among equals those
 * that have least time left. None is kept beyond the time at which its caller sends the next copy, which replaces it,
 * or gives up.
 */
import type { Clock, TimerHandle } from '../../common/clock.js';
import type { CookieEdgePort, CookiePacket } from '../../fabric/cookie-edge.js';
import type { EventLog } from '../../observability/event.js';
import type { BackendSettlement, Route } from '../routing/index.js';
import { HELD_MARGIN_MS, HELD_RELEASE_MS, MAX_HELD_OPENINGS } from './constants.js';
import type { CookieStatistics } from './cookie-statistics.js';
import { COOKIE_FLOW_EVENTS } from './events.js';
import { formatFlowId } from './flow-id.js';
import { untilNextTransmissionMs } from './syn-schedule.js';

/** Collaborators. */
interface HeldOpeningsOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly edge: Pick<CookieEdgePort, 'keepPacket'>;
  readonly statistics: CookieStatistics;
  readonly settlement: Pick<BackendSettlement, 'subscribe'>;
}

/** When a packet is handled. */
export interface Arrival {
  /** Monotonic ms. */
  readonly nowMs: number;
  /** How long the packet has waited since it arrived, in ms. */
  readonly waitedMs: number;
}

/** An opening that waits. Times are monotonic ms. */
interface HeldOpening {
  readonly arrivedAtMs: number;
  /** It is given up then. */
  readonly untilMs: number;
  /** Of its route: 0 is the most urgent; undefined: the least. */
  readonly priority: number | undefined;
  /** Delivers the packet to the edge's handler again. */
  readonly deliver: (waitedMs: number) => void;
}

/** The order in which openings are decided again: by urgency, then by the time left. */
function compareHeld(left: HeldOpening, right: HeldOpening): number {
  const leftPriority = left.priority ?? Number.MAX_SAFE_INTEGER;
  const rightPriority = right.priority ?? Number.MAX_SAFE_INTEGER;
  return leftPriority - rightPriority || left.untilMs - right.untilMs;
}

/** Openings of one daemon that wait. */
export class HeldOpenings {
  private readonly byFlow = new Map<string, HeldOpening>();
  private timer: TimerHandle | undefined;
  /** Something changed since the openings were last decided. */
  private hasNews = false;

  constructor(private readonly options: HeldOpeningsOptions) {
    options.settlement.subscribe(() => {
      this.hasNews = true;
      this.checkSoon();
    });
  }

  /** Openings that wait now. */
  get size(): number {
    return this.byFlow.size;
  }

  /** Holds the packet that is being handled; it replaces an earlier copy of its flow. */
  hold(packet: CookiePacket, { priority }: Route, { nowMs, waitedMs }: Arrival): void {
    const flow = formatFlowId(packet);
    if (this.byFlow.size >= MAX_HELD_OPENINGS && !this.byFlow.has(flow)) {
      return this.options.statistics.countDrop('held-full');
    }
    const arrivedAtMs = nowMs - waitedMs;
    const untilMs = arrivedAtMs + untilNextTransmissionMs(packet.retransmissionCount) - HELD_MARGIN_MS;
    const deliver = this.options.edge.keepPacket();
    this.byFlow.set(flow, { arrivedAtMs, untilMs, priority, deliver });
    if (waitedMs === 0) this.options.statistics.held += 1;
    this.checkSoon();
  }

  /** Forgets a flow that was decided otherwise. */
  forget(packet: CookiePacket): void {
    if (this.byFlow.size > 0) this.byFlow.delete(formatFlowId(packet));
  }

  /** Gives up everything that waits. */
  stop(): void {
    this.timer?.cancel();
    this.byFlow.clear();
  }

  private checkSoon(): void {
    if (this.byFlow.size === 0) return;
    this.timer ??= this.options.clock.schedule(HELD_RELEASE_MS, () => {
      this.timer = undefined;
      this.check();
    });
  }

  private check(): void {
    const nowMs = this.options.clock.now();
    this.giveUp(nowMs);
    if (this.hasNews) this.decideAgain(nowMs);
    this.checkSoon();
  }

  /** Drops what its caller sends again at any moment. */
  private giveUp(nowMs: number): void {
    for (const [flow, { untilMs }] of this.byFlow) {
      if (nowMs < untilMs) continue;
      this.byFlow.delete(flow);
      this.options.statistics.heldTooLong += 1;
    }
  }

  /** Has everything that waits decided again; what still cannot be served is held on. */
  private decideAgain(nowMs: number): void {
    this.hasNews = false;
    const waiting = [...this.byFlow.values()].sort(compareHeld);
    this.byFlow.clear();
    for (const { deliver, arrivedAtMs } of waiting) deliver(nowMs - arrivedAtMs);
    const decided = waiting.length - this.byFlow.size;
    if (decided === 0) return;
    this.options.events.emit(COOKIE_FLOW_EVENTS.openingsReleased, {
      decided,
      stillHeld: this.byFlow.size,
      longestMs: Math.round(Math.max(...waiting.map(({ arrivedAtMs }) => nowMs - arrivedAtMs))),
    });
  }
}
