/**
 * Waits until no data packet arrives any more, within a longest time.
 *
 * Owns nothing. Relies on a count of packets that only rises.
 */
import type { Clock } from './clock.js';

/** How often a stopping daemon looks whether packets still arrive, in ms. Not measured; chosen small against the seconds of a drain. */
const DRAIN_POLL_INTERVAL_MS = 100;

/** What the wait looks at. */
interface DrainOptions {
  readonly clock: Clock;
  /** Data packets received since start. */
  readonly packetsReceived: () => number;
  /** The wait ends after this long without a packet. */
  readonly quietMs: number;
  /** It ends after this long in any case. */
  readonly maxMs: number;
}

/** Resolves to true when it became quiet, to false when the longest time passed first. */
export async function waitUntilQuiet(options: DrainOptions): Promise<boolean> {
  const { clock, packetsReceived, quietMs, maxMs } = options;
  const startedMs = clock.now();
  let lastCount = packetsReceived();
  let lastChangeMs = startedMs;
  while (clock.now() - startedMs < maxMs) {
    await delay(clock, DRAIN_POLL_INTERVAL_MS);
    const count = packetsReceived();
    if (count !== lastCount) lastChangeMs = clock.now();
    lastCount = count;
    if (clock.now() - lastChangeMs >= quietMs) return true;
  }
  return false;
}

/** Resolves after `milliseconds` on `clock`. */
export function delay(clock: Clock, milliseconds: number): Promise<void> {
  return new Promise((resolve) => clock.schedule(milliseconds, resolve));
}
