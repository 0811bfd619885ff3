/**
 * Rule: in which order a daemon stops, and how long it keeps forwarding.
 *
 * Prevents packets that reach a closed socket while routers still send them. The daemon is unready from the request
 * on. It forwards for `minMs` in any case, because routers need failed readiness probes to notice, and then until no
 * packet came for `quietMs`, but for `maxMs` in all (`waitUntilQuiet` decides that). Until then it takes part in
 * gossip; then it announces its leave, cancels its timers, ends the calls to the source, and closes the sockets
 * together.
 */
import type { Clock } from '../../common/clock.js';
import { delay, waitUntilQuiet } from '../../common/drain.js';

/** Times of a stop in ms; see the fields of the configuration. */
interface DrainTimes {
  readonly minMs: number;
  readonly quietMs: number;
  readonly maxMs: number;
}

/** What a stop acts on, in the order of its use. */
interface ShutdownSteps {
  readonly clock: Clock;
  /** Packets received since start. */
  readonly packetsReceived: () => number;
  /** Called when packets still arrive at the end of the longest time. */
  readonly onTimeout: () => void;
  /** Announces to peers that this daemon stops. */
  readonly leave: () => void;
  /** Cancels the timers of forwarding and gossip. */
  readonly cancelTimers: () => void;
  readonly stopReading: () => void;
  /** Closes all sockets. */
  readonly close: () => Promise<unknown>;
}

/** Drains and stops; resolves when the sockets are closed. */
export async function shutDown({ minMs, quietMs, maxMs }: DrainTimes, steps: ShutdownSteps): Promise<void> {
  const { clock, packetsReceived } = steps;
  await delay(clock, minMs);
  const isQuiet = await waitUntilQuiet({ clock, quietMs, maxMs: maxMs - minMs, packetsReceived });
  if (!isQuiet) steps.onTimeout();
  steps.leave();
  steps.cancelTimers();
  steps.stopReading();
  await steps.close();
}
