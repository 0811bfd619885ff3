/** Token bucket: owns the tokens, relies on a monotonic clock. */
import type { Clock } from '../../common/clock.js';

const MS_PER_SECOND = 1_000;

/** Holds up to `burst` tokens, refilled at a rate; starts full. */
export class TokenBucket {
  private tokens: number;
  private refilledAtMs: number;

  constructor(
    private readonly clock: Clock,
    private ratePerSecond: number,
    private burst: number,
  ) {
    this.tokens = burst;
    this.refilledAtMs = clock.now();
  }

  /** Changes rate and burst; tokens already held stay, up to the new burst. */
  configure(ratePerSecond: number, burst: number): void {
    if (ratePerSecond === this.ratePerSecond && burst === this.burst) return;
    this.refill();
    this.ratePerSecond = ratePerSecond;
    this.burst = burst;
    this.tokens = Math.min(this.tokens, burst);
  }

  /** True when a whole token is there. */
  available(): boolean {
    this.refill();
    return this.tokens >= 1;
  }

  /** Takes one token; false when there is none. */
  take(): boolean {
    if (!this.available()) return false;
    this.tokens -= 1;
    return true;
  }

  /** Adds tokens beyond the refill, up to the burst. */
  add(tokens: number): void {
    this.refill();
    this.tokens = Math.min(this.burst, this.tokens + tokens);
  }

  private refill(): void {
    const nowMs = this.clock.now();
    const gained = ((nowMs - this.refilledAtMs) * this.ratePerSecond) / MS_PER_SECOND;
    this.tokens = Math.min(this.burst, this.tokens + gained);
    this.refilledAtMs = nowMs;
  }
}
