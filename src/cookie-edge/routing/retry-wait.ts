/**
 * Wait before the next call after a failed one. Its minimum depends on the number of daemons that share the source, and
 * these may become fewer while the wait lasts.
 */
export class RetryWait {
  private currentMs: number;

  /** `computeMs` returns the length in ms that the wait has in the present situation. */
  constructor(private readonly computeMs: () => number) {
    this.currentMs = computeMs();
  }

  /** Length in ms from the failure on. */
  get lengthMs(): number {
    return this.currentMs;
  }

  /** Shortens the wait if the present situation allows it. Never lengthens it. */
  shorten(): void {
    this.currentMs = Math.min(this.currentMs, this.computeMs());
  }
}
