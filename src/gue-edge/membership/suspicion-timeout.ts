/**
 * Decides how long a suspicion runs before the suspected member is removed.
 *
 * What the rule prevents: that a member is removed on the word of a single member that has lost its own connection,
 * and that a crash seen by several is acted on late. The time grows with the region, because a refutation has to
 * reach everyone, and shrinks with each confirmation by another member (the published Lifeguard extensions of
 * SWIM). The simulation named at `DEFAULT_MEMBERSHIP_TIMING` measured the result: removed by all after 3.5 s in a
 * region of 367 members.
 *
 * Owns nothing; relies on the numbers of accusers and live members, this one included.
 */
import { SUSPICION_CONFIRMATIONS, SUSPICION_MAX_FACTOR, type MembershipTiming } from './constants.js';

/** Times that the rule scales, in ms. */
type SuspicionTiming = Pick<MembershipTiming, 'suspicionMinMs' | 'suspicionPerDecadeMs'>;

/** Shortest and longest time between suspicion and removal in a region of `members`. */
function suspicionBounds(members: number, timing: SuspicionTiming): { minMs: number; maxMs: number } {
  const scaledMs = timing.suspicionPerDecadeMs * Math.log10(Math.max(1, members));
  const minMs = Math.max(timing.suspicionMinMs, scaledMs);
  return { minMs, maxMs: minMs * SUSPICION_MAX_FACTOR };
}

/**
 * Time in ms from the start of a suspicion to removal, with `accusers` accusers in a region of `members`. Infinite
 * accusers stand for a member that watched a suspicion to its end. In a region of two no other member could
 * confirm, and the shortest time holds.
 */
export function suspicionTimeoutMs(accusers: number, members: number, timing: SuspicionTiming): number {
  const { minMs, maxMs } = suspicionBounds(members, timing);
  const confirmationsPossible = Math.min(SUSPICION_CONFIRMATIONS, members - 2);
  if (confirmationsPossible <= 0) return minMs;
  const confirmations = Math.min(accusers - 1, confirmationsPossible);
  const share = Math.log(confirmations + 1) / Math.log(confirmationsPossible + 1);
  return maxMs - (maxMs - minMs) * share;
}
