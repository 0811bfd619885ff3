/**
 * Holds the reports on one back end, and derives its phase: avoided, in an outlier trial, or normal. Does no input or
 * output. The avoidance doubles with each relapse; `FORGIVE_MS` after a trial without one it starts from the shortest
 * again.
 */
import {
  AVOID_MAX_MS,
  AVOID_MIN_MS,
  FORGIVE_MS,
  MAX_REPORTS,
  RENEWAL_MS,
  REPORT_VALID_MS,
  OUTLIER_TRIAL_MS,
} from './constants.js';
import type { OutlierPhase } from './types.js';

/** A bad answer and who noticed it. */
interface RecordedReport {
  readonly observer: number;
  readonly atMs: number;
}

/** Reports and phase of one back end. Times are monotonic ms. */
export class OutlierRecord {
  private reports: RecordedReport[] = [];
  private avoidedUntilMs = Number.NEGATIVE_INFINITY;
  private trialUntilMs = Number.NEGATIVE_INFINITY;
  private avoidForMs = AVOID_MIN_MS;
  /** The phase that was last logged. */
  loggedPhase: OutlierPhase = 'normal';

  constructor(readonly service: string) {}

  phaseAt(nowMs: number): OutlierPhase {
    if (nowMs < this.avoidedUntilMs) return 'avoided';
    return nowMs < this.trialUntilMs ? 'trial' : 'normal';
  }

  /**
   * Stores a report; returns false for one that changes nothing, which must not be gossiped further. Each other daemon
   * counts once, because its link to the back end may be what is slow. Own reports count each, because this daemon
   * decides by them.
   */
  record(report: RecordedReport, isOwn: boolean, nowMs: number): boolean {
    if (nowMs - report.atMs >= REPORT_VALID_MS || this.isSettledAt(nowMs)) return false;
    this.dropOld(nowMs);
    const known = isOwn ? undefined : this.reports.find(({ observer }) => observer === report.observer);
    if (known && report.atMs - known.atMs < REPORT_VALID_MS / 2) return false;
    if (known) this.reports = this.reports.filter((other) => other !== known);
    if (this.reports.length >= MAX_REPORTS) {
      const oldest = this.reports[0];
      if (!oldest || nowMs - oldest.atMs < REPORT_VALID_MS / 2) return false;
      this.reports.shift();
    }
    this.reports.push(report);
    return true;
  }

  /** Reports that count now, without those of observers that `isDiscounted`. */
  countAt(nowMs: number, isDiscounted: (observer: number) => boolean): number {
    this.dropOld(nowMs);
    return this.reports.filter(({ observer }) => !isDiscounted(observer)).length;
  }

  /** Observers of the reports that have not expired, one entry a report. */
  observersAt(nowMs: number): readonly number[] {
    this.dropOld(nowMs);
    return this.reports.map(({ observer }) => observer);
  }

  /**
   * Avoids the back end from now on; longer after each relapse. A further detection while it is avoided prolongs that.
   */
  avoid(nowMs: number): void {
    const wasAvoided = nowMs < this.avoidedUntilMs;
    if (nowMs >= this.trialUntilMs + FORGIVE_MS) this.avoidForMs = AVOID_MIN_MS;
    else if (!wasAvoided) this.avoidForMs = Math.min(AVOID_MAX_MS, this.avoidForMs * 2);
    this.avoidedUntilMs = nowMs + this.avoidForMs;
    this.trialUntilMs = this.avoidedUntilMs + OUTLIER_TRIAL_MS;
  }

  /** True while the back end stays avoided for longer than `RENEWAL_MS`, so that reports change nothing. */
  private isSettledAt(nowMs: number): boolean {
    return nowMs < this.avoidedUntilMs - RENEWAL_MS;
  }

  /** True when neither reports nor phases affect a decision any more. */
  isSpent(nowMs: number): boolean {
    this.dropOld(nowMs);
    return this.reports.length === 0 && nowMs >= this.trialUntilMs + FORGIVE_MS;
  }

  private dropOld(nowMs: number): void {
    const isValid = ({ atMs }: RecordedReport): boolean => nowMs - atMs < REPORT_VALID_MS;
    if (!this.reports.every(isValid)) this.reports = this.reports.filter(isValid);
  }
}
