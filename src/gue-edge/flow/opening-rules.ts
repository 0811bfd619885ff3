/**
 * Rules of an opening in a shard that is kept here: whether it is admitted, on which choice it may be placed,
 * whether its back end must be recorded first, and whether it is tried on another back end after a reset.
 *
 * They prevent one flow on two back ends: a flow whose back end is not the first choice of the base is found again
 * after the keeper failed only when the backup has its record, so its SYN waits for the acknowledgement of that
 * record.
 *
 * No input or output. Steps that spend something (tokens of a limit, a count of the load balance) are given as
 * functions and come after every condition that costs nothing. What is not known counts against the opening, which
 * is then deferred: dropped without an answer, so that the caller's retransmission is judged anew.
 */
import type { EffectiveBackend } from '../../settings/types.js';
import type { PlacementDecision } from '../placement/types.js';
import { RecordStatus } from './record-codec.js';
import type { RefusalCause } from './types.js';

/** What becomes of an opening that is not in the table. */
type OpeningVerdict =
  | { readonly outcome: 'place'; readonly backend: EffectiveBackend }
  | { readonly outcome: 'refuse'; readonly cause: RefusalCause }
  | { readonly outcome: 'defer' };

const DEFER = { outcome: 'defer' } as const;

/** What an opening is judged by. */
interface OpeningInput {
  /** A service stands behind the address now. */
  readonly served: boolean;
  /** No other balancer can open flows of the shard now. */
  readonly mayOpen: () => boolean;
  /** Openings without an answer, and how many there may be. */
  readonly unanswered: number;
  readonly maxUnanswered: number;
  /** Limits on flows and openings; takes tokens when it admits. */
  readonly refusal: () => RefusalCause | undefined;
  readonly choose: () => PlacementDecision | 'deferred';
}

/**
 * Judges an opening. Order: an address without a service is refused at any keeper; a shard that is not surely
 * kept, or too many unanswered openings, defer before any limit takes a token; the choice comes last because it counts.
 */
export function judgeOpening(input: OpeningInput): OpeningVerdict {
  if (!input.served) return { outcome: 'refuse', cause: 'no-service' };
  if (!input.mayOpen() || input.unanswered >= input.maxUnanswered) return DEFER;
  const cause = input.refusal();
  if (cause) return { outcome: 'refuse', cause };
  const choice = input.choose();
  if (choice === 'deferred') return DEFER;
  if (choice.outcome === 'refuse') return { outcome: 'refuse', cause: choice.reason };
  return { outcome: 'place', backend: choice.backend };
}

/** What a choice of the back end is made with. */
interface ChoiceInput {
  /** An exception can be made safe now: no backup is needed, or it has all records and its lease is held. */
  readonly canReplicate: boolean;
  /** Control bytes run short, so exceptions are made only where they are needed. */
  readonly isBudgetShort: () => boolean;
  readonly choose: (exceptionsAllowed: boolean) => PlacementDecision;
}

/**
 * Chooses a back end. Exceptions for the sake of balance need control bytes to spare. Without them the first choice is
 * taken; where that is not eligible an exception is made all the same, or deferred while it cannot be replicated.
 */
export function chooseBackend(input: ChoiceInput): PlacementDecision | 'deferred' {
  const generous = input.canReplicate && !input.isBudgetShort();
  const decision = input.choose(generous);
  if (decision.outcome === 'place' || generous) return decision;
  return input.canReplicate ? input.choose(true) : 'deferred';
}

/** What must happen before the SYN goes to its back end. */
type RecordNeed =
  /** Nothing: every balancer can reconstruct the first choice, or there is no backup. */
  | 'none'
  /** The backup must acknowledge the record first. */
  | 'replicate'
  /** A record is needed and cannot be replicated now: the opening is deferred. */
  | 'impossible';

/** What the need of a record is judged by. */
interface RecordInput {
  /** The back end is not the first choice in every base under which the flow may be looked for. */
  readonly exception: boolean;
  /** An earlier flow with this fingerprint had a record, which the backup may still hold. */
  readonly hadRecord: boolean;
  readonly hasBackup: boolean;
  readonly canReplicate: () => boolean;
}

/** Judges whether the backup must have a record first; also a first choice needs one to replace an older record. */
export function judgeRecord(input: RecordInput): RecordNeed {
  if (!input.hasBackup || (!input.exception && !input.hadRecord)) return 'none';
  return input.canReplicate() ? 'replicate' : 'impossible';
}

/** What becomes of an opening whose record the backup has answered. */
type ReplicationVerdict = 'send' | 'abandon' | 'ignore';

/** What the backup's answer is judged by. */
interface ReplicationInput {
  /** The shard is still kept here and the flow still waits for this record. */
  readonly isAwaited: boolean;
  /** One of `RecordStatus`. */
  readonly status: number;
  /** The back end that the flow has now, the backup's own placement included, is known here. */
  readonly isBackendKnown: boolean;
}

/**
 * Judges the backup's answer. An answer to an opening that has ended is ignored. A backup without the shard
 * protects nothing, so the opening is given up. A back end that is not known here cannot be sent to; the opening
 * stays pending.
 */
export function judgeReplication(input: ReplicationInput): ReplicationVerdict {
  if (!input.isAwaited) return 'ignore';
  if (input.status === RecordStatus.NOT_HELD) return 'abandon';
  return input.isBackendKnown ? 'send' : 'ignore';
}

/** Whether an opening that its back end has reset is tried on another one. */
type RetryVerdict =
  | { readonly outcome: 'retry'; readonly backend: EffectiveBackend }
  | { readonly outcome: 'pass-reset'; readonly reason: RetryObstacle };

/** Why the caller gets the reset. */
type RetryObstacle = 'no-syn' | 'syn-repeated' | 'not-keeper' | 'no-other-backend' | 'budget-spent';

/** What a retry is judged by. */
interface RetryInput {
  /** The SYN is still held here. */
  readonly hasSyn: boolean;
  /** SYNs that went to the back end. */
  readonly sentSyns: number;
  readonly mayOpen: () => boolean;
  /** Chooses among the back ends that have not reset this opening. */
  readonly choose: () => PlacementDecision | 'deferred';
  /** Takes a token of the service's retry budget; false when it is spent. */
  readonly takeRetry: () => boolean;
}

/**
 * Judges a retry. Only a single SYN may be tried elsewhere: after a second one, the reset says nothing about the
 * first, which the back end may have accepted. The budget bounds what a failing service adds to the load of its
 * other back ends, and is asked last, so that only a retry that is made takes a token.
 */
export function judgeRetry(input: RetryInput): RetryVerdict {
  if (!input.hasSyn) return passReset('no-syn');
  if (input.sentSyns !== 1) return passReset('syn-repeated');
  if (!input.mayOpen()) return passReset('not-keeper');
  const choice = input.choose();
  if (choice === 'deferred' || choice.outcome === 'refuse') return passReset('no-other-backend');
  if (!input.takeRetry()) return passReset('budget-spent');
  return { outcome: 'retry', backend: choice.backend };
}

function passReset(reason: RetryObstacle): RetryVerdict {
  return { outcome: 'pass-reset', reason };
}
