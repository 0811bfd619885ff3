/**
 * Decides which back ends are outliers: they answer requests late, not at all or with errors, and get no new flows. One
 * daemon sees too few requests at each back end, so daemons gossip reports of bad answers, and each daemon decides by
 * the reports of the whole fleet. There is no consensus and no stored state: reports expire after seconds, and a daemon
 * without reports avoids no back end. Owns the `OutlierRecord` of each back end with reports; logs each phase change.
 *
 * `evaluate` checks, in this order:
 * 1. The back end has enough reports.
 * 2. It has clearly more reports than the mean of its service, because an overload makes all back ends late.
 * 3. At most `maxAvoidedShare` of the service is avoided, because avoiding many back ends makes the others late.
 *
 * During an outlier trial, one report is enough and the mean is not considered.
 */
import { combine32 } from '../../common/hash.js';
import type { EventLog } from '../../observability/event.js';
import {
  MAX_REPORTED_BACKEND_SHARE,
  MIN_BACKENDS_PER_SERVICE,
  MIN_MULTIPLE_OF_MEAN,
  STARTUP_GRACE_MS,
  OUTLIER_TRIAL_FLOW_DIVISOR,
} from './constants.js';
import { OUTLIER_EVENTS } from './events.js';
import { OutlierRecord } from './outlier-record.js';
import type { OutlierOptions, OutlierPhase, BadAnswer, BadAnswerReport } from './types.js';

interface OutlierDetectorOptions extends OutlierOptions {
  /** Hash of this daemon's id: the `observer` of its own reports. */
  readonly ownObserverId: number;
  readonly events: EventLog;
  /** Returns the service of a back end; undefined if this daemon does not know the back end. */
  readonly serviceOf: (backendId: string) => string | undefined;
  /** Returns the number of back ends that a service has now. */
  readonly countBackends: (service: string) => number;
  /** Called with each report of this daemon that is to be gossiped. */
  readonly onReport: (report: BadAnswerReport) => void;
}

/** Summary of the reports on the back ends of one service. */
interface ServiceEvidence {
  /** All back ends of the service, also those without reports. */
  readonly backendCount: number;
  /** Valid reports on all back ends of the service, without those of discounted observers. */
  readonly reportCount: number;
  readonly avoidedCount: number;
  /** True for a daemon that reports so many back ends that it is likely at fault itself. */
  readonly isDiscounted: (observer: number) => boolean;
}

/** Detects outliers for one daemon. Times are monotonic ms. */
export class OutlierDetector {
  private readonly records = new Map<string, OutlierRecord>();
  private ownReportCount = 0;
  private peerReportCount = 0;
  private detectionCount = 0;
  private readonly startupGraceEndsAtMs: number;

  /** @param startedAtMs monotonic ms at which this daemon started */
  constructor(
    private readonly options: OutlierDetectorOptions,
    startedAtMs: number,
  ) {
    this.startupGraceEndsAtMs = startedAtMs + STARTUP_GRACE_MS;
  }

  /** Number of recorded reports of this daemon and of other daemons, since start. */
  get reportCounts(): { readonly own: number; readonly others: number } {
    return { own: this.ownReportCount, others: this.peerReportCount };
  }

  /** Number of times that a back end became an outlier, since start. */
  get detections(): number {
    return this.detectionCount;
  }

  /** Ids of the back ends that are avoided now. */
  avoidedAt(nowMs: number): string[] {
    return [...this.records].filter(([, record]) => record.phaseAt(nowMs) === 'avoided').map(([id]) => id);
  }

  phaseOf(backendId: string, nowMs: number): OutlierPhase {
    return this.records.get(backendId)?.phaseAt(nowMs) ?? 'normal';
  }

  /**
   * True if a flow should go to another back end if possible. A back end in an outlier trial admits a fixed share of
   * flows, selected by hash, so that the retransmission of a SYN gets the same decision.
   */
  isAvoided(backendId: string, idHash: number, flowHash: number, nowMs: number): boolean {
    const phase = this.phaseOf(backendId, nowMs);
    if (phase === 'normal') return false;
    return phase === 'avoided' || combine32(idHash, flowHash) % OUTLIER_TRIAL_FLOW_DIVISOR !== 0;
  }

  /** Records a bad answer that this daemon detected, and gossips it unless this daemon itself is likely slow. */
  recordOwnBadAnswer({ backendId, service, atMs }: BadAnswer): void {
    if (atMs < this.startupGraceEndsAtMs) return;
    const report = { backendId, observer: this.options.ownObserverId, atMs };
    if (!this.getOrCreateRecord(backendId, service).addReport(report, true, atMs)) return;
    this.ownReportCount += 1;
    if (!this.isReportingTooManyBackends(service, atMs)) this.options.onReport(report);
    this.evaluate(backendId, atMs);
  }

  /** Records another daemon's report. Returns true if the report was new and must be gossiped further. */
  applyReport(report: BadAnswerReport, nowMs: number): boolean {
    if (report.observer === this.options.ownObserverId) return false;
    const service = this.options.serviceOf(report.backendId);
    if (service === undefined) return false;
    if (!this.getOrCreateRecord(report.backendId, service).addReport(report, false, nowMs)) return false;
    this.peerReportCount += 1;
    this.evaluate(report.backendId, nowMs);
    return true;
  }

