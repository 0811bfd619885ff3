/**
 * Rule: whether an opening that is late already yields to those that can still be answered in time. Does no input or
 * output; times are ms.
 *
 * Load it answers: all daemons, or all back ends, were away for a second or two. Everybody who called meanwhile comes
 * back at once, on top of those who call as usual, and asks for several times what the back ends have room for. Served
 * in the order of arrival, all are late, and back ends turn away what their queues cannot take, which costs callers
 * their few attempts. Those who have waited beyond their target lose little by some hundred ms more; those who call now
 * lose their target.
 *
 * Order: outside of a return, and for a route without a target, nothing yields. A caller that is not late goes at once.
 * A late one goes where this daemon's share of the slots has room, and in any case at its last chance: it is never kept
 * until it gives up. Missing knowledge: without a back end there is no room to share, and the opening is decided by the
 * other rules; without the size of the fleet the share is one.
 */

/** What the rule looks at. */
export interface DeferralInputs {
  /** This daemon, or the back ends of the route, came back less than `RETURN_MS` ago. */
  readonly isRecovering: boolean;
  /** Time since the caller sent its first packet. */
  readonly waitedMs: number;
  /** Time within which the route's requests should be answered; undefined: none. */
  readonly targetLatencyMs: number | undefined;
  /** Its caller sends no further copy, and gives up soon. */
  readonly isLastChance: boolean;
  /** Openings and requests of this daemon at the route's services that are not answered yet. */
  readonly inProgress: number;
  /** Requests that the services work on at once, all back ends together. */
  readonly slots: number;
  /** Daemons that share them; undefined while unknown. */
  readonly daemonCount: number | undefined;
}

/** True when the opening is held in favour of others. */
export function shouldDefer(inputs: DeferralInputs): boolean {
  const { isRecovering, waitedMs, targetLatencyMs, isLastChance, inProgress, slots } = inputs;
  if (!isRecovering || targetLatencyMs === undefined || waitedMs < targetLatencyMs) return false;
  if (isLastChance || slots === 0) return false;
  return inProgress >= slotShareOf(inputs);
}

/** Requests that this daemon may have in progress before late ones yield, rounded up: an idle slot serves nobody. */
function slotShareOf({ slots, daemonCount }: DeferralInputs): number {
  return daemonCount === undefined ? 1 : Math.max(1, Math.ceil(slots / daemonCount));
}
