/**
 * Balance of one service as one keeper sees it: how many flows each back end holds beyond its share, and how far beyond
 * is tolerated before an opening is placed beside its first choice.
 */
import type { Candidate } from './candidates.js';
import { DecayingRate } from '../../common/decaying-rate.js';
import {
  limitedCorrection,
  nextBias,
  offsetOpenings,
  reportMaxAgeMs,
  reportWeight,
  toleratedExcess,
} from './balance-rule.js';
import { EXCEPTION_AVERAGE_DECISIONS, INITIAL_BIAS_FLOWS, RATE_WINDOW_MS } from './constants.js';

interface ReportSample {
  value: number;
  /** This balancer's count beyond the back end's share when the report was learned. */
  ownExcess: number;
  learnedAtMs: number;
  /** Average of the corrections over a few turnovers of the flows: what a report is always off by. */
  usualCorrection: number;
}

/** State of one service's balance; one per keeper. */
export class ServiceBalance {
  private bias = INITIAL_BIAS_FLOWS;
  private averageExceptions = 0;
  private readonly reports = new Map<number, ReportSample>();
  private readonly openings = new DecayingRate(RATE_WINDOW_MS);

  /** Share (0–1) of recent openings that were exceptions. */
  get exceptionShare(): number {
    return this.averageExceptions;
  }

  /** Current bias in flows. */
  get biasFlows(): number {
    return this.bias;
  }

  /** Flows beyond its share that a first choice with this share may hold. */
  toleratedExcess(candidate: Candidate): number {
    return toleratedExcess(this.bias, candidate.share);
  }

  /** Computes every candidate's share and excess at `nowMs`, in place. */
  weigh(candidates: readonly Candidate[], nowMs: number): void {
    let flows = 0;
    let weights = 0;
    for (const candidate of candidates) {
      flows += candidate.ownFlows;
      weights += candidate.weight;
    }
    for (const candidate of candidates) {
      candidate.share = (flows * candidate.weight) / weights;
      candidate.excess = candidate.ownFlows - candidate.share;
    }
    this.openings.count(nowMs);
    this.applyReports(candidates, flows, nowMs);
  }

  /** Learns the outcome of one opening: the bias follows the share of exceptions. */
  record(exception: boolean, targetShare: number): void {
    const outcome = exception ? 1 : 0;
    this.averageExceptions += (outcome - this.averageExceptions) / EXCEPTION_AVERAGE_DECISIONS;
    this.bias = nextBias(this.bias, exception, targetShare);
  }

  /**
   * Corrects own counts by what the back ends report: the report minus the own count at the time is what the other
   * keepers hold beyond the share. The correction is limited and fades with age; how fast follows from the lifetime
   * of the flows, because an old total of short flows says little. What the other keepers hold beyond the share
   * wanders around zero, because each of them balances its own flows; so a correction that stays is an error of the
   * report, and its average over a few turnovers of the flows is taken off. A false report steers for a few
   * lifetimes of a flow at most.
   */
  private applyReports(weighed: readonly Candidate[], ownFlows: number, nowMs: number): void {
    let reportedFlows = 0;
    let reportedWeight = 0;
    for (const candidate of weighed) {
      const value = candidate.health.reportedLoad;
      if (value === undefined) continue;
      reportedFlows += value * candidate.backend.maxConnections;
      reportedWeight += candidate.weight;
    }
    if (reportedWeight === 0) return;
    const turnover = offsetOpenings(ownFlows);
    const maxAgeMs = reportMaxAgeMs(ownFlows / this.openings.perMs);
    for (const candidate of weighed) {
      const value = candidate.health.reportedLoad;
      if (value === undefined) continue;
      const sample = this.sample(candidate, value, nowMs);
      const totalShare = (reportedFlows * candidate.weight) / reportedWeight;
      const totalExcess = value * candidate.backend.maxConnections - totalShare;
      const limited = limitedCorrection(totalExcess, sample.ownExcess, candidate.share);
      sample.usualCorrection += (limited - sample.usualCorrection) / turnover;
      candidate.excess +=
        (limited - sample.usualCorrection) * reportWeight(nowMs - sample.learnedAtMs, maxAgeMs);
    }
  }

  private sample(candidate: Candidate, value: number, nowMs: number): ReportSample {
    const known = this.reports.get(candidate.id);
    const seenAtMs = candidate.health.reportedAtMs;
    const changed = seenAtMs === undefined ? known?.value !== value : known?.learnedAtMs !== seenAtMs;
    if (known && !changed) return known;
    const learnedAtMs = seenAtMs ?? nowMs;
    const sample = {
      value,
      learnedAtMs,
      ownExcess: candidate.ownFlows - candidate.share,
      usualCorrection: known?.usualCorrection ?? 0,
    };
    this.reports.set(candidate.id, sample);
    return sample;
  }
}
