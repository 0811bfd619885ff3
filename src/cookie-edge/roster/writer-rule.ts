/**
 * Rule: whether this daemon may write the roster now. Does no input or output; times are ms.
 *
 * Prevents a roster that is wiped by a daemon which does not know the back ends itself, and one that many write. Order:
 * only the leading reader writes, which changes when its calls fail. Its list must be believed, since a list that is
 * being filled lacks back ends that live; and confirmed recently, since a daemon that was paused or cut off would put
 * back what has changed meanwhile. Then the interval between rounds. There is no election: two leaders at once are
 * ordered by the conditions of their writes.
 */
import { ROSTER_WRITE_INTERVAL_MS } from './constants.js';

/** What the rule looks at. */
export interface WriterSituation {
  /** Reader of highest rank, as far as this daemon knows. */
  readonly isLeading: boolean;
  readonly isSettled: boolean;
  /** Age of the last confirmation of the list of back ends. */
  readonly ageMs: number;
  /** Within this age a list counts as current: the bound on how fast a change must be in force. */
  readonly currentWithinMs: number;
  readonly sinceLastRoundMs: number;
}

/** `stand-by`: what is known of the stored pages must not be relied on later. `wait`: for the next round. */
export type WriterOutcome = 'stand-by' | 'wait' | 'write';

/** Decides at each check. */
export function decideWriter(situation: WriterSituation): WriterOutcome {
  const { isLeading, isSettled, ageMs, currentWithinMs, sinceLastRoundMs } = situation;
  if (!isLeading || !isSettled || ageMs >= currentWithinMs) return 'stand-by';
  return sinceLastRoundMs < ROSTER_WRITE_INTERVAL_MS ? 'wait' : 'write';
}
