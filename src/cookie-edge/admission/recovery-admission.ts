/**
 * Paces the callers that come back together after an interruption, by the rule in `deferral-rule.ts`. Owns the time of
 * the last return. Relies on the routing knowledge for the back ends' slots, on forwarding for what is in progress, and
 * on the roster and gossip for the size of the fleet.
 */
import type { Route, RoutingKnowledge } from '../routing/index.js';
import { RECOVERY_MS } from './constants.js';
import { shouldDefer } from './deferral-rule.js';

/** Collaborators. */
interface RecoveryAdmissionOptions {
  readonly knowledge: RoutingKnowledge;
  /** Number of daemons, this one included; undefined while unknown. */
  readonly fleetSize: () => number | undefined;
  /** Openings and requests of this daemon at a service that are not answered yet. */
  readonly inProgressAt: (service: string, nowMs: number) => number;
}

/** A caller that wants to open a flow. */
export interface WaitingCaller {
  /** Time since its first packet, in ms. */
  readonly waitedMs: number;
  /** It sends no further copy, and gives up soon. */
  readonly isLastChance: boolean;
}

/** Admission of one daemon. Times are monotonic ms. */
export class CrowdAdmission {
  private recoveryStartedAtMs: number | undefined;

  constructor(private readonly options: RecoveryAdmissionOptions) {}

  /** Call at the first opening, and whenever openings had to be held for want of back ends. */
  recordReturn(nowMs: number): void {
    this.recoveryStartedAtMs = nowMs;
  }

  /** True while late openings may have to yield. The first opening begins the return after a start. */
  isReturning(nowMs: number): boolean {
    this.recoveryStartedAtMs ??= nowMs;
    return nowMs - this.recoveryStartedAtMs < RECOVERY_MS;
  }

  /** True when an opening of `route` is to be held in favour of others. */
  mustYield({ targets, targetLatencyMs }: Route, caller: WaitingCaller, nowMs: number): boolean {
    if (!this.isReturning(nowMs)) return false;
    const { fleetSize, inProgressAt } = this.options;
    let [slots, inProgress] = [0, 0];
    for (const { service } of targets) {
      slots += this.slotsOf(service);
      inProgress += inProgressAt(service, nowMs);
    }
    const daemonCount = fleetSize();
    return shouldDefer({ isRecovering: true, ...caller, targetLatencyMs, inProgress, slots, daemonCount });
  }

  /** Slots of the back ends that may get flows, those included that are only remembered. */
  private slotsOf(service: string): number {
    let slots = 0;
    for (const { departed, lapsed, record } of this.options.knowledge.backends.ofService(service)) {
      if ((!departed || lapsed) && !record.draining) slots += record.capacity;
    }
    return slots;
  }
}
