/**
 * A clock for one simulated process that can be paused while time goes on for the others.
 *
 * Owns the timers held while it is paused. Relies on the clock of the simulation.
 */
import type { Clock, TimerHandle } from '../../common/clock.js';

interface HeldTimer {
  cancelled: boolean;
  readonly callback: () => void;
}

/** While paused, timers that fall due are held and run on `resume`; `now` and `wall` keep counting. */
export class PausableClock implements Clock {
  private paused = false;
  private readonly held: HeldTimer[] = [];

  constructor(private readonly clock: Clock) {}

  now(): number {
    return this.clock.now();
  }

  wall(): number {
    return this.clock.wall();
  }

  schedule(delayMs: number, callback: () => void): TimerHandle {
    const timer: HeldTimer = { cancelled: false, callback };
    const handle = this.clock.schedule(delayMs, () => this.fire(timer));
    return {
      cancel: () => {
        timer.cancelled = true;
        handle.cancel();
      },
    };
  }

  pause(): void {
    this.paused = true;
  }

  resume(): void {
    this.paused = false;
    for (const timer of this.held.splice(0)) this.fire(timer);
  }

  private fire(timer: HeldTimer): void {
    if (this.paused) this.held.push(timer);
    else if (!timer.cancelled) timer.callback();
  }
}
