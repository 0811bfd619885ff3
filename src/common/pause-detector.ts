/**
 * Notices that the process stood still. What waited in a socket meanwhile is old: a copy of a SYN may long have opened its
 * flow through another balancer, and a message between daemons seems newer than it is.
 */

/** A tick this late means that the process stood still. */
const PAUSE_MS = 150;

/** What is read this long after a pause may have waited through it. */
const BACKLOG_MS = 50;

/** See the module. Times are monotonic ms. */
export class PauseDetector {
  private lastTickMs: number;
  private backlogUntilMs = Number.NEGATIVE_INFINITY;

  /** @param tickMs time between two calls of `noteTick` */
  constructor(
    nowMs: number,
    private readonly tickMs: number,
  ) {
    this.lastTickMs = nowMs;
  }

  /** Notes a tick of the housekeeping timer; returns the length of the pause before it, or 0. */
  noteTick(nowMs: number): number {
    const pausedMs = this.pausedFor(nowMs);
    this.lastTickMs = nowMs;
    if (pausedMs > 0) this.backlogUntilMs = nowMs + BACKLOG_MS;
    return pausedMs;
  }

  /** True when a packet that is read now may have waited through a pause. */
  mayBeOld(nowMs: number): boolean {
    return nowMs < this.backlogUntilMs || this.pausedFor(nowMs) > 0;
  }

  private pausedFor(nowMs: number): number {
    const lateMs = nowMs - this.lastTickMs - this.tickMs;
    return lateMs >= PAUSE_MS ? lateMs : 0;
  }
}
