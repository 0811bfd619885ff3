/**
 * A wait that ends early when its caller is ended.
 *
 * Owns the timer of one wait. Relies on the clock that it is given.
 */
import type { Clock } from './clock.js';

/** Resolves after `waitMs` on `clock`, or when `signal` aborts; at once when it has aborted before. */
export function pause(clock: Clock, waitMs: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const done = (): void => {
      timer.cancel();
      signal?.removeEventListener('abort', done);
      resolve();
    };
    const timer = clock.schedule(waitMs, done);
    if (signal?.aborted) return done();
    signal?.addEventListener('abort', done, { once: true });
  });
}
