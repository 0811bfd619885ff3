/**
 * Rules of a service's balance: how the bias follows the share of exceptions, how much excess a first choice may
 * hold, and how far a load report corrects an own count.
 *
 * They prevent exceptions from costing more control bytes than planned, and a false or old report from steering
 * placement: a correction is limited, fades with the report's age, and loses what it is always off by. Counts in
 * flows, shares 0–1, times in ms. A back end without a report is not corrected. No input or output.
 */
import {
  BIAS_GAIN,
  MAX_BIAS_FLOWS,
  MIN_BIAS_FLOWS,
  MIN_BIAS_SHARE,
  REPORT_CORRECTION_SHARE,
  REPORT_GAIN,
  REPORT_MAX_AGE_LIFETIMES,
  REPORT_MAX_AGE_MS,
  REPORT_OFFSET_TURNOVERS,
} from './constants.js';

/**
 * Bias after one opening: each exception raises it, each first choice lowers it, and it rests where the share of
 * exceptions is `targetShare`.
 */
export function nextBias(biasFlows: number, exception: boolean, targetShare: number): number {
  const outcome = exception ? 1 : 0;
  const next = biasFlows * (1 + BIAS_GAIN * (outcome - targetShare));
  return Math.min(MAX_BIAS_FLOWS, Math.max(MIN_BIAS_FLOWS, next));
}

/** Flows beyond its share that a first choice with this share, in flows, may hold. */
export function toleratedExcess(biasFlows: number, shareFlows: number): number {
  return Math.max(biasFlows, shareFlows * MIN_BIAS_SHARE);
}

/** What the other keepers hold beyond the share, as far as a correction takes it into account. */
export function limitedCorrection(totalExcess: number, ownExcess: number, shareFlows: number): number {
  const limit = shareFlows * REPORT_CORRECTION_SHARE;
  return Math.min(limit, Math.max(-limit, (totalExcess - ownExcess) * REPORT_GAIN));
}

/** Openings over which the usual correction is averaged: a few turnovers of the flows, at least one. */
export function offsetOpenings(ownFlows: number): number {
  return Math.max(1, ownFlows * REPORT_OFFSET_TURNOVERS);
}

/** Age in ms from which a report has no weight; an old total of short flows says little. */
export function reportMaxAgeMs(lifetimeMs: number): number {
  return Math.min(REPORT_MAX_AGE_MS, lifetimeMs * REPORT_MAX_AGE_LIFETIMES);
}

/** Weight (0–1) of a report of this age; falls evenly. */
export function reportWeight(ageMs: number, maxAgeMs: number): number {
  return Math.max(0, 1 - ageMs / maxAgeMs);
}
