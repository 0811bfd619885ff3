/**
 * Reports failures of flows: unanswered openings and retransmitted data. Relies on `LocalBackendStates` for the
 * ejection and on `DeadBackends` for the probes that a failure starts.
 */
import type { MechanismCheck } from '../../common/mechanisms.js';
import type { LocalBackendStates, DeadBackends } from '../backend-health/index.js';
import type { Flow } from './flow-cache.js';

/** What reporting needs. */
interface FlowFailuresOptions {
  readonly states: LocalBackendStates;
  readonly deadBackends: DeadBackends;
  readonly isOn: MechanismCheck;
}

/** Counts failures against back ends. */
export class FlowFailures {
  constructor(private readonly options: FlowFailuresOptions) {}

  /**
   * Counts a failure that began at `sinceMs` against the flow's back end, once for each opening and each piece of data:
   * a caller that repeats often must not eject a back end alone.
   */
  report(flow: Flow, sinceMs: number, nowMs: number): void {
    const { states, deadBackends, isOn } = this.options;
    if (flow.isFailureCounted) return;
    flow.isFailureCounted = true;
    if (!isOn('passive-health')) return;
    states.recordFailure(flow.state, sinceMs, nowMs);
    deadBackends.probeIfInDoubt(flow.state);
  }
}
