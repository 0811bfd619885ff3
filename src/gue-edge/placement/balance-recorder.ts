/** Collects how evenly flows are spread, over samples of the counts of all back ends. */

/** Imbalance averaged over the samples. */
export interface Imbalance {
  /** Mean over time of the largest count over the mean count; 1 is even. */
  readonly peakToMean: number;
  /** Mean over time of the standard deviation over the mean count. */
  readonly coefficientOfVariation: number;
  readonly samples: number;
}

/** Averages over samples; a sample with no flow at all is left out. */
export class ImbalanceRecorder {
  private peakSum = 0;
  private variationSum = 0;
  private samples = 0;

  /** Takes one sample: the flows of each back end. */
  sample(counts: readonly number[]): void {
    const mean = counts.reduce((sum, count) => sum + count, 0) / counts.length;
    if (!(mean > 0)) return;
    const variance = counts.reduce((sum, count) => sum + (count - mean) ** 2, 0) / counts.length;
    this.peakSum += Math.max(...counts) / mean;
    this.variationSum += Math.sqrt(variance) / mean;
    this.samples += 1;
  }

  result(): Imbalance {
    const { samples } = this;
    return {
      peakToMean: this.peakSum / samples,
      coefficientOfVariation: this.variationSum / samples,
      samples,
    };
  }
}
