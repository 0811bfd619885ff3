/**
 * Rule: whether an opening without a candidate is refused or held. Does no input or output.
 *
 * Prevents two failures: a reset shortly before a back end is listed costs the caller one of its few attempts; and a
 * caller that is held although no back end will be listed waits in vain.
 *
 * Order: the caller is held only while the list of back ends is unsettled. Even then it is refused at once in two
 * cases. First, a back end of its services is recorded and not draining: since it is no candidate, it is excluded for
 * another reason (cordoned, full, dead). Second, the services are known to be empty. Missing knowledge: without a
 * roster, no service is known to be empty.
 */
import type { BackendListState } from '../routing/index.js';

/** `hold`: until a back end is listed or the caller retransmits. `refuse`: immediately, with a reset. */
export type NoBackendOutcome = 'hold' | 'refuse';

/** What this daemon knows of the services of the opening's route. */
export interface NoBackendInputs {
  readonly listState: BackendListState;
  /** True if a back end of the services is recorded and not draining. */
  readonly hasServingRecord: boolean;
  /** True if the roster shows that the services have no back end. */
  readonly isKnownEmpty: boolean;
}

/** Decides about an opening without a candidate. */
export function decideWithoutBackend({
  listState,
  hasServingRecord,
  isKnownEmpty,
}: NoBackendInputs): NoBackendOutcome {
  if (listState === 'settled') return 'refuse';
  return hasServingRecord || isKnownEmpty ? 'refuse' : 'hold';
}
