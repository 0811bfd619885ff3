/** Token bucket that limits the rate of lookups. */
import { LOOKUP_BURST, LOOKUPS_PER_SECOND } from './constants.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Holds up to `LOOKUP_BURST` tokens. Times are monotonic ms. */
export class LookupBudget {
  private tokens = LOOKUP_BURST;
  private refilledAtMs = 0;

  /** Takes a token. Returns false if none is left. */
  tryTake(nowMs: number): boolean {
    const refill = ((nowMs - this.refilledAtMs) * LOOKUPS_PER_SECOND) / MILLISECONDS_PER_SECOND;
    this.tokens = Math.min(LOOKUP_BURST, this.tokens + refill);
    this.refilledAtMs = nowMs;
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
