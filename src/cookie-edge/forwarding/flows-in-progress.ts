/**
 * Flows that this daemon opened during a return and whose first request is not answered yet, by service. Flows that
 * were opened before are left out: the callers of many of them have given up meanwhile, so that what they asked is
 * never seen to be answered. Owns only the set; relies on `FlowFollower` to keep the flows' state.
 */
import { STALE_REQUEST_MS } from './constants.js';
import type { Flow } from './flow-cache.js';

/** The flows in progress of one daemon. */
export class FlowsInProgress {
  private readonly flows = new Set<Flow>();

  /** Records a flow that was just opened. */
  add(flow: Flow): void {
    this.flows.add(flow);
  }

  /** Flows at a service that are in progress at `nowMs`, monotonic ms. */
  countForService(service: string, nowMs: number): number {
    let count = 0;
    for (const flow of this.flows) {
      if (!isInProgress(flow, nowMs)) this.flows.delete(flow);
      else if (flow.state.backend.record.service === service) count += 1;
    }
    return count;
  }
}

/** A flow whose request takes unusually long is left out: it would keep others waiting for nothing. */
function isInProgress(
  { phase, openedAtMs, highestDataSequence: dataSequence, request }: Flow,
  nowMs: number,
): boolean {
  if (nowMs - openedAtMs >= STALE_REQUEST_MS || phase === 'closing') return false;
  return phase === 'opening' || dataSequence < 0 || request !== undefined;
}
