/** A wait that ends early when its caller is ended. */
import type { Clock } from './clock.js';

/** Resolves after `waitMs` on `clock`, or when `signal` aborts. */
export function pause(clock: Clock, waitMs: number, signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const timer = clock.schedule(waitMs, done);
    function done(): void {
      timer.cancel();
      signal.removeEventListener('abort', done);
      resolve();
    }
    signal.addEventListener('abort', done);
  });
}
