/**
 * Decides what an answer about a reader lease means, how long a reader goes on, and how soon a candidate asks again.
 *
 * What the rule prevents: that a reader passes on what it read after another may have taken its lease, and that one
 * lost answer ends a term that the store still grants.
 *
 * Owns nothing; relies on the lease's trusted time (`store/lease-trust.ts`) and on the candidates
 * (`reader-candidates.ts`).
 */
import type { Lease } from '../../store/index.js';
import { CANDIDATE_PAUSE_MS, UNREACHABLE_PAUSE_MS } from './constants.js';

/**
 * What came of a request for a lease. `refused`: another member holds it. `unanswered`: the store could not be
 * asked.
 */
export type LeaseAnswer =
  { readonly kind: 'granted'; readonly lease: Lease } | { readonly kind: 'refused' | 'unanswered' };

/** The lease that is held after a request: without an answer the held one stays, as long as it is trusted. */
export function leaseAfterAnswer(held: Lease | undefined, answer: LeaseAnswer): Lease | undefined {
  if (answer.kind === 'granted') return answer.lease;
  return answer.kind === 'refused' ? undefined : held;
}

/** True while a held lease is trusted; at its last moment it no longer is. `nowMs` is monotonic. */
export function isLeaseTrusted(lease: Lease | undefined, nowMs: number): boolean {
  return lease !== undefined && nowMs < lease.trustedUntilMs;
}

/** What decides whether a reader goes on. */
interface TermFacts {
  readonly isTrusted: boolean;
  /** The daemon stops, or a document arrived without trust. */
  readonly isEnding: boolean;
  /** The membership view still makes this member a candidate for the lease. */
  readonly isCandidate: boolean;
}

/** Whether a reader goes on, or why its term ends. */
export type TermVerdict = 'go-on' | 'lease-lost' | 'ending' | 'no-candidate';

/** Decides whether a reader goes on until its next renewal. Trust comes first: without it nothing may be read. */
export function judgeTerm({ isTrusted, isEnding, isCandidate }: TermFacts): TermVerdict {
  if (!isTrusted) return 'lease-lost';
  if (isEnding) return 'ending';
  return isCandidate ? 'go-on' : 'no-candidate';
}

/**
 * Pause in ms before a candidate asks again: short after a store that gave no answer, because then no reader may be
 * left.
 */
export function candidatePauseMs(storeFailed: boolean): number {
  return storeFailed ? UNREACHABLE_PAUSE_MS : CANDIDATE_PAUSE_MS;
}
