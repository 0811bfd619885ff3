/**
 * Notices that the process stood still. What waited in the socket meanwhile is old: a copy of a SYN may long have opened
 * its flow through another balancer, so that it must not open it again.
 */
import { BACKLOG_MS, PAUSE_MS, TICK_MS } from './constants.js';

/** See the module. Times are monotonic ms. */
export class PauseDetector {
  private lastTickMs: number;
  private backlogUntilMs = Number.NEGATIVE_INFINITY;

  constructor(nowMs: number) {
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
    const lateMs = nowMs - this.lastTickMs - TICK_MS;
    return lateMs >= PAUSE_MS ? lateMs : 0;
  }
}
