/** Timers that notice when the process did not run: a pause is reported before any late timer does its work. */
import type { Clock, TimerHandle } from '../../common/clock.js';

/** Called with the time the process lost, in ms, before the late timer's own callback. */
type PauseListener = (lostMs: number) => void;

/** A clock whose timers report lateness above a threshold; one report for each pause. */
export class GuardedTimers {
  private lastPauseMs = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly thresholdMs: number,
    private readonly onPause: PauseListener,
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
    this.onPause(lateMs);
  }
}
