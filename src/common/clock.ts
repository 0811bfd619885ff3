/**
 * Time source of every slice. Product code takes a `Clock`; tests pass a `VirtualClock` and step it.
 *
 * Owns no time of its own but that of a virtual clock. Relies on the monotonic clock of the process for intervals,
 * and on the wall clock for stamps that others read.
 */
import { TimerQueue, type QueuedTimer } from './timer-queue.js';

/** A pending timer. */
export interface TimerHandle {
  /** Cancels the timer; no effect once it has fired. */
  cancel(): void;
}

/** Monotonic and wall time, in milliseconds, with timers. */
export interface Clock {
  /** Monotonic milliseconds since an arbitrary start; keeps counting while the process is paused. */
  now(): number;
  /** Milliseconds since the Unix epoch. */
  wall(): number;
  /** Calls `callback` once after `delayMs`; the timer alone does not keep the process alive. */
  schedule(delayMs: number, callback: () => void): TimerHandle;
}

/** The process's own clock. */
export class SystemClock implements Clock {
  now(): number {
    return performance.now();
  }

  wall(): number {
    return Date.now();
  }

  schedule(delayMs: number, callback: () => void): TimerHandle {
    const timer = setTimeout(callback, delayMs);
    timer.unref();
    return { cancel: () => clearTimeout(timer) };
  }
}

/** A clock that moves only when a test says so; timers fire in due order, ties in creation order. */
export class VirtualClock implements Clock {
  private currentMs = 0;
  private nextOrder = 0;
  private readonly timers = new TimerQueue();

  constructor(private readonly wallOffsetMs = 1_700_000_000_000) {}

  now(): number {
    return this.currentMs;
  }

  wall(): number {
    return this.wallOffsetMs + this.currentMs;
  }

  schedule(delayMs: number, callback: () => void): TimerHandle {
    const dueMs = this.currentMs + Math.max(0, delayMs);
    const timer: QueuedTimer = { dueMs, order: this.nextOrder, callback, cancelled: false };
    this.nextOrder += 1;
    this.timers.push(timer);
    return {
      cancel: () => {
        timer.cancelled = true;
      },
    };
  }

  /** Moves time forward by `milliseconds`, firing each timer that falls due at its own time. */
  advance(milliseconds: number): void {
    const target = this.currentMs + milliseconds;
    for (let timer = this.timers.popDue(target); timer; timer = this.timers.popDue(target)) {
      this.currentMs = Math.max(this.currentMs, timer.dueMs);
      timer.callback();
    }
    this.currentMs = target;
  }

  /** Moves time forward in steps, letting promise callbacks run between the steps. */
  async advanceAsync(milliseconds: number, stepMs = 10): Promise<void> {
    for (let moved = 0; moved < milliseconds; moved += stepMs) {
      this.advance(Math.min(stepMs, milliseconds - moved));
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
}