  /** Logs phases that ended by time, and removes records that no longer affect a decision. Call it periodically. */
  removeExpiredRecords(nowMs: number): void {
    for (const [backendId, record] of this.records) {
      this.logPhaseChange(backendId, record, nowMs);
      if (record.canBeRemoved(nowMs)) this.records.delete(backendId);
    }
  }

  /** Discards all reports on a back end. */
  removeBackend(backendId: string): void {
    this.records.delete(backendId);
  }

  private getOrCreateRecord(backendId: string, service: string): OutlierRecord {
    let record = this.records.get(backendId);
    if (!record) {
      record = new OutlierRecord(service);
      this.records.set(backendId, record);
    }
    return record;
  }

  private evaluate(backendId: string, nowMs: number): void {
    const record = this.records.get(backendId);
    if (!record || record.observersAt(nowMs).length < this.minReports(record.phaseAt(nowMs))) return;
    const evidence = this.collectEvidence(record.service, nowMs);
    const reports = record.countReportsAt(nowMs, evidence.isDiscounted);
    const phase = record.phaseAt(nowMs);
    if (reports < this.requiredReports(evidence, phase)) return;
    if (phase !== 'avoided' && !this.canAvoidOneMore(evidence)) {
      const { service } = record;
      return this.options.events.emit(OUTLIER_EVENTS.tooMany, {
        backend: backendId,
        service,
        reports,
        avoided: evidence.avoidedCount,
        backends: evidence.backendCount,
      });
    }
    record.startOrExtendAvoidance(nowMs);
    if (phase === 'avoided') return;
    this.detectionCount += 1;
    record.loggedPhase = 'avoided';
    this.options.events.emit(OUTLIER_EVENTS.avoided, {
      backend: backendId,
      service: record.service,
      reports,
      before: phase,
      serviceReports: evidence.reportCount,
      avoided: evidence.avoidedCount + 1,
      backends: evidence.backendCount,
    });
  }

  /** Number of reports that make a back end of this service an outlier. */
  private requiredReports({ backendCount, reportCount }: ServiceEvidence, phase: OutlierPhase): number {
    if (backendCount < MIN_BACKENDS_PER_SERVICE) return Number.POSITIVE_INFINITY;
    const minimum = this.minReports(phase);
    return phase === 'trial'
      ? minimum
      : Math.max(minimum, (MIN_MULTIPLE_OF_MEAN * reportCount) / backendCount);
  }

  /** Lower bound of `requiredReports`, independent of the mean of the service. */
  private minReports(phase: OutlierPhase): number {
    return phase === 'trial' ? 1 : this.options.quorum;
  }

  /**
   * True if this daemon detected bad answers at so many back ends of a service that it is likely slow itself.
   */
  private isReportingTooManyBackends(service: string, nowMs: number): boolean {
    let reportedBackendCount = 0;
    for (const record of this.records.values()) {
      if (record.service === service && record.observersAt(nowMs).includes(this.options.ownObserverId))
        reportedBackendCount += 1;
    }
    return reportedBackendCount > maxReportableBackends(this.options.countBackends(service));
  }

  private canAvoidOneMore({ avoidedCount, backendCount }: ServiceEvidence): boolean {
    return avoidedCount + 1 <= backendCount * this.options.maxAvoidedShare;
  }

  private collectEvidence(service: string, nowMs: number): ServiceEvidence {
    const backendCount = this.options.countBackends(service);
    const records = [...this.records.values()].filter((record) => record.service === service);
    const backendCountByObserver = new Map<number, number>();
    for (const observer of records.flatMap((record) => [...new Set(record.observersAt(nowMs))])) {
      backendCountByObserver.set(observer, (backendCountByObserver.get(observer) ?? 0) + 1);
    }
    const isDiscounted = (observer: number): boolean =>
      (backendCountByObserver.get(observer) ?? 0) > maxReportableBackends(backendCount);
    return {
      backendCount,
      isDiscounted,
      reportCount: records.reduce((sum, record) => sum + record.countReportsAt(nowMs, isDiscounted), 0),
      avoidedCount: records.filter((record) => record.phaseAt(nowMs) === 'avoided').length,
    };
  }

  private logPhaseChange(backendId: string, record: OutlierRecord, nowMs: number): void {
    const phase = record.phaseAt(nowMs);
    if (phase === record.loggedPhase) return;
    record.loggedPhase = phase;
    const event = phase === 'trial' ? OUTLIER_EVENTS.trial : OUTLIER_EVENTS.normal;
    this.options.events.emit(event, { backend: backendId, service: record.service });
  }
}

/** Maximum number of back ends of a service that one daemon may report; beyond it, its reports do not count. */
function maxReportableBackends(backendCount: number): number {
  return Math.max(1, backendCount * MAX_REPORTED_BACKEND_SHARE);
}
