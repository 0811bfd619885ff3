/**
 * A histogram of milliseconds with fixed bounds, cheap enough for the packet path.
 *
 * Owns the counts. Relies on its caller for the times.
 */

/** Upper bounds of the buckets in ms; one more bucket takes the rest. A 1-2-5 series. */
const LATENCY_BOUNDS_MS: readonly number[] = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000];

export class LatencyHistogram {
  private readonly counts = new Array<number>(LATENCY_BOUNDS_MS.length + 1).fill(0);
  private sumMs = 0;
  private observed = 0;

  observe(milliseconds: number): void {
    let bucket = 0;
    while (bucket < LATENCY_BOUNDS_MS.length && milliseconds > LATENCY_BOUNDS_MS[bucket]!) bucket += 1;
    this.counts[bucket]! += 1;
    this.sumMs += milliseconds;
    this.observed += 1;
  }

  get count(): number {
    return this.observed;
  }

  /** Lines of one Prometheus histogram in seconds; `name` without a suffix. */
  render(name: string, help: string): string[] {
    let below = 0;
    const buckets = this.counts.map((count, index) => {
      below += count;
      const bound = LATENCY_BOUNDS_MS[index];
      return `${name}_bucket{le="${bound === undefined ? '+Inf' : bound / 1_000}"} ${below}`;
    });
    const head = [`# HELP ${name} ${help}`, `# TYPE ${name} histogram`];
    return [...head, ...buckets, `${name}_sum ${this.sumMs / 1_000}`, `${name}_count ${this.observed}`];
  }
}
