/** Which reported loads of a service's back ends are believed. */
import { LOAD_CONTRADICTION_DEVIATIONS, LOAD_MAX_AGE_MS, MIN_LOAD_INTERVAL_MS } from './constants.js';
import type { ReportedLoad, Vote } from './votes.js';

/** One back end's report beside this balancer's own count. */
export interface LoadObservation {
  readonly backendId: number;
  readonly report: ReportedLoad | undefined;
  /** Flows that this balancer kept there at the time of the report; see `CountsAtReport`. */
  readonly ownFlows: number;
  /** Openings there are failing now: an idle report is no reason to send more. */
  readonly failing: boolean;
}

/** Result for one back end. */
export type LoadTrust = 'trusted' | 'missing' | 'old' | 'failing' | 'contradicted';

/** The newest report among votes. */
export function newestLoad(votes: Iterable<Vote>): ReportedLoad | undefined {
  let newest: ReportedLoad | undefined;
  for (const { load } of votes) {
    if (load && (!newest || load.sampledAtMs > newest.sampledAtMs)) newest = load;
  }
  return newest;
}

/**
 * Judges the reports of one service. Keepers split flows by hash, so a balancer's own count is a random sample of the total: the
 * median ratio of own to reported flows gives the sample's size, and a report that is off by more than a few standard deviations is
 * contradicted. A balancer with few flows at a back end can only detect gross errors; placement therefore limits any correction.
 */
export function judgeLoads(observations: readonly LoadObservation[], nowMs: number): Map<number, LoadTrust> {
  const sampleShare = medianShare(observations, nowMs);
  return new Map(observations.map((entry) => [entry.backendId, judge(entry, sampleShare, nowMs)]));
}

function judge(entry: LoadObservation, sampleShare: number | undefined, nowMs: number): LoadTrust {
  if (!entry.report) return 'missing';
  if (isOld(entry.report, nowMs)) return 'old';
  if (entry.failing) return 'failing';
  if (sampleShare === undefined) return 'trusted';
  const expected = entry.report.openFlows * sampleShare;
  const deviation = Math.sqrt(Math.max(entry.ownFlows, expected) + 1);
  const contradicted = Math.abs(entry.ownFlows - expected) > LOAD_CONTRADICTION_DEVIATIONS * deviation;
  return contradicted ? 'contradicted' : 'trusted';
}

/** Median of own over reported flows; undefined while fewer than three back ends give one. */
function medianShare(observations: readonly LoadObservation[], nowMs: number): number | undefined {
  const shares: number[] = [];
  for (const { report, ownFlows } of observations) {
    if (report && report.openFlows > 0 && !isOld(report, nowMs)) shares.push(ownFlows / report.openFlows);
  }
  if (shares.length < 3) return undefined;
  shares.sort((left, right) => left - right);
  return shares[Math.floor(shares.length / 2)];
}

function isOld(report: ReportedLoad, nowMs: number): boolean {
  return nowMs - report.sampledAtMs > LOAD_MAX_AGE_MS;
}

/** A report and the flows that this balancer kept when it learned it. */
interface LearnedReport {
  readonly report: ReportedLoad;
  readonly ownFlows: number;
}

/**
 * This balancer's own counts at the times that reports speak of. While the load changes, a report of some seconds ago says nothing
 * about the count of now; one that was not followed by another for longer than changed loads take says that nothing has changed.
 */
export class CountsAtReport {
  private readonly learned = new Map<number, LearnedReport>();

  /**
   * @param settledMs age in ms after which a report would have been followed by another if the load had changed
   * @returns own flows to compare the report with
   */
  ownFlowsAt(
    backendId: number,
    report: ReportedLoad | undefined,
    ownFlows: number,
    times: { readonly nowMs: number; readonly settledMs: number },
  ): number {
    if (!report || times.nowMs - report.sampledAtMs > times.settledMs) return ownFlows;
    const known = this.learned.get(backendId);
    if (known && isSameSample(known.report, report)) return known.ownFlows;
    this.learned.set(backendId, { report, ownFlows });
    return ownFlows;
  }

  forget(backendId: number): void {
    this.learned.delete(backendId);
  }
}

/** True for one sample that arrived twice, perhaps with its age told differently. */
function isSameSample(left: ReportedLoad, right: ReportedLoad): boolean {
  const apartMs = Math.abs(left.sampledAtMs - right.sampledAtMs);
  return left.openFlows === right.openFlows && apartMs < MIN_LOAD_INTERVAL_MS / 2;
}
