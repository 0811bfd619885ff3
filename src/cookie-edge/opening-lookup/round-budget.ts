/** Limits how often a daemon sends a round of messages to its peers: a burst, and a constant rate after it. */
import { ROUND_BURST, ROUNDS_PER_SECOND } from './constants.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Token bucket of rounds. Times are monotonic ms. */
export class RoundBudget {
  /** Rounds that may be sent now, at most `ROUND_BURST`, as of `refilledAtMs`. */
  private available = ROUND_BURST;
  private refilledAtMs = 0;

  /** Takes a round. Returns false if none is available. */
  tryTake(nowMs: number): boolean {
    this.refill(nowMs);
    if (this.available < 1) return false;
    this.available -= 1;
    return true;
  }

  /** Returns the time in ms until a round is available. */
  untilAvailableMs(nowMs: number): number {
    this.refill(nowMs);
    return (Math.max(0, 1 - this.available) / ROUNDS_PER_SECOND) * MILLISECONDS_PER_SECOND;
  }

  private refill(nowMs: number): void {
    const refill = ((nowMs - this.refilledAtMs) * ROUNDS_PER_SECOND) / MILLISECONDS_PER_SECOND;
    this.available = Math.min(ROUND_BURST, this.available + refill);
    this.refilledAtMs = nowMs;
  }
}
