/** Arithmetic of the reports: imbalance, percentiles, spread. Empty input gives null, never 0. */

/** Largest value and median of a set. */
export interface MaxAndMedian {
  readonly max: number | null;
  readonly median: number | null;
}

/** Arithmetic mean; null for no values. */
export function mean(values: readonly number[]): number | null {
  if (values.length === 0) return null;
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Percentile by linear interpolation between closest ranks; `share` is 0–1. Null for no values. */
export function percentile(values: readonly number[], share: number): number | null {
  if (values.length === 0) return null;
  const sorted = [...values].sort((left, right) => left - right);
  const position = (sorted.length - 1) * share;
  const lower = sorted[Math.floor(position)]!;
  const upper = sorted[Math.ceil(position)]!;
  return lower + (upper - lower) * (position - Math.floor(position));
}

/** Middle value; null for no values. */
export function median(values: readonly number[]): number | null {
  return percentile(values, 0.5);
}

/** Largest and median value; both null for no values. */
export function maxAndMedian(values: readonly number[]): MaxAndMedian {
  return { max: values.length === 0 ? null : Math.max(...values), median: median(values) };
}

/** Largest over mean of one sample; null when the sample is empty or all zero. */
export function peakToMean(values: readonly number[]): number | null {
  const average = mean(values);
  return average === null || average === 0 ? null : Math.max(...values) / average;
}

/** Population standard deviation over mean; null when the sample is empty or all zero. */
export function coefficientOfVariation(values: readonly number[]): number | null {
  const average = mean(values);
  if (average === null || average === 0) return null;
  const variance = mean(values.map((value) => (value - average) ** 2))!;
  return Math.sqrt(variance) / average;
}

/** Mean over many samples of a figure of each; samples without the figure are left out. */
export function meanOverSamples(
  samples: readonly (readonly number[])[],
  figure: (values: readonly number[]) => number | null,
): number | null {
  return mean(samples.map(figure).filter((value) => value !== null));
}
