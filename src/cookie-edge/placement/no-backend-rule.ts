/**
 * Rule: what becomes of an opening for which no back end can be chosen. Does no input or output.
 *
 * Prevents that a caller spends one of its few attempts on a reset while the back end that will serve it is about to be
 * listed, and that a caller waits for what will not come.
 *
 * Order: only an unsettled list justifies waiting. A back end that is recorded and excluded (cordoned, full, dead) is
 * known to be impossible, so that its caller is refused at once. So is the caller of a service that is known to be
 * empty. Missing knowledge: without a roster no service is known to be empty.
 */
import type { BackendKnowledge } from '../routing/index.js';

/** `hold`: until a back end is listed, or the caller sends its next copy. `refuse`: with a reset, immediately. */
export type NoBackendOutcome = 'hold' | 'refuse';

/** What is known of the services behind the opening's route. */
export interface NoBackendInputs {
  readonly listState: BackendKnowledge;
  /** Some back end of them is recorded and not leaving. */
  readonly hasServingRecord: boolean;
  /** The roster shows that none is to be expected. */
  readonly isKnownEmpty: boolean;
}

/** Decides on an opening without a candidate. */
export function decideWithoutBackend({
  listState,
  hasServingRecord,
  isKnownEmpty,
}: NoBackendInputs): NoBackendOutcome {
  if (listState === 'settled') return 'refuse';
  return hasServingRecord || isKnownEmpty ? 'refuse' : 'hold';
}
