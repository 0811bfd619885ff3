/**
 * What the data path of this balancer saw of one back end: counts openings in a row that were not answered.
 *
 * Owns the count and the times of openings that wait. Relies on the flow keeper to report each opening, answer and
 * failure, and on its owner to call `forgiveSilence` after a pause. Times are monotonic ms. No input or output.
 */
import { OPENING_SILENCE_MS, PASSIVE_FAILURE_THRESHOLD, PASSIVE_WINDOW_MS } from './constants.js';
import type { PassiveEvidence } from './types.js';

/**
 * Counts openings in a row that a back end did not answer: those reported as failed, and those sent a while ago
 * without any answer of the back end since. One answer clears the count.
 */
export class PassiveTracker {
  private reportedFailures = 0;
  private lastFailureAtMs = -Infinity;
  private answeredAtMs = -Infinity;
  private lastFailure: PassiveEvidence | undefined;
  /** Times of the first openings since the last answer, at most as many as the threshold. */
  private waitingSinceMs: number[] = [];

  /** Records one piece of evidence; true when the count of failures may have changed. */
  record(evidence: PassiveEvidence, nowMs: number): boolean {
    switch (evidence) {
      case 'opened':
        this.recordOpening(nowMs);
        return false;
      case 'answered':
        return this.recordAnswer(nowMs);
      case 'open-timeout':
      case 'reset-on-open':
        this.recordFailure(evidence, nowMs);
        return true;
      case 'reset-mid-flow':
        return false;
    }
  }

  /** Openings in a row without an answer, as far as `PASSIVE_WINDOW_MS` back. */
  failures(nowMs: number): number {
    const reported = nowMs - this.lastFailureAtMs <= PASSIVE_WINDOW_MS ? this.reportedFailures : 0;
    return reported + this.silentOpenings(nowMs);
  }

  /** True when there is something that time alone may change. */
  isPending(nowMs: number): boolean {
    const oldest = this.waitingSinceMs[0];
    return this.reportedFailures > 0 || (oldest !== undefined && nowMs - oldest >= OPENING_SILENCE_MS);
  }

  /** Forgets what is older than the window. */
  expire(nowMs: number): void {
    if (nowMs - this.lastFailureAtMs > PASSIVE_WINDOW_MS) this.reportedFailures = 0;
    while (this.waitingSinceMs.length > 0 && nowMs - this.waitingSinceMs[0]! > PASSIVE_WINDOW_MS) {
      this.waitingSinceMs.shift();
    }
  }

  /** Forgets openings that wait for an answer: after a pause of this process the answers may be there, still unread. */
  forgiveSilence(): void {
    this.waitingSinceMs = [];
  }

  /** Forgets all failures. */
  reset(): void {
    this.reportedFailures = 0;
    this.waitingSinceMs = [];
  }

  /** Monotonic ms of the last opening that was answered; -Infinity before the first. */
  get lastAnsweredAtMs(): number {
    return this.answeredAtMs;
  }

  /** Monotonic ms of the last sign of failure; -Infinity before the first. */
  get lastFailedAtMs(): number {
    return Math.max(this.lastFailureAtMs, this.waitingSinceMs[0] ?? -Infinity);
  }

  /** How the last reported failure ended; undefined when there was none. */
  get lastFailureKind(): PassiveEvidence | undefined {
    return this.lastFailure;
  }

  private silentOpenings(nowMs: number): number {
    let silent = 0;
    for (const sinceMs of this.waitingSinceMs) {
      const ageMs = nowMs - sinceMs;
      if (ageMs >= OPENING_SILENCE_MS && ageMs <= PASSIVE_WINDOW_MS) silent += 1;
    }
    return silent;
  }

  private recordOpening(nowMs: number): void {
    this.expire(nowMs);
    if (this.waitingSinceMs.length < PASSIVE_FAILURE_THRESHOLD) this.waitingSinceMs.push(nowMs);
  }

  private recordAnswer(nowMs: number): boolean {
    const changed = this.failures(nowMs) > 0;
    this.reset();
    this.answeredAtMs = nowMs;
    return changed;
  }

  private recordFailure(evidence: PassiveEvidence, nowMs: number): void {
    this.expire(nowMs);
    this.reportedFailures += 1;
    this.lastFailureAtMs = nowMs;
    this.lastFailure = evidence;
    // The same opening must not count twice.
    this.waitingSinceMs.shift();
  }
}
