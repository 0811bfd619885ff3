/**
 * Counts failures of flows against their back ends: unanswered openings and retransmitted data. `LocalBackendStates`
 * decides on the ejection; `DeadBackends` sends the probes that a failure triggers.
 */
import type { MechanismCheck } from '../../common/mechanisms.js';
import type { LocalBackendStates, DeadBackends } from '../backend-health/index.js';
import type { Flow } from './flow-cache.js';

/** Dependencies of `FlowFailures`. */
interface FlowFailuresOptions {
  readonly states: LocalBackendStates;
  readonly deadBackends: DeadBackends;
  readonly isOn: MechanismCheck;
}

/** Counts each failure at most once. Times are monotonic ms. */
export class FlowFailures {
  constructor(private readonly options: FlowFailuresOptions) {}

  /**
   * Counts a failure that began at `sinceMs` against the flow's back end. Each opening and each piece of data counts
   * once, so that a single caller that retransmits often cannot eject a back end.
   */
  recordFailure(flow: Flow, sinceMs: number, nowMs: number): void {
    const { states, deadBackends, isOn } = this.options;
    if (flow.isFailureCounted) return;
    flow.isFailureCounted = true;
    if (!isOn('passive-health')) return;
    states.recordFailure(flow.backendState, sinceMs, nowMs);
    deadBackends.probeIfNeeded(flow.backendState);
  }
}
