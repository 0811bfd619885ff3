/**
 * Decides what becomes of one attempt of a call to the platform: its answer counts, it is tried again, or the call
 * ends.
 *
 * What the rule prevents: that a write takes effect twice, and that a call outlives its deadline.
 *
 * Owns nothing; relies on the transport for whether a request may have been processed.
 */
import type { ExchangeOutcome } from './transport.js';

type Answer = Extract<ExchangeOutcome, { kind: 'answered' }>;

/** An answer that the caller interprets: any status below 500. */
function isUsable(outcome: ExchangeOutcome): outcome is Answer {
  return outcome.kind === 'answered' && outcome.status < 500;
}

/** True when the attempt proves that the platform works, for the circuit breaker: it answered, whatever it said. */
export function isSignOfLife(outcome: ExchangeOutcome): boolean {
  return outcome.kind === 'unreadable' || isUsable(outcome);
}

/**
 * What becomes of an attempt. `bad-answer`: trying again would give the same. `unknown-outcome`: a write may have
 * taken effect.
 */
export type AttemptVerdict<Failure extends string> =
  { readonly kind: 'answered'; readonly answer: Answer } | { readonly kind: 'try-again' | Failure };

/** Judges an attempt of a request that may be processed twice. */
export function judgeRepeatable(outcome: ExchangeOutcome): AttemptVerdict<'bad-answer'> {
  if (outcome.kind === 'unreadable') return { kind: 'bad-answer' };
  return isUsable(outcome) ? { kind: 'answered', answer: outcome } : { kind: 'try-again' };
}

/** Judges an attempt of a write: it is tried again only when the platform has certainly not seen it. */
export function judgeWrite(outcome: ExchangeOutcome): AttemptVerdict<'unknown-outcome'> {
  if (isUsable(outcome)) return { kind: 'answered', answer: outcome };
  return { kind: outcome.kind === 'not-sent' ? 'try-again' : 'unknown-outcome' };
}

/** True when another attempt may start after `pauseMs`: it must start before the deadline. Times are monotonic ms. */
export function hasTimeForRetry(nowMs: number, pauseMs: number, deadlineAtMs: number): boolean {
  return nowMs + pauseMs < deadlineAtMs;
}
