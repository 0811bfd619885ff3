/**
 * Rule of bounded load: whether an opening stays with its first choice or becomes an exception, and where that goes.
 *
 * It prevents imbalance that plain rendezvous hashing leaves (peak to mean of open flows in `steady-balance`: 1.051
 * beside 1.159, docs/records/MEASUREMENTS.md), at the price of a replicated record for each exception. No input or
 * output.
 *
 * Inputs are the candidates as `ServiceBalance.weigh` has weighed them; loads are flows of this balancer beyond the
 * back end's share. A back end of which no report is known is judged by the own count alone.
 */
import type { Candidate } from './candidates.js';
import { EXCEPTION_CANDIDATES, LEAST_GAIN_FLOWS, MIN_ZONE_TOLERANCE_FLOWS } from './constants.js';
import type { FlowFingerprint } from './types.js';
import { weightedRendezvous } from './weighted-rendezvous.js';

/** Why the back end was chosen. */
type BoundedLoadReason =
  /** The first choice may not be used now. */
  | 'first-not-eligible'
  /** Only the first choice may be used. */
  | 'no-alternative'
  /** The first choice holds less than is tolerated. */
  | 'first-within-tolerance'
  /** The first choice holds too much, but an exception would gain too little. */
  | 'gain-too-small'
  | 'alternative';

/** The back end of an opening, and why it. */
interface BoundedLoadChoice {
  readonly candidate: Candidate;
  readonly reason: BoundedLoadReason;
}

/** What a choice is made by. */
export interface BoundedLoadInput {
  readonly fingerprint: FlowFingerprint;
  /** Not empty. */
  readonly weighed: readonly Candidate[];
  /** Id of the first choice of the shard's base, whether it is a candidate or not. */
  readonly firstId: number | undefined;
  /** Zone of this balancer. */
  readonly zone: string;
  /** Preference (0–1) of the service for back ends of the balancer's zone. */
  readonly zonePreference: number;
  /** Flows beyond its share that any first choice may hold. */
  readonly biasFlows: number;
  /** Flows beyond its share that this first choice may hold; at least `biasFlows`. */
  readonly toleratedExcess: (first: Candidate) => number;
}

/**
 * Chooses among weighed candidates. Order: a first choice that may not be used leaves only an exception; then the
 * first choice is kept for as long as its excess is tolerated, because it needs no record; then the exception must
 * gain more than the one flow that it moves, or the next opening would move back. Ties go to the first choice, and
 * among alternatives to the one that the flow's hash ranks higher.
 */
export function chooseBoundedLoad(input: BoundedLoadInput): BoundedLoadChoice {
  const { weighed, firstId } = input;
  const first = weighed.find((entry) => entry.id === firstId);
  const alternative = leastLoaded(
    input,
    weighed.filter((entry) => entry !== first),
  );
  if (!first) return { candidate: alternative ?? weighed[0]!, reason: 'first-not-eligible' };
  if (!alternative) return { candidate: first, reason: 'no-alternative' };
  const tolerated = toleratedExcess(input, first, alternative);
  if (first.excess < tolerated) return { candidate: first, reason: 'first-within-tolerance' };
  if (alternative.excess >= first.excess - LEAST_GAIN_FLOWS) {
    return { candidate: first, reason: 'gain-too-small' };
  }
  return { candidate: alternative, reason: 'alternative' };
}

/**
 * A candidate of the balancer's own zone may take the opening a little earlier; only one below its share, from a first
 * choice above its share, so that the preference never worsens the balance.
 */
function toleratedExcess(input: BoundedLoadInput, first: Candidate, alternative: Candidate): number {
  const tolerated = input.toleratedExcess(first);
  const leavesZone = first.backend.zone !== input.zone && alternative.backend.zone === input.zone;
  if (!leavesZone || alternative.excess >= 0) return tolerated;
  return Math.max(MIN_ZONE_TOLERANCE_FLOWS, tolerated * (1 - input.zonePreference));
}

/**
 * The least loaded of a few candidates that the flow's hash picks: balancers that learn of one idle back end at the
 * same time send it only the openings whose hash picks it, not all of them.
 */
function leastLoaded(input: BoundedLoadInput, others: readonly Candidate[]): Candidate | undefined {
  const picked = weightedRendezvous(input.fingerprint, others, EXCEPTION_CANDIDATES);
  const preference = input.zonePreference * input.biasFlows;
  let best: Candidate | undefined;
  let bestCost = Infinity;
  for (const candidate of picked) {
    const sameZone = candidate.backend.zone === input.zone;
    const cost = candidate.excess - (sameZone && candidate.excess < 0 ? preference : 0);
    if (cost >= bestCost) continue;
    best = candidate;
    bestCost = cost;
  }
  return best;
}
