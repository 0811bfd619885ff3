/**
 * Holds the reports on one back end and derives its phase: avoided, in an outlier trial, or normal. Each relapse
 * doubles the length of the avoidance. `AVOIDANCE_RESET_MS` after a trial without a relapse, it returns to the shortest
 * length. Pure computation without I/O.
 */
import {
  MAX_AVOIDANCE_MS,
  MIN_AVOIDANCE_MS,
  AVOIDANCE_RESET_MS,
  MAX_REPORTS_PER_BACKEND,
  AVOIDANCE_RENEWAL_WINDOW_MS,
  REPORT_VALID_MS,
  OUTLIER_TRIAL_MS,
} from './constants.js';
import type { OutlierPhase } from './types.js';

/** A report on this back end. */
interface RecordedReport {
  /** Hash of the id of the daemon that detected the bad answer. */
  readonly observer: number;
  readonly atMs: number;
}

/** Reports and phase of one back end. Times are monotonic ms. */
export class OutlierRecord {
  private reports: RecordedReport[] = [];
  private avoidedUntilMs = Number.NEGATIVE_INFINITY;
  private trialUntilMs = Number.NEGATIVE_INFINITY;
  private avoidanceMs = MIN_AVOIDANCE_MS;
  /** The phase in the last log event. */
  loggedPhase: OutlierPhase = 'normal';

  constructor(readonly service: string) {}

  phaseAt(nowMs: number): OutlierPhase {
    if (nowMs < this.avoidedUntilMs) return 'avoided';
    return nowMs < this.trialUntilMs ? 'trial' : 'normal';
  }

  /**
   * Stores a report. Returns false if the report changes nothing and must not be gossiped. At most one report of each
   * other daemon counts, because that daemon's link to the back end may be the slow part. Each own report counts, so
   * that this daemon can make the back end an outlier for itself without the reports of others.
   */
  addReport(report: RecordedReport, isOwn: boolean, nowMs: number): boolean {
    if (nowMs - report.atMs >= REPORT_VALID_MS || this.isIgnoringReportsAt(nowMs)) return false;
    this.dropExpiredReports(nowMs);
    const previous = isOwn ? undefined : this.reports.find(({ observer }) => observer === report.observer);
    if (previous && report.atMs - previous.atMs < REPORT_VALID_MS / 2) return false;
    if (previous) this.reports = this.reports.filter((other) => other !== previous);
    if (this.reports.length >= MAX_REPORTS_PER_BACKEND) {
      const oldest = this.reports.reduce((left, right) => (right.atMs < left.atMs ? right : left));
      if (nowMs - oldest.atMs < REPORT_VALID_MS / 2) return false;
      this.reports = this.reports.filter((other) => other !== oldest);
    }
    this.reports.push(report);
    return true;
  }

  /** Number of valid reports, without those of observers for which `isDiscounted` returns true. */
  countReportsAt(nowMs: number, isDiscounted: (observer: number) => boolean): number {
    this.dropExpiredReports(nowMs);
    return this.reports.filter(({ observer }) => !isDiscounted(observer)).length;
  }

  /** Observers of the valid reports, one entry per report. */
  observersAt(nowMs: number): readonly number[] {
    this.dropExpiredReports(nowMs);
    return this.reports.map(({ observer }) => observer);
  }

  /** Starts an avoidance, twice as long after a relapse. If the back end is avoided already, extends the avoidance. */
  startOrExtendAvoidance(nowMs: number): void {
    const wasAvoided = nowMs < this.avoidedUntilMs;
    if (nowMs >= this.trialUntilMs + AVOIDANCE_RESET_MS) this.avoidanceMs = MIN_AVOIDANCE_MS;
    else if (!wasAvoided) this.avoidanceMs = Math.min(MAX_AVOIDANCE_MS, this.avoidanceMs * 2);
    this.avoidedUntilMs = nowMs + this.avoidanceMs;
    this.trialUntilMs = this.avoidedUntilMs + OUTLIER_TRIAL_MS;
  }

  /** True while the back end stays avoided for more than `AVOIDANCE_RENEWAL_WINDOW_MS`, so reports change nothing. */
  private isIgnoringReportsAt(nowMs: number): boolean {
    return nowMs < this.avoidedUntilMs - AVOIDANCE_RENEWAL_WINDOW_MS;
  }

  /** True if no report and no past avoidance affects a decision any more. */
  canBeRemoved(nowMs: number): boolean {
    this.dropExpiredReports(nowMs);
    return this.reports.length === 0 && nowMs >= this.trialUntilMs + AVOIDANCE_RESET_MS;
  }

  private dropExpiredReports(nowMs: number): void {
    const isValid = ({ atMs }: RecordedReport): boolean => nowMs - atMs < REPORT_VALID_MS;
    if (!this.reports.every(isValid)) this.reports = this.reports.filter(isValid);
  }
}
