/**
 * Decides how long another daemon's ejection of a back end makes it suspect here. Without such reports each daemon
 * would detect a dead back end only by losing openings of its own callers. A report makes a back end suspect but never
 * ejects it, because the reporter's links may be at fault. Does no input or output; owns the time of the last report.
 * Times are monotonic ms of this daemon.
 */
import { SHARED_SUSPECT_MS, SUSPECT_MS } from './constants.js';

/**
 * Result of a report; only a `new` one is gossiped further. `disproved`: a sign of life came at its time or later.
 * `known`: a duplicate.
 */
export type ReportOutcome = 'new' | 'disproved' | 'known';

/** The last ejection report of one back end. */
export class EjectionReport {
  private reportedAtMs = Number.NEGATIVE_INFINITY;

  /**
   * Records an ejection at `atMs`. A sign of life at that time or later disproves it; this test comes first because
   * this daemon's own observations take precedence. A report that is older than the last one, or less than
   * `SUSPECT_MS` after it, is a duplicate.
   */
  apply(atMs: number, lastSignOfLifeMs: number): ReportOutcome {
    if (lastSignOfLifeMs >= atMs) return 'disproved';
    if (atMs - this.reportedAtMs < SUSPECT_MS) return 'known';
    this.reportedAtMs = atMs;
    return 'new';
  }

  /** True while the last report makes the back end suspect. False without a report and after it expired. */
  makesSuspect(nowMs: number, lastSignOfLifeMs: number): boolean {
    return lastSignOfLifeMs < this.reportedAtMs && nowMs - this.reportedAtMs < SHARED_SUSPECT_MS;
  }
}
