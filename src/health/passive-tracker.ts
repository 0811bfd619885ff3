/** What the data path of this balancer saw of one back end. */
import { PASSIVE_WINDOW_MS } from './constants.js';
import type { PassiveEvidence } from './types.js';

/** Counts openings without an answer. `opened` alone says nothing: the answer or its absence does. */
export class PassiveTracker {
  private consecutiveFailures = 0;
  private lastFailureAtMs = -Infinity;
  private answeredAtMs = -Infinity;
  private lastFailure: PassiveEvidence | undefined;

  /** Takes one piece of evidence; true when the count of failures changed. */
  record(evidence: PassiveEvidence, nowMs: number): boolean {
    const before = this.consecutiveFailures;
    if (evidence === 'answered') this.recordAnswer(nowMs);
    if (evidence === 'open-timeout' || evidence === 'reset-on-open') this.recordFailure(evidence, nowMs);
    return this.consecutiveFailures !== before;
  }

  /** Forgets failures that are too old; true when there were any. */
  expire(nowMs: number): boolean {
    if (this.consecutiveFailures === 0 || nowMs - this.lastFailureAtMs <= PASSIVE_WINDOW_MS) return false;
    this.consecutiveFailures = 0;
    return true;
  }

  /** Forgets all failures. */
  reset(): void {
    this.consecutiveFailures = 0;
  }

  /** Openings in a row without an answer. */
  get failures(): number {
    return this.consecutiveFailures;
  }

  /** Monotonic ms of the last opening that was answered; -Infinity before the first. */
  get lastAnsweredAtMs(): number {
    return this.answeredAtMs;
  }

  /** Monotonic ms of the last opening that was not answered. */
  get lastFailedAtMs(): number {
    return this.lastFailureAtMs;
  }

  /** How the last failed opening ended. */
  get lastFailureKind(): PassiveEvidence | undefined {
    return this.lastFailure;
  }

  private recordAnswer(nowMs: number): void {
    this.consecutiveFailures = 0;
    this.answeredAtMs = nowMs;
  }

  private recordFailure(evidence: PassiveEvidence, nowMs: number): void {
    this.expire(nowMs);
    this.consecutiveFailures += 1;
    this.lastFailureAtMs = nowMs;
    this.lastFailure = evidence;
  }
}
