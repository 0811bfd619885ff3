/**
 * Exception budget: the share of openings that may be exceptions, from the bytes a second that their records may cost.
 *
 * Owns the rate of openings. Relies on its owner to count each opening.
 */
import type { Clock } from '../../common/clock.js';
import { BYTES_PER_EXCEPTION, EXCEPTION_RATE_WINDOW_MS, TARGET_EXCEPTION_SHARE } from './constants.js';
import { DecayingRate } from '../../common/decaying-rate.js';
import { exceptionShareForBudget } from './policy-options.js';

const MS_PER_SECOND = 1_000;

/** What an exception budget is made with. */
interface ExceptionBudgetOptions {
  readonly clock: Clock;
  /** Bytes a second that the records of exceptions may cost this balancer. */
  readonly bytesPerSecond: number;
}

/** Counts openings and lowers the target share as they become more than the budget carries. */
export class ExceptionBudget {
  private readonly openings = new DecayingRate(EXCEPTION_RATE_WINDOW_MS);

  constructor(private readonly options: ExceptionBudgetOptions) {}

  /** Counts one opening; the result is the share (0–1) of openings that may be exceptions now. */
  readonly countOpening = (): number => {
    this.openings.count(this.options.clock.now());
    return exceptionShareForBudget(
      this.options.bytesPerSecond,
      this.openings.perMs * MS_PER_SECOND,
      BYTES_PER_EXCEPTION,
      TARGET_EXCEPTION_SHARE,
    );
  };
}
