/**
 * Timers that notice when the process did not run: a pause is reported before any late timer does its work.
 *
 * Owns the time of the last pause. Relies on the lateness of its own timers: a process that does not run notices
 * only afterwards.
 */
import type { Clock, TimerHandle } from '../../common/clock.js';
import { Subject } from '../../common/event-stream.js';

/** A clock whose timers report lateness above a threshold; one report for each pause. */
export class GuardedTimers {
  /** The time that the process lost, in ms; pushed before the late timer's own callback runs. */
  readonly pauses = new Subject<number>();
  private lastPauseMs = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly thresholdMs: number,
  ) {}

  now(): number {
    return this.clock.now();
  }

  /** As `Clock.schedule`; a callback cancelled by the pause listener does not run. */
  schedule(delayMs: number, callback: () => void): TimerHandle {
    const dueMs = this.clock.now() + delayMs;
    let cancelled = false;
    const timer = this.clock.schedule(delayMs, () => {
      this.checkLateness(dueMs);
      if (!cancelled) callback();
    });
    return {
      cancel: () => {
        cancelled = true;
        timer.cancel();
      },
    };
  }

  private checkLateness(dueMs: number): void {
    const nowMs = this.clock.now();
    const lateMs = nowMs - dueMs;
    if (lateMs < this.thresholdMs || dueMs <= this.lastPauseMs) return;
    this.lastPauseMs = nowMs;
    this.pauses.push(lateMs);
  }
}
