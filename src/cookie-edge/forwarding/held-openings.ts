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
import { HOLD_SAFETY_MARGIN_MS, HELD_REEVALUATION_DELAY_MS, MAX_HELD_OPENINGS } from './constants.js';
import type { CookieStatistics } from './cookie-statistics.js';
import { COOKIE_FLOW_EVENTS } from './events.js';
import { formatFlowId } from './flow-id.js';
import { isLastTransmission, sinceFirstSynMs, untilNextTransmissionMs } from './syn-schedule.js';

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
  readonly expiresAtMs: number;
  /** Its caller sends no further copy. */
  readonly isLastTransmission: boolean;
  /** Delivers the packet to the edge's handler again. */
  readonly redeliver: (waitedMs: number) => void;
}

/** How long a copy is held at most, in ms. */
export function maxHoldMs(retransmissionCount: number): number {
  return untilNextTransmissionMs(retransmissionCount) - HOLD_SAFETY_MARGIN_MS;
}

/** The order in which openings are decided again: by urgency, then by the time that the caller has waited. */
function compareByUrgency(left: HeldOpening, right: HeldOpening): number {
  const leftPriority = left.route.priority ?? Number.MAX_SAFE_INTEGER;
  const rightPriority = right.route.priority ?? Number.MAX_SAFE_INTEGER;
  return leftPriority - rightPriority || left.firstSentAtMs - right.firstSentAtMs;
}

/** Openings of one daemon that wait. */
export class HeldOpenings {
  private readonly openingsByFlowId = new Map<string, HeldOpening>();
  private timer: TimerHandle | undefined;
  /** Something changed since the openings without a back end were last decided. */
  private hasBackendListChanged = false;

  constructor(private readonly options: HeldOpeningsOptions) {
    options.settlement.subscribe(() => {
      this.hasBackendListChanged = true;
      this.scheduleReevaluation();
    });
  }

  /** Openings that wait now. */
  get size(): number {
    return this.openingsByFlowId.size;
  }

  /** Holds the packet that is being handled; it replaces an earlier copy of its flow. */
  hold(packet: CookiePacket, cause: HoldCause, { nowMs, waitedMs }: Arrival): void {
    const { statistics, edge } = this.options;
    const flowId = formatFlowId(packet);
    if (this.openingsByFlowId.size >= MAX_HELD_OPENINGS && !this.openingsByFlowId.has(flowId))
      return statistics.countDrop('held-full');
    const { retransmissionCount } = packet;
    const arrivedAtMs = nowMs - waitedMs;
    this.openingsByFlowId.set(flowId, {
      ...cause,
      arrivedAtMs,
      firstSentAtMs: arrivedAtMs - sinceFirstSynMs(retransmissionCount),
      expiresAtMs: arrivedAtMs + maxHoldMs(retransmissionCount),
      isLastTransmission: isLastTransmission(retransmissionCount),
      redeliver: edge.keepPacket(),
    });
    if (waitedMs === 0) statistics.countHeld(cause.reason);
    this.scheduleReevaluation();
  }

  /** Forgets a flow that was decided otherwise. */
  remove(packet: CookiePacket): void {
    if (this.openingsByFlowId.size > 0) this.openingsByFlowId.delete(formatFlowId(packet));
  }

  /** Gives up everything that waits. */
  stop(): void {
    this.timer?.cancel();
    this.openingsByFlowId.clear();
  }

  private scheduleReevaluation(): void {
    if (this.openingsByFlowId.size === 0) return;
    this.timer ??= this.options.clock.schedule(HELD_REEVALUATION_DELAY_MS, () => {
      this.timer = undefined;
      this.reevaluate();
    });
  }

  private reevaluate(): void {
    const nowMs = this.options.clock.now();
    const heldBefore = this.openingsByFlowId.size;
    this.removeExpired(nowMs);
    this.redeliverHeld();
    this.logReleased(heldBefore - this.openingsByFlowId.size);
    this.scheduleReevaluation();
  }

  /** Drops what its caller sends again at any moment. One that only yields has its last chance then. */
  private removeExpired(nowMs: number): void {
    for (const [flowId, opening] of [...this.openingsByFlowId]) {
      if (nowMs < opening.expiresAtMs) continue;
      this.openingsByFlowId.delete(flowId);
      if (opening.reason === 'yields' && opening.isLastTransmission)
        opening.redeliver(nowMs - opening.arrivedAtMs);
      else this.options.statistics.heldTooLong += 1;
    }
  }

  /**
   * Has decided again what may have another outcome by now; what has not is held on. Deciding takes time on a slow
   * machine, so that each is looked at by the clock: one whose time ran out is left to `removeExpired`.
   */
  private redeliverHeld(): void {
    const { hasBackendListChanged } = this;
    this.hasBackendListChanged = false;
    const waiting = [...this.openingsByFlowId].filter(
      ([, { reason }]) => hasBackendListChanged || reason === 'yields',
    );
    const yieldingRoutes = new Set<Route>();
    for (const [flowId, opening] of waiting.sort(([, left], [, right]) => compareByUrgency(left, right))) {
      const nowMs = this.options.clock.now();
      if (yieldingRoutes.has(opening.route) || nowMs >= opening.expiresAtMs) continue;
      this.openingsByFlowId.delete(flowId);
      opening.redeliver(nowMs - opening.arrivedAtMs);
      if (this.openingsByFlowId.get(flowId)?.reason === 'yields') yieldingRoutes.add(opening.route);
    }
  }

  private logReleased(decided: number): void {
    if (decided === 0) return;
    this.options.events.emit(COOKIE_FLOW_EVENTS.openingsReleased, {
      decided,
      stillHeld: this.openingsByFlowId.size,
    });
  }
}
