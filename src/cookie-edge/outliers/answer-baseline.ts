/**
 * Decides whether an answer is slow or short for its route. Estimates the median time and the minimum length of one
 * route's usual answers (those that are not short) in constant space, and owns these estimates. Until there are enough
 * answers for an estimate, no answer is slow or short. Pure computation without I/O.
 */
import {
  MEDIAN_WARMUP_ANSWERS,
  USUAL_LENGTH_RISE,
  MEDIAN_STEP,
  MIN_ANSWERS_FOR_MEDIAN,
  MIN_ANSWERS_FOR_LENGTH,
  USUAL_LENGTH_FALL,
  SHORT_ANSWER_SHARE,
  MIN_SLOW_MS,
} from './constants.js';

/** Median time and minimum usual length of one route's answers. */
export class AnswerBaseline {
  private usualAnswerCount = 0;
  private medianEstimateMs = 0;
  private minUsualBytes = Number.POSITIVE_INFINITY;

  /**
   * Records an answer.
   *
   * @param durationMs time to the first acknowledgement
   * @param bytes answer bytes covered by that acknowledgement; the whole answer if it is short
   */
  recordAnswer(durationMs: number, bytes: number): void {
    if (this.isShort(bytes)) {
      this.minUsualBytes *= 1 - USUAL_LENGTH_FALL;
      return;
    }
    this.usualAnswerCount += 1;
    this.minUsualBytes = Math.min(bytes, this.minUsualBytes * (1 + USUAL_LENGTH_RISE));
    if (this.usualAnswerCount === 1) {
      this.medianEstimateMs = durationMs;
      return;
    }
    const step = MEDIAN_STEP + 1 / (this.usualAnswerCount + MEDIAN_WARMUP_ANSWERS);
    this.medianEstimateMs *= durationMs > this.medianEstimateMs ? 1 + step : 1 / (1 + step);
  }

  /** Estimated median time in ms; undefined before `MIN_ANSWERS_FOR_MEDIAN` answers. */
  get medianMs(): number | undefined {
    return this.usualAnswerCount >= MIN_ANSWERS_FOR_MEDIAN ? this.medianEstimateMs : undefined;
  }

  /** True if an answer that takes `durationMs` is slow: at least `MIN_SLOW_MS` and `factor` times the median. */
  isSlow(durationMs: number, factor: number): boolean {
    return durationMs >= MIN_SLOW_MS && this.medianMs !== undefined && durationMs >= this.medianMs * factor;
  }

  /** True for an answer much shorter than any usual one, as error responses are on routes whose answers carry data. */
  isShort(bytes: number): boolean {
    return this.usualAnswerCount >= MIN_ANSWERS_FOR_LENGTH && bytes < this.minUsualBytes * SHORT_ANSWER_SHARE;
  }
}
