/**
 * Decides when missing answers eject a back end, when they make it suspect, and when it gets a trial opening. Keeps a
 * caller's next attempt away from the back end that did not answer the first one. Does no input or output.
 *
 * Inputs: failures (unanswered openings and retransmitted data) with their times, the signs of life of this back end,
 * and the last sign of life of any other one. All times are monotonic ms. A sign of life clears the failures, the
 * ejection and its backoff.
 *
 * Order of the conditions in `evaluate`:
 * 1. The number of failures, because it is the cheapest test.
 * 2. Whether another back end gave a sign of life after the first failure began. Otherwise this daemon or its links may
 *    be at fault, so nothing is ejected while no other back end is known to answer.
 * 3. Whether a failure came since the last evaluation, so that one failure never ejects twice. A failure during an
 *    ejection counts as evaluated, so that flows that were placed before the ejection do not prolong it.
 */
import { EJECT_AFTER_FAILURES, EJECT_MAX_MS, EJECT_MIN_MS, SUSPECT_MS } from './constants.js';

/** Result of an evaluation; only `eject` changes where flows go. */
export type EjectionDecision =
  'eject' | 'too-few-failures' | 'no-other-answers' | 'already-evaluated' | 'already-ejected';

/** Phase of a back end by its failures. `failures-expired`: its last failure is so old that it counts as alive. */
export type EjectionPhase = 'no-failure' | 'failures-expired' | 'suspect' | 'ejected' | 'trial';

/** Failures of one back end since its last sign of life, and the resulting ejections. */
export class PassiveEjection {
  private failureCount = 0;
  private firstFailureMs = 0;
  private lastFailureMs = 0;
  /** Time of the last failure that caused an ejection or came during one. */
  private evaluatedFailureMs = Number.NEGATIVE_INFINITY;
  /** End of the last ejection; 0 without an ejection since the last sign of life. */
  private ejectedUntilMs = 0;
  /** Length of the next ejection. */
  private nextEjectionMs = EJECT_MIN_MS;
  private lastTrialMs = Number.NEGATIVE_INFINITY;

  /** Failures since the last sign of life. */
  get failures(): number {
    return this.failureCount;
  }

  /** Records a failure that began at `failureStartMs` and was noticed at `noticedMs`. */
  recordFailure(noticedMs: number, failureStartMs: number): void {
    if (this.failureCount === 0) this.firstFailureMs = failureStartMs;
    this.failureCount += 1;
    this.lastFailureMs = noticedMs;
  }

  /** Clears failures, ejection and backoff; returns false if there was no failure. */
  recordSignOfLife(): boolean {
    if (this.failureCount === 0) return false;
    this.failureCount = 0;
    this.ejectedUntilMs = 0;
    this.nextEjectionMs = EJECT_MIN_MS;
    return true;
  }

  /** Records that a trial opening is placed; the next trial is allowed `EJECT_MIN_MS` later. */
  recordTrial(nowMs: number): void {
    this.lastTrialMs = nowMs;
  }

  /**
   * Ejects the back end if it has enough failures and other back ends answer.
   *
   * @param othersLastSignOfLifeMs time of the last sign of life of any other back end; -Infinity without any
   */
  evaluate(nowMs: number, othersLastSignOfLifeMs: number): EjectionDecision {
    if (this.failureCount < EJECT_AFTER_FAILURES) return 'too-few-failures';
    if (othersLastSignOfLifeMs <= this.firstFailureMs) return 'no-other-answers';
    if (this.lastFailureMs <= this.evaluatedFailureMs) return 'already-evaluated';
    this.evaluatedFailureMs = this.lastFailureMs;
    if (nowMs < this.ejectedUntilMs) return 'already-ejected';
    this.ejectedUntilMs = nowMs + this.nextEjectionMs;
    this.nextEjectionMs = Math.min(EJECT_MAX_MS, this.nextEjectionMs * 2);
    this.lastTrialMs = Number.NEGATIVE_INFINITY;
    return 'eject';
  }

  /** Phase at `nowMs`. After an ejection, one trial opening is allowed every `EJECT_MIN_MS`. */
  phaseAt(nowMs: number): EjectionPhase {
    if (this.failureCount === 0) return 'no-failure';
    if (nowMs < this.ejectedUntilMs) return 'ejected';
    if (this.ejectedUntilMs > 0) return nowMs - this.lastTrialMs < EJECT_MIN_MS ? 'ejected' : 'trial';
    return nowMs - this.lastFailureMs < SUSPECT_MS ? 'suspect' : 'failures-expired';
  }
}
