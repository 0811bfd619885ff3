/**
 * Balance of one service as one keeper sees it: how many flows each back end holds beyond its share, and how far beyond
 * is tolerated before an opening is placed beside its first choice.
 */
import type { Candidate } from './candidates.js';
import {
  BIAS_GAIN,
  EXCEPTION_AVERAGE_DECISIONS,
  INITIAL_BIAS_FLOWS,
  MAX_BIAS_FLOWS,
  MIN_BIAS_FLOWS,
  MIN_BIAS_SHARE,
  REPORT_CORRECTION_SHARE,
  REPORT_MAX_AGE_MS,
} from './constants.js';

interface ReportSample {
  value: number;
  /** This balancer's count beyond the back end's share when the report was learned. */
  ownExcess: number;
  learnedAtMs: number;
}

/** A candidate with its load relative to its share. */
export interface WeighedCandidate extends Candidate {
  /** Flows of this balancer that the back end would hold if load followed weight exactly. */
  readonly share: number;
  /** Flows beyond the share, corrected by reports; negative when below. */
  excess: number;
}

/** State of one service's balance; one per keeper. */
export class ServiceBalance {
  private bias = INITIAL_BIAS_FLOWS;
  private averageExceptions = 0;
  private readonly reports = new Map<number, ReportSample>();

  /** Share (0–1) of recent openings that were exceptions. */
  get exceptionShare(): number {
    return this.averageExceptions;
  }

  /** Current bias in flows. */
  get biasFlows(): number {
    return this.bias;
  }

  /** Flows beyond its share that a first choice with this share may hold. */
  toleratedExcess(candidate: WeighedCandidate): number {
    return Math.max(this.bias, candidate.share * MIN_BIAS_SHARE);
  }

  /** Computes every candidate's excess at `nowMs`. */
  weigh(candidates: readonly Candidate[], nowMs: number): WeighedCandidate[] {
    let flows = 0;
    let weights = 0;
    for (const candidate of candidates) {
      flows += candidate.ownFlows;
      weights += candidate.weight;
    }
    const weighed = candidates.map((candidate) => {
      const share = (flows * candidate.weight) / weights;
      return { ...candidate, share, excess: candidate.ownFlows - share };
    });
    this.applyReports(weighed, nowMs);
    return weighed;
  }

  /**
   * Learns the outcome of one opening. The bias follows the share of exceptions: each exception raises it, each first
   * choice lowers it, and it rests where the share is `targetShare`.
   */
  record(exception: boolean, targetShare: number): void {
    const outcome = exception ? 1 : 0;
    this.averageExceptions += (outcome - this.averageExceptions) / EXCEPTION_AVERAGE_DECISIONS;
    const next = this.bias * (1 + BIAS_GAIN * (outcome - targetShare));
    this.bias = Math.min(MAX_BIAS_FLOWS, Math.max(MIN_BIAS_FLOWS, next));
  }

  /**
   * Corrects own counts by what the back ends report: the report minus the own count at the time is what the other
   * keepers hold beyond the share. The correction is limited, so a false report cannot steer, and fades with age.
   */
  private applyReports(weighed: WeighedCandidate[], nowMs: number): void {
    let reportedFlows = 0;
    let reportedWeight = 0;
    for (const candidate of weighed) {
      const value = candidate.health.reportedLoad;
      if (value === undefined) continue;
      reportedFlows += value * candidate.backend.maxConnections;
      reportedWeight += candidate.weight;
    }
    if (reportedWeight === 0) return;
    for (const candidate of weighed) {
      const value = candidate.health.reportedLoad;
      if (value === undefined) continue;
      const sample = this.sample(candidate, value, nowMs);
      const totalShare = (reportedFlows * candidate.weight) / reportedWeight;
      const totalExcess = value * candidate.backend.maxConnections - totalShare;
      const limit = candidate.share * REPORT_CORRECTION_SHARE;
      const others = Math.min(limit, Math.max(-limit, totalExcess - sample.ownExcess));
      candidate.excess += others * freshness(nowMs - sample.learnedAtMs);
    }
  }

  private sample(candidate: WeighedCandidate, value: number, nowMs: number): ReportSample {
    const known = this.reports.get(candidate.id);
    const seenAtMs = candidate.health.reportedAtMs;
    const changed = seenAtMs === undefined ? known?.value !== value : known?.learnedAtMs !== seenAtMs;
    if (known && !changed) return known;
    const learnedAtMs = seenAtMs ?? nowMs;
    const sample = { value, ownExcess: candidate.ownFlows - candidate.share, learnedAtMs };
    this.reports.set(candidate.id, sample);
    return sample;
  }
}

/** Weight (0–1) of a report of this age. */
function freshness(ageMs: number): number {
  return Math.max(0, 1 - ageMs / REPORT_MAX_AGE_MS);
}
