/**
 * Decides whether this daemon may write the roster now. Does no input or output; times are in ms.
 *
 * Prevents two failures: a daemon with an incomplete list deletes back ends from the roster, and many daemons write the
 * roster at once. Conditions, in order:
 *
 * 1. This daemon is the leading reader. Another daemon becomes the leading reader when the calls of this one fail.
 * 2. Its list of back ends is settled. A list that is still filling lacks live back ends.
 * 3. Its list was confirmed recently. A daemon that was paused or cut off would overwrite newer changes.
 * 4. The minimum interval since the last round of writes has passed.
 *
 * There is no leader election. If two daemons lead at once, the revision checks of the store order their writes.
 */
import { ROSTER_WRITE_INTERVAL_MS } from './constants.js';

/** Inputs of `decideWriter`. */
export interface WriterInputs {
  /** This daemon ranks highest among the readers that it knows. */
  readonly isLeading: boolean;
  /** The list of back ends is considered complete. */
  readonly isSettled: boolean;
  /** Time since the source last confirmed the list of back ends. */
  readonly confirmationAgeMs: number;
  /**
   * A list counts as current while its confirmation is younger than this. Equals the bound within which a change must
   * be in force everywhere.
   */
  readonly maxConfirmationAgeMs: number;
  /** Time since the last round of writes. */
  readonly sinceLastRoundMs: number;
}

/** `stand-by`: do not write, and discard the cached pages. `wait`: too soon after the last round. */
export type WriterOutcome = 'stand-by' | 'wait' | 'write';

/** Decides whether to write; called at each check and before each write. */
export function decideWriter(inputs: WriterInputs): WriterOutcome {
  const { isLeading, isSettled, confirmationAgeMs, maxConfirmationAgeMs, sinceLastRoundMs } = inputs;
  if (!isLeading || !isSettled || confirmationAgeMs >= maxConfirmationAgeMs) return 'stand-by';
  return sinceLastRoundMs < ROSTER_WRITE_INTERVAL_MS ? 'wait' : 'write';
}
