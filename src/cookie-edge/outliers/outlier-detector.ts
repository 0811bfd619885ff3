/**
 * Decides which back ends are outliers: they answer requests late, not at all or with errors, and get no new flows. One
 * daemon sees too few requests at each back end, so daemons gossip their bad answers, and each decides by what it knows
 * of the whole fleet. There is no agreement and nothing stored: reports expire after seconds, and a daemon without any
 * treats all back ends alike. Owns the `OutlierRecord` of each back end with reports; logs each change of phase.
 *
 * Order of `judge`: enough reports at all; enough more than the mean of the service, because an overload makes all of
 * it late; and no more outliers than `maxAvoidedShare`, because avoiding many makes the others late.
 */
import { combine32 } from '../../common/hash.js';
import type { EventLog } from '../../observability/event.js';
import {
  MAX_REPORTED_SHARE,
  MIN_BACKENDS,
  OUTLIER_FACTOR,
  SETTLE_MS,
  OUTLIER_TRIAL_ONE_IN,
} from './constants.js';
import { OUTLIER_EVENTS } from './events.js';
import { OutlierRecord } from './outlier-record.js';
import type { OutlierOptions, OutlierPhase, BadAnswer, BadAnswerReport } from './types.js';

/** What a detector needs. */
interface OutlierDetectorOptions extends OutlierOptions {
  /** Names this daemon in reports. */
  readonly self: number;
  readonly events: EventLog;
  /** Service of a back end that is known; undefined for any other. */
  readonly serviceOf: (backendId: string) => string | undefined;
  /** Back ends of a service that are recorded now. */
  readonly countBackends: (service: string) => number;
  /** Called with each report of this daemon, to gossip it. */
  readonly onReport: (report: BadAnswerReport) => void;
}

/** Reports on the back ends of one service, and which observers' count. */
interface ServiceEvidence {
  readonly backends: number;
  /** Reports that count, of all its back ends together. */
  readonly reports: number;
  readonly avoided: number;
  readonly isDiscounted: (observer: number) => boolean;
}

/** The outliers as one daemon sees them. Times are monotonic ms. */
export class OutlierDetector {
  private readonly records = new Map<string, OutlierRecord>();
  private ownReports = 0;
  private othersReports = 0;
  private detectionCount = 0;
  private readonly settledAtMs: number;

  /** @param startedAtMs monotonic ms at which this daemon started */
  constructor(
    private readonly options: OutlierDetectorOptions,
    startedAtMs: number,
  ) {
    this.settledAtMs = startedAtMs + SETTLE_MS;
  }

  /** Reports of this daemon and of others that were recorded, since start. */
  get reportCounts(): { readonly own: number; readonly others: number } {
    return { own: this.ownReports, others: this.othersReports };
  }

  /** Times that a back end was found to be an outlier, since start. */
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
   * True when a flow should go elsewhere if it can. In an outlier trial a back end takes a fixed part of the flows,
   * chosen by their hashes, so that a retransmission of a SYN meets the same decision.
   */
  isAvoided(backendId: string, idHash: number, flowHash: number, nowMs: number): boolean {
    const phase = this.phaseOf(backendId, nowMs);
    if (phase === 'normal') return false;
    return phase === 'avoided' || combine32(idHash, flowHash) % OUTLIER_TRIAL_ONE_IN !== 0;
  }

  /** Records a bad answer that this daemon noticed itself; gossips it unless it is this daemon that is slow. */
  recordOwn({ backendId, service, atMs }: BadAnswer): void {
    if (atMs < this.settledAtMs) return;
    const report = { backendId, observer: this.options.self, atMs };
    if (!this.recordOf(backendId, service).record(report, true, atMs)) return;
    this.ownReports += 1;
    if (!this.isMostlyReporting(service, atMs)) this.options.onReport(report);
    this.judge(backendId, atMs);
  }

  /** Records another daemon's report; returns true when it is new here and must be gossiped further. */
  applyReport(report: BadAnswerReport, nowMs: number): boolean {
    if (report.observer === this.options.self) return false;
    const service = this.options.serviceOf(report.backendId);
    if (service === undefined) return false;
    if (!this.recordOf(report.backendId, service).record(report, false, nowMs)) return false;
    this.othersReports += 1;
    this.judge(report.backendId, nowMs);
    return true;
  }

