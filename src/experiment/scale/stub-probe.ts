/** The probe of hollow daemons: every back end is healthy and idle, and nothing leaves the process. */
import type { Probe } from '../../health/index.js';

/** Body of a load answer; the listeners of a host process send the same. */
export const IDLE_LOAD = { openFlows: 0, busySlots: 0, capacity: 2_000 };
const IDLE_BODY = JSON.stringify(IDLE_LOAD);

/** A probe that counts its calls. */
export function stubProbe(counter: { count: number }): Probe {
  return async () => {
    counter.count += 1;
    return { status: 200, body: IDLE_BODY };
  };
}
