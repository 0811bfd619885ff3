/**
 * Paces the callers that reconnect together after an interruption, by the rule in `deferral-rule.ts`. Owns the time at
 * which the last recovery began. Relies on the routing knowledge for the back ends' slots, on forwarding for the
 * openings and requests in progress, and on the roster and gossip for the size of the fleet.
 */
import type { Route, RoutingKnowledge } from '../routing/index.js';
import { RECOVERY_MS } from './constants.js';
import { shouldDefer } from './deferral-rule.js';

/** Sources of the rule's inputs. */
interface RecoveryAdmissionOptions {
  readonly knowledge: RoutingKnowledge;
  /** Number of daemons, this one included; undefined while unknown. */
  readonly fleetSize: () => number | undefined;
  /** Openings and requests that this daemon sent to a service and that are not answered yet. */
  readonly inProgressAt: (service: string, nowMs: number) => number;
}

/** A caller that wants to open a flow. */
export interface WaitingCaller {
  /** Time since its first packet, in ms. */
  readonly waitedMs: number;
  /** True when it sends no further retransmission and gives up soon. */
  readonly isLastChance: boolean;
}

/** Admission of openings by one daemon. Times are monotonic ms. */
export class RecoveryAdmission {
  private recoveryStartedAtMs: number | undefined;

  constructor(private readonly options: RecoveryAdmissionOptions) {}

  /** Starts a recovery. The caller calls this whenever it holds an opening because no back end is listed. */
  startRecovery(nowMs: number): void {
    this.recoveryStartedAtMs = nowMs;
  }

  /**
   * True during a recovery, while late openings may be deferred. The first call starts one, so that the first opening
   * after the start of the daemon begins a recovery.
   */
  isRecovering(nowMs: number): boolean {
    this.recoveryStartedAtMs ??= nowMs;
    return nowMs - this.recoveryStartedAtMs < RECOVERY_MS;
  }

  /** True when the caller of this method should hold an opening of `route` so that others go first. */
  shouldDefer({ targets, targetLatencyMs }: Route, caller: WaitingCaller, nowMs: number): boolean {
    if (!this.isRecovering(nowMs)) return false;
    const { fleetSize, inProgressAt } = this.options;
    let [slots, inProgress] = [0, 0];
    for (const { service } of targets) {
      slots += this.slotsOf(service);
      inProgress += inProgressAt(service, nowMs);
    }
    const daemonCount = fleetSize();
    return shouldDefer({ isRecovering: true, ...caller, targetLatencyMs, inProgress, slots, daemonCount });
  }

  /** Slots of the back ends that may get flows, including back ends whose records may only have lapsed. */
  private slotsOf(service: string): number {
    let slots = 0;
    for (const { departed, lapsed, record } of this.options.knowledge.backends.ofService(service)) {
      if ((!departed || lapsed) && !record.draining) slots += record.capacity;
    }
    return slots;
  }
}
