/**
 * Tracks the flows that this daemon opened during a recovery (see `RecoveryAdmission`) and whose first request is
 * not answered yet. Flows opened earlier are excluded: many of their callers have given up meanwhile, so the daemon
 * would never see their requests answered. `FlowTracker` updates the flows.
 */
import { STALE_REQUEST_MS } from './constants.js';
import type { Flow } from './flow-cache.js';

/** Flows in progress of one daemon. */
export class FlowsInProgress {
  private readonly flows = new Set<Flow>();

  /** Adds a flow that was just opened. */
  add(flow: Flow): void {
    this.flows.add(flow);
  }

  /** Counts the flows of a service that are in progress at `nowMs`, in monotonic ms. */
  countForService(service: string, nowMs: number): number {
    let count = 0;
    for (const flow of this.flows) {
      if (!isInProgress(flow, nowMs)) this.flows.delete(flow);
      else if (flow.backendState.backend.record.service === service) count += 1;
    }
    return count;
  }
}

/**
 * Returns false for a flow older than `STALE_REQUEST_MS`, because a single unusually slow request would needlessly
 * delay other openings.
 */
function isInProgress(
  { phase, openedAtMs, highestDataSequence: dataSequence, request }: Flow,
  nowMs: number,
): boolean {
  if (nowMs - openedAtMs >= STALE_REQUEST_MS || phase === 'closing') return false;
  return phase === 'opening' || dataSequence < 0 || request !== undefined;
}
