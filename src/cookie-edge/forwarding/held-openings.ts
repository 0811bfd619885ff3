/**
 * Holds openings that no back end can serve yet, or that are deferred in favor of other openings, and re-evaluates them
 * later. `placement/no-backend-rule.ts` and `admission/deferral-rule.ts` decide which openings are held. The edge keeps
 * the packets and delivers them again.
 *
 * Handles the load after all daemons were lost, perhaps in an outage in which records lapsed. Hundreds of callers then
 * wait while back ends are listed one by one, or until their deferred openings are admitted. Openings are re-evaluated
 * in order of route priority, then of how long the caller has waited. An opening is held at most until its caller sends
 * the next SYN, which replaces it, or gives up.
 */
import type { Clock, TimerHandle } from '../../common/clock.js';
import type { CookieEdgePort, CookiePacket } from '../../fabric/cookie-edge.js';
import type { EventLog } from '../../observability/event.js';
import type { FlowAddresses } from '../opening-lookup/index.js';
import type { BackendSettlement, Route } from '../routing/index.js';
import { HOLD_SAFETY_MARGIN_MS, HELD_REEVALUATION_DELAY_MS, MAX_HELD_OPENINGS } from './constants.js';
import type { CookieStatistics } from './cookie-statistics.js';
import { COOKIE_FLOW_EVENTS } from './events.js';
import { formatFlowId } from './flow-id.js';
import { isLastTransmission, sinceFirstSynMs, untilNextTransmissionMs } from './syn-schedule.js';

/** Dependencies of `HeldOpenings`. */
interface HeldOpeningsOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly edge: Pick<CookieEdgePort, 'keepPacket'>;
  readonly statistics: CookieStatistics;
  readonly settlement: Pick<BackendSettlement, 'subscribe'>;
}

/** Times of a packet's arrival. */
export interface Arrival {
  /** Current time in monotonic ms. */
  readonly nowMs: number;
  /** Time since the packet arrived, in ms. */
  readonly waitedMs: number;
}

/** Why an opening is held: no back end can serve it yet, or it is deferred in favor of others (`yields`). */
interface HoldCause {
  readonly route: Route;
  readonly reason: 'no-backend' | 'yields';
}

/** A held opening. Times are monotonic ms. */
interface HeldOpening extends HoldCause {
  readonly arrivedAtMs: number;
  /** Time at which the caller sent its first SYN. */
  readonly firstSentAtMs: number;
  /** Time at which the opening is discarded. */
  readonly expiresAtMs: number;
  /** True if the caller sends no further SYN in this attempt. */
  readonly isLastTransmission: boolean;
  /** Delivers the packet to the edge's handler again. */
  readonly redeliver: (waitedMs: number) => void;
}

/** Returns how long a SYN with this retransmission count may be held, in ms. */
export function maxHoldMs(retransmissionCount: number): number {
  return untilNextTransmissionMs(retransmissionCount) - HOLD_SAFETY_MARGIN_MS;
}

/** Orders openings for re-evaluation: by route priority, then by how long the caller has waited. */
function compareByUrgency(left: HeldOpening, right: HeldOpening): number {
  const leftPriority = left.route.priority ?? Number.MAX_SAFE_INTEGER;
  const rightPriority = right.route.priority ?? Number.MAX_SAFE_INTEGER;
  return leftPriority - rightPriority || left.firstSentAtMs - right.firstSentAtMs;
}

/** Held openings of one daemon. */
export class HeldOpenings {
  private readonly openingsByFlowId = new Map<string, HeldOpening>();
  private timer: TimerHandle | undefined;
  /** True if the list of back ends has changed since openings without a back end were last re-evaluated. */
  private hasBackendListChanged = false;

  constructor(private readonly options: HeldOpeningsOptions) {
    options.settlement.subscribe(() => {
      this.hasBackendListChanged = true;
      this.scheduleReevaluation();
    });
  }

  /** Number of openings held now. */
  get size(): number {
    return this.openingsByFlowId.size;
  }

  /** Holds the packet being handled. It replaces an earlier SYN of the same flow. */
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

  /** Stops holding the opening of a flow that has been decided. */
  remove(packet: FlowAddresses): void {
    if (this.openingsByFlowId.size > 0) this.openingsByFlowId.delete(formatFlowId(packet));
  }

  /** Discards all held openings. */
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
    this.logDecided(heldBefore - this.openingsByFlowId.size);
    this.scheduleReevaluation();
  }

  /**
   * Removes openings whose callers are about to retransmit or give up. A deferred one is delivered a last time if its
   * caller sends no further SYN.
   */
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
   * Redelivers the openings whose outcome may have changed; the handler holds them again if it has not. Decisions take
   * time on a slow machine, so the clock is read for each opening; `removeExpired` handles those that expire meanwhile.
   */
  private redeliverHeld(): void {
    const { hasBackendListChanged } = this;
    this.hasBackendListChanged = false;
    const waiting = [...this.openingsByFlowId].filter(
      ([, { reason }]) => hasBackendListChanged || reason === 'yields',
    );
    const routesStillDeferred = new Set<Route>();
    for (const [flowId, opening] of waiting.sort(([, left], [, right]) => compareByUrgency(left, right))) {
      const nowMs = this.options.clock.now();
      if (routesStillDeferred.has(opening.route) || nowMs >= opening.expiresAtMs) continue;
      this.openingsByFlowId.delete(flowId);
      opening.redeliver(nowMs - opening.arrivedAtMs);
      if (this.openingsByFlowId.get(flowId)?.reason === 'yields') routesStillDeferred.add(opening.route);
    }
  }

  private logDecided(decided: number): void {
    if (decided === 0) return;
    this.options.events.emit(COOKIE_FLOW_EVENTS.openingsReleased, {
      decided,
      stillHeld: this.openingsByFlowId.size,
    });
  }
}
