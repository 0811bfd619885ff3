/**
 * Rule: how long another daemon's ejection of a back end makes it suspect here. Spares each daemon from finding a dead
 * back end by losing openings of its own callers. A report only makes suspect and never ejects, because the
 * reporter's links may be at fault. Does no input or output; owns the time of the last report. Times are monotonic ms
 * of this daemon.
 */
import { SHARED_SUSPECT_MS, SUSPECT_MS } from './constants.js';

/** What becomes of a report; only `new` is gossiped further. */
export type ReportOutcome = 'new' | 'disproved' | 'known';

/** The last ejection report of one back end. */
export class EjectionReport {
  private reportedAtMs = Number.NEGATIVE_INFINITY;

  /**
   * Records an ejection at `atMs`. A sign of life at that time or later disproves it, which is tested first because it
   * is what this daemon saw itself. A report less than `SUSPECT_MS` after the last one is a duplicate, and so is an
   * older one.
   */
  apply(atMs: number, lastSignOfLifeMs: number): ReportOutcome {
    if (lastSignOfLifeMs >= atMs) return 'disproved';
    if (atMs - this.reportedAtMs < SUSPECT_MS) return 'known';
    this.reportedAtMs = atMs;
    return 'new';
  }

  /** True while the report makes its back end suspect. Without a report, or with an old one, nothing is known. */
  makesSuspect(nowMs: number, lastSignOfLifeMs: number): boolean {
    return lastSignOfLifeMs < this.reportedAtMs && nowMs - this.reportedAtMs < SHARED_SUSPECT_MS;
  }
}
