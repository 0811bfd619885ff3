/**
 * Rule of trust in reported loads: which reports of a service's back ends placement may use.
 *
 * It prevents a back end that reports too little from drawing flows. A report that is missing or old is judged
 * before its content; failing openings outweigh any report, and only then is it compared with the own count. With
 * fewer than three reports to compare, it is trusted. Ages in monotonic ms. No input or output.
 */
import { LOAD_CONTRADICTION_DEVIATIONS, LOAD_MAX_AGE_MS } from './constants.js';
import type { ReportedLoad, Vote } from './votes.js';

/** One back end's report beside this balancer's own count. */
export interface LoadObservation {
  readonly backendId: number;
  readonly report: ReportedLoad | undefined;
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
 * Judges the reports of one service. Keepers split flows by hash, so a balancer's own count is a random sample of
 * the total: the median ratio of own to reported flows gives the sample's size, and a report that is off by more
 * than a few standard deviations is contradicted. A balancer with few flows at a back end can only detect gross
 * errors; placement therefore limits any correction.
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
