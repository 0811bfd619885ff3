/**
 * Rule: whether an answer is slow or short for its route. Estimates the median time and the least usual length of one
 * route's answers in constant space, and owns these estimates. Does no input or output. Before enough answers were seen
 * none is slow or short.
 */
import {
  FIRST_ANSWERS,
  LENGTH_RISE,
  MEDIAN_STEP,
  MIN_ANSWERS,
  MIN_ANSWERS_FOR_LENGTH,
  SHORT_FALL,
  SHORT_SHARE,
  SLOW_MIN_MS,
} from './constants.js';

/** Baseline of one route's answers. */
export class AnswerBaseline {
  private count = 0;
  private estimateMs = 0;
  private leastBytes = Number.POSITIVE_INFINITY;

  /** Records how long an answer took in ms, and how many of its bytes were acknowledged first: all of a short one. */
  record(tookMs: number, bytes: number): void {
    if (this.isShort(bytes)) {
      this.leastBytes *= 1 - SHORT_FALL;
      return;
    }
    this.count += 1;
    this.leastBytes = Math.min(bytes, this.leastBytes * (1 + LENGTH_RISE));
    if (this.count === 1) {
      this.estimateMs = tookMs;
      return;
    }
    const step = MEDIAN_STEP + 1 / (this.count + FIRST_ANSWERS);
    this.estimateMs *= tookMs > this.estimateMs ? 1 + step : 1 / (1 + step);
  }

  /** The median time in ms; undefined while too few answers were seen. */
  get medianMs(): number | undefined {
    return this.count >= MIN_ANSWERS ? this.estimateMs : undefined;
  }

  /** True for a time, in ms, of at least `SLOW_MIN_MS` and `factor` times the median. */
  isSlow(tookMs: number, factor: number): boolean {
    return tookMs >= SLOW_MIN_MS && this.medianMs !== undefined && tookMs >= this.medianMs * factor;
  }

  /** True for an answer much shorter than any usual one, as errors are where answers carry data. */
  isShort(bytes: number): boolean {
    return this.count >= MIN_ANSWERS_FOR_LENGTH && bytes < this.leastBytes * SHORT_SHARE;
  }
}
