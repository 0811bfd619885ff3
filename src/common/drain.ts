/**
 * Rule: how long a stopping daemon waits for its packets to end, and the wait that carries it out.
 *
 * Prevents two failures: packets that reach a closed socket because routers still send them, and a daemon that never
 * ends because some caller does not stop. `judgeDrain` does no input or output; `waitUntilQuiet` counts packets at
 * intervals and owns the timer.
 *
 * Order: silence is tested before the longest time, so that a daemon which becomes quiet just then counts as drained.
 */
import type { Clock } from './clock.js';

/** Interval in ms at which a stopping daemon counts packets; silence is recognized up to this much late. */
const DRAIN_POLL_INTERVAL_MS = 100;

/** Times of a wait in ms. */
interface DrainTimes {
  /** The wait ends after this long without a packet. */
  readonly quietMs: number;
  /** It ends after this long in any case. */
  readonly maxMs: number;
}

/** What the wait looks at. */
interface DrainOptions extends DrainTimes {
  readonly clock: Clock;
  /** Data packets received since start. */
  readonly packetsReceived: () => number;
}

/** `quiet`: no packet came for the quiet time. `timed-out`: packets still came at the end of the longest time. */
export type DrainOutcome = 'quiet' | 'timed-out' | 'wait';

/**
 * Decides whether the wait ends.
 *
 * @param sincePacketMs time since a packet was last seen to have come, or since the wait began
 * @param sinceStartMs time since the wait began
 */
export function judgeDrain(
  sincePacketMs: number,
  sinceStartMs: number,
  { quietMs, maxMs }: DrainTimes,
): DrainOutcome {
  if (sincePacketMs >= quietMs) return 'quiet';
  return sinceStartMs >= maxMs ? 'timed-out' : 'wait';
}

/**
 * Resolves to true when it became quiet, to false when the longest time passed first; at once where that is 0 or less.
 */
export async function waitUntilQuiet(options: DrainOptions): Promise<boolean> {
  const { clock, packetsReceived, maxMs } = options;
  if (maxMs <= 0) return false;
  const startedMs = clock.now();
  let lastCount = packetsReceived();
  let lastPacketMs = startedMs;
  let outcome: DrainOutcome;
  do {
    await delay(clock, DRAIN_POLL_INTERVAL_MS);
    const count = packetsReceived();
    const nowMs = clock.now();
    if (count !== lastCount) lastPacketMs = nowMs;
    lastCount = count;
    outcome = judgeDrain(nowMs - lastPacketMs, nowMs - startedMs, options);
  } while (outcome === 'wait');
  return outcome === 'quiet';
}

/** Resolves after `milliseconds` on `clock`. */
export function delay(clock: Clock, milliseconds: number): Promise<void> {
  return new Promise((resolve) => clock.schedule(milliseconds, resolve));
}
