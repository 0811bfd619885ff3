/**
 * Rule: when missing answers eject a back end, when it is suspect, and when it gets a trial opening. Keeps a caller's
 * next attempt away from the back end that did not answer the first. Does no input or output.
 *
 * Inputs: failures (unanswered openings and retransmitted data) with their times, signs of life of this back end and
 * the last one of any other; all times are monotonic ms. A sign of life ends everything, including the backoff.
 *
 * Order of `judge`: the number of failures first, because it is the cheapest test. Then whether another back end gave a
 * sign of life after the first failure began: without one this daemon or its links may be at fault, so that nothing is
 * ejected while no other back end is known to answer. Then whether a failure came since the last judgement, so that one
 * failure never ejects twice. A failure during an ejection counts as judged, so that flows that were placed before it
 * do not prolong it.
 */
import { EJECT_AFTER_FAILURES, EJECT_MAX_MS, EJECT_MIN_MS, SUSPECT_MS } from './constants.js';

/** What a judgement leads to; only `eject` changes where flows go. */
export type EjectionJudgement =
  'eject' | 'too-few-failures' | 'no-other-answers' | 'already-judged' | 'already-ejected';

/** What failures say of a back end now. `forgiven`: it failed, but so long ago that it counts as alive. */
export type EjectionPhase = 'no-failure' | 'forgiven' | 'suspect' | 'ejected' | 'trial';

/** Failures of one back end since its last sign of life, and the ejections that followed from them. */
export class PassiveEjection {
  private failureCount = 0;
  private firstFailureMs = 0;
  private lastFailureMs = 0;
  /** The last failure that led to an ejection or came during one. */
  private judgedFailureMs = Number.NEGATIVE_INFINITY;
  /** 0 while it was not ejected since the last sign of life. */
  private ejectedUntilMs = 0;
  /** Length of the next ejection. */
  private ejectForMs = EJECT_MIN_MS;
  private trialMs = Number.NEGATIVE_INFINITY;

  /** Failures since the last sign of life. */
  get failures(): number {
    return this.failureCount;
  }

  /** Records a failure that was noticed at `nowMs` and began at `sinceMs`. */
  recordFailure(nowMs: number, sinceMs: number): void {
    if (this.failureCount === 0) this.firstFailureMs = sinceMs;
    this.failureCount += 1;
    this.lastFailureMs = nowMs;
  }

  /** Ends an ejection and its backoff; returns false when there was no failure. */
  recordSignOfLife(): boolean {
    if (this.failureCount === 0) return false;
    this.failureCount = 0;
    this.ejectedUntilMs = 0;
    this.ejectForMs = EJECT_MIN_MS;
    return true;
  }

  /** Records that a trial opening is placed, so that no other one is for `EJECT_MIN_MS`. */
  recordTrial(nowMs: number): void {
    this.trialMs = nowMs;
  }

  /**
   * Ejects the back end after enough failures, while others answer.
   *
   * @param othersAliveMs time of the last sign of life of any other back end; -Infinity without any
   */
  judge(nowMs: number, othersAliveMs: number): EjectionJudgement {
    if (this.failureCount < EJECT_AFTER_FAILURES) return 'too-few-failures';
    if (othersAliveMs <= this.firstFailureMs) return 'no-other-answers';
    if (this.lastFailureMs <= this.judgedFailureMs) return 'already-judged';
    this.judgedFailureMs = this.lastFailureMs;
    if (nowMs < this.ejectedUntilMs) return 'already-ejected';
    this.ejectedUntilMs = nowMs + this.ejectForMs;
    this.ejectForMs = Math.min(EJECT_MAX_MS, this.ejectForMs * 2);
    this.trialMs = Number.NEGATIVE_INFINITY;
    return 'eject';
  }

  /** The phase at `nowMs`. After an ejection every `EJECT_MIN_MS` has room for one trial opening. */
  phaseAt(nowMs: number): EjectionPhase {
    if (this.failureCount === 0) return 'no-failure';
    if (nowMs < this.ejectedUntilMs) return 'ejected';
    if (this.ejectedUntilMs > 0) return nowMs - this.trialMs < EJECT_MIN_MS ? 'ejected' : 'trial';
    return nowMs - this.lastFailureMs < SUSPECT_MS ? 'suspect' : 'forgiven';
  }
}
