/**
 * Rule: whether an opening that is already late is deferred in favour of openings that can still be answered in time.
 * Does no input or output; times are ms.
 *
 * Handles the thundering herd after an outage of a second or two of all daemons or all back ends. Callers that arrived
 * during the outage retry together, in addition to the usual callers, and demand several times what the back ends can
 * serve. First come, first served would make all of them late, and back ends would reject openings that exceed their
 * queues, which costs callers some of their few attempts. A caller that has already waited longer than the target
 * latency loses little by waiting some hundred ms more; a new caller would miss its target.
 *
 * Order: no opening is deferred outside of a recovery or on a route without a target latency. A caller that is not late
 * is admitted at once. A late caller is admitted while this daemon's share of the slots is not used up, and always on
 * its last chance, so that it is never held until it gives up. Missing knowledge: without a back end there are no slots
 * to share, and other rules decide; without the size of the fleet the share is one slot.
 */

/** Inputs of the rule for one opening. */
export interface DeferralInputs {
  /** True for `RECOVERY_MS` after this daemon's first opening, and after it held an opening for lack of a back end. */
  readonly isRecovering: boolean;
  /** Time since the caller sent its first packet. */
  readonly waitedMs: number;
  /** Time within which the route's requests should be answered; undefined: no target. */
  readonly targetLatencyMs: number | undefined;
  /** True when the caller sends no further retransmission and gives up soon. */
  readonly isLastChance: boolean;
  /** Openings and requests that this daemon sent to the route's services and that are not answered yet. */
  readonly inProgress: number;
  /** Requests that all back ends of the services can process concurrently. */
  readonly slots: number;
  /** Daemons that share the slots; undefined while unknown. */
  readonly daemonCount: number | undefined;
}

/** True when the opening should be held so that others go first. */
export function shouldDefer(inputs: DeferralInputs): boolean {
  const { isRecovering, waitedMs, targetLatencyMs, isLastChance, inProgress, slots } = inputs;
  if (!isRecovering || targetLatencyMs === undefined || waitedMs < targetLatencyMs) return false;
  if (isLastChance || slots === 0) return false;
  return inProgress >= slotShareOf(inputs);
}

/**
 * Requests that this daemon may have in progress before it defers late openings. Rounded up, because rounding down
 * would leave slots idle.
 */
function slotShareOf({ slots, daemonCount }: DeferralInputs): number {
  return daemonCount === undefined ? 1 : Math.max(1, Math.ceil(slots / daemonCount));
}