  /** Logs ends of phases, and forgets records that no longer affect a decision. */
  check(nowMs: number): void {
    for (const [backendId, record] of this.records) {
      this.logPhase(backendId, record, nowMs);
      if (record.isSpent(nowMs)) this.records.delete(backendId);
    }
  }

  /** Forgets a back end. */
  forget(backendId: string): void {
    this.records.delete(backendId);
  }

  private recordOf(backendId: string, service: string): OutlierRecord {
    let record = this.records.get(backendId);
    if (!record) {
      record = new OutlierRecord(service);
      this.records.set(backendId, record);
    }
    return record;
  }

  private judge(backendId: string, nowMs: number): void {
    const record = this.records.get(backendId);
    if (!record || record.observersAt(nowMs).length < this.leastReports(record.phaseAt(nowMs))) return;
    const evidence = this.evidenceOf(record.service, nowMs);
    const reports = record.countAt(nowMs, evidence.isDiscounted);
    const phase = record.phaseAt(nowMs);
    if (reports < this.neededReports(evidence, phase)) return;
    if (phase !== 'avoided' && !this.mayAvoidOneMore(evidence)) {
      const { service } = record;
      return this.options.events.emit(OUTLIER_EVENTS.tooMany, {
        backend: backendId,
        service,
        reports,
        avoided: evidence.avoided,
        backends: evidence.backends,
      });
    }
    record.avoid(nowMs);
    if (phase === 'avoided') return;
    this.detectionCount += 1;
    record.loggedPhase = 'avoided';
    this.options.events.emit(OUTLIER_EVENTS.avoided, {
      backend: backendId,
      service: record.service,
      reports,
      before: phase,
      serviceReports: evidence.reports,
      avoided: evidence.avoided + 1,
      backends: evidence.backends,
    });
  }

  private neededReports({ backends, reports }: ServiceEvidence, phase: OutlierPhase): number {
    if (backends < MIN_BACKENDS) return Number.POSITIVE_INFINITY;
    const least = this.leastReports(phase);
    return phase === 'trial' ? least : Math.max(least, (OUTLIER_FACTOR * reports) / backends);
  }

  /** Fewest reports that make an outlier, whatever the mean of the service. */
  private leastReports(phase: OutlierPhase): number {
    return phase === 'trial' ? 1 : this.options.quorum;
  }

  /**
   * True when this daemon noticed bad answers at so many back ends of a service that the daemon itself is likely slow.
   */
  private isMostlyReporting(service: string, nowMs: number): boolean {
    let reported = 0;
    for (const record of this.records.values()) {
      if (record.service === service && record.observersAt(nowMs).includes(this.options.self)) reported += 1;
    }
    return reported > mostReportable(this.options.countBackends(service));
  }

  private mayAvoidOneMore({ avoided, backends }: ServiceEvidence): boolean {
    return avoided + 1 <= backends * this.options.maxAvoidedShare;
  }

  private evidenceOf(service: string, nowMs: number): ServiceEvidence {
    const backends = this.options.countBackends(service);
    const records = [...this.records.values()].filter((record) => record.service === service);
    const reportedBy = new Map<number, number>();
    for (const observer of records.flatMap((record) => [...new Set(record.observersAt(nowMs))])) {
      reportedBy.set(observer, (reportedBy.get(observer) ?? 0) + 1);
    }
    const isDiscounted = (observer: number): boolean =>
      (reportedBy.get(observer) ?? 0) > mostReportable(backends);
    return {
      backends,
      isDiscounted,
      reports: records.reduce((sum, record) => sum + record.countAt(nowMs, isDiscounted), 0),
      avoided: records.filter((record) => record.phaseAt(nowMs) === 'avoided').length,
    };
  }

  private logPhase(backendId: string, record: OutlierRecord, nowMs: number): void {
    const phase = record.phaseAt(nowMs);
    if (phase === record.loggedPhase) return;
    record.loggedPhase = phase;
    const event = phase === 'trial' ? OUTLIER_EVENTS.trial : OUTLIER_EVENTS.normal;
    this.options.events.emit(event, { backend: backendId, service: record.service });
  }
}

/** Back ends of a service that one daemon may report at once; the reports of a daemon with more do not count. */
function mostReportable(backends: number): number {
  return Math.max(1, backends * MAX_REPORTED_SHARE);
}
