/**
 * Budget of retries on another back end, as a share of openings. The flow keeper asks it before it repeats an
 * opening whose back end has accepted nothing; a retry after acceptance is never made and so never asked for.
 */
import type { Clock } from '../../common/clock.js';
import { RETRY_FLOOR_PER_SECOND, RETRY_WINDOW_MS } from './constants.js';
import { TokenBucket } from './token-bucket.js';

/** Options of `RetryBudget`. */
interface RetryBudgetOptions {
  readonly clock: Clock;
  /** Share (0–1) of openings that may be retried. */
  readonly share: () => number;
}

/** Earns `share` tokens with each opening, plus a small floor a second; each retry costs one. */
export class RetryBudget {
  private readonly earned: TokenBucket;
  private recentOpenings = 0;
  private countedAtMs: number;

  constructor(private readonly options: RetryBudgetOptions) {
    this.earned = new TokenBucket(options.clock, RETRY_FLOOR_PER_SECOND, RETRY_FLOOR_PER_SECOND);
    this.countedAtMs = options.clock.now();
  }

  /** Counts one first attempt. */
  recordOpening(): void {
    this.decay();
    this.recentOpenings += 1;
    const share = this.options.share();
    this.earned.configure(
      RETRY_FLOOR_PER_SECOND,
      Math.max(RETRY_FLOOR_PER_SECOND, this.recentOpenings * share),
    );
    this.earned.add(share);
  }

  /** Takes one retry from the budget; false when it is spent. A share of 0 turns retries off. */
  tryRetry(): boolean {
    return this.options.share() > 0 && this.earned.take();
  }

  private decay(): void {
    const nowMs = this.options.clock.now();
    this.recentOpenings *= Math.exp(-(nowMs - this.countedAtMs) / RETRY_WINDOW_MS);
    this.countedAtMs = nowMs;
  }
}
