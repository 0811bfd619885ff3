/**
 * Holds openings that no back end can serve yet, or that yield to others, and has them decided again. Owns what is held
 * and the order among it; `placement/no-backend-rule.ts` and `admission/yield-rule.ts` decide which opening is held.
 * Relies on the edge to keep the packets and to deliver them again.
 *
 * Load it answers: all daemons were lost, perhaps in an outage in which records lapsed; hundreds of callers wait for
 * back ends that are listed one after the other, or for their turn. The most urgent come first, and among equals those
 * that have waited longest. None is kept beyond the time at which its caller sends the next copy, which replaces it, or
 * gives up.
 */
import type { Clock, TimerHandle } from '../../common/clock.js';
import type { CookieEdgePort, CookiePacket } from '../../fabric/cookie-edge.js';
import type { EventLog } from '../../observability/event.js';
import type { BackendSettlement, Route } from '../routing/index.js';
import { HELD_MARGIN_MS, HELD_RELEASE_MS, MAX_HELD_OPENINGS } from './constants.js';
import type { CookieStatistics } from './cookie-statistics.js';
import { COOKIE_FLOW_EVENTS } from './events.js';
import { formatFlowId } from './flow-id.js';
import { isLastCopy, sentAfterMs, untilNextTransmissionMs } from './syn-schedule.js';

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

/** Why an opening is held: no back end can serve it yet, or it yields to others. */
interface HoldCause {
  readonly route: Route;
  readonly reason: 'no-backend' | 'yields';
}

/** An opening that waits. Times are monotonic ms. */
interface HeldOpening extends HoldCause {
  readonly arrivedAtMs: number;
  /** When its caller sent its first SYN. */
  readonly firstSentAtMs: number;
  /** It is given up then. */
  readonly untilMs: number;
  /** Its caller sends no further copy. */
  readonly isLastCopy: boolean;
  /** Delivers the packet to the edge's handler again. */
  readonly deliver: (waitedMs: number) => void;
}

/** How long a copy is held at most, in ms. */
export function longestHoldMs(retransmissions: number): number {
  return untilNextTransmissionMs(retransmissions) - HELD_MARGIN_MS;
}

/** The order in which openings are decided again: by urgency, then by the time that the caller has waited. */
function compareHeld(left: HeldOpening, right: HeldOpening): number {
  const leftPriority = left.route.priority ?? Number.MAX_SAFE_INTEGER;
  const rightPriority = right.route.priority ?? Number.MAX_SAFE_INTEGER;
  return leftPriority - rightPriority || left.firstSentAtMs - right.firstSentAtMs;
}

/** Openings of one daemon that wait. */
export class HeldOpenings {
  private readonly byFlow = new Map<string, HeldOpening>();
  private timer: TimerHandle | undefined;
  /** Something changed since the openings without a back end were last decided. */
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
  hold(packet: CookiePacket, cause: HoldCause, { nowMs, waitedMs }: Arrival): void {
    const { statistics, edge } = this.options;
    const flow = formatFlowId(packet);
    if (this.byFlow.size >= MAX_HELD_OPENINGS && !this.byFlow.has(flow))
      return statistics.countDrop('held-full');
    const { retransmissionCount: copy } = packet;
    const arrivedAtMs = nowMs - waitedMs;
    this.byFlow.set(flow, {
      ...cause,
      arrivedAtMs,
      firstSentAtMs: arrivedAtMs - sentAfterMs(copy),
      untilMs: arrivedAtMs + longestHoldMs(copy),
      isLastCopy: isLastCopy(copy),
      deliver: edge.keepPacket(),
    });
    if (waitedMs === 0) statistics.countHeld(cause.reason);
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
    const waitingBefore = this.byFlow.size;
    this.endHolds(nowMs);
    this.decideAgain();
    this.logDecided(waitingBefore - this.byFlow.size);
    this.checkSoon();
  }

  /** Drops what its caller sends again at any moment. One that only yields has its last chance then. */
  private endHolds(nowMs: number): void {
    for (const [flow, opening] of [...this.byFlow]) {
      if (nowMs < opening.untilMs) continue;
      this.byFlow.delete(flow);
      if (opening.reason === 'yields' && opening.isLastCopy) opening.deliver(nowMs - opening.arrivedAtMs);
      else this.options.statistics.heldTooLong += 1;
    }
  }

  /**
   * Has decided again what may have another outcome by now; what has not is held on. Deciding takes time on a slow
   * machine, so that each is looked at by the clock: one whose time ran out is left to `endHolds`.
   */
  private decideAgain(): void {
    const { hasNews } = this;
    this.hasNews = false;
    const waiting = [...this.byFlow].filter(([, { reason }]) => hasNews || reason === 'yields');
    const routesWithoutRoom = new Set<Route>();
    for (const [flow, opening] of waiting.sort(([, left], [, right]) => compareHeld(left, right))) {
      const nowMs = this.options.clock.now();
      if (routesWithoutRoom.has(opening.route) || nowMs >= opening.untilMs) continue;
      this.byFlow.delete(flow);
      opening.deliver(nowMs - opening.arrivedAtMs);
      if (this.byFlow.get(flow)?.reason === 'yields') routesWithoutRoom.add(opening.route);
    }
  }

  private logDecided(decided: number): void {
    if (decided === 0) return;
    this.options.events.emit(COOKIE_FLOW_EVENTS.openingsReleased, { decided, stillHeld: this.byFlow.size });
  }
}
