/**
 * A rate of events that forgets old ones exponentially.
 *
 * Owns one weight and when it was last brought up to date. Relies on its caller for monotonic times.
 */
export class DecayingRate {
  private recent = 0;
  private countedAtMs = 0;

  /** @param windowMs time over which an event's weight falls to 1/e */
  constructor(private readonly windowMs: number) {}

  /** Counts one event. */
  count(nowMs: number): void {
    this.recent = this.recentAt(nowMs) + 1;
    this.countedAtMs = nowMs;
  }

  /** Events that are not forgotten yet, as of `nowMs`. */
  recentAt(nowMs: number): number {
    return this.recent * Math.exp(-(nowMs - this.countedAtMs) / this.windowMs);
  }

  /** Events a ms as of the last one; an underestimate during the first window. */
  get perMs(): number {
    return this.recent / this.windowMs;
  }
}
