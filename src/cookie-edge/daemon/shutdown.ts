/**
 * Stops a daemon: defines the order of the steps and how long the daemon keeps forwarding.
 *
 * Prevents routers from sending packets to a closed socket. The daemon reports itself not ready from the stop request
 * on. It forwards for at least `minMs`, because routers notice only after failed readiness probes. It then forwards
 * until no packet has arrived for `quietMs`, but for no more than `maxMs` in total (`waitUntilQuiet` decides this), and
 * takes part in gossip all that time. Finally it announces its leave, cancels its timers, aborts the calls to the
 * source and closes all sockets at once.
 */
import type { Clock } from '../../common/clock.js';
import { delay, waitUntilQuiet } from '../../common/drain.js';

/** Durations in ms; see `drain` in the configuration. */
interface DrainTimes {
  readonly minMs: number;
  readonly quietMs: number;
  readonly maxMs: number;
}

/** Steps of a stop and their dependencies, in order of use. */
interface ShutdownSteps {
  readonly clock: Clock;
  /** Packets received since start. */
  readonly packetsReceived: () => number;
  /** Called if packets still arrive when `maxMs` has passed. */
  readonly onTimeout: () => void;
  /** Announces to the peers that this daemon leaves. */
  readonly leave: () => void;
  /** Cancels the timers of forwarding and gossip. */
  readonly cancelTimers: () => void;
  /** Aborts the calls to the source. */
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
