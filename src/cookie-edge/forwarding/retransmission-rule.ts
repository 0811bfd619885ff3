/**
 * Rule: which back end receives a retransmitted SYN of a cached flow.
 *
 * Prevents a flow from being opened at two back ends, and a caller from spending all its attempts on a back end that
 * does not respond. Does no input or output.
 *
 * Inputs: the phase of the flow, the liveness of its back end, and the back end that a new flow would get now. Order: a
 * flow that its caller has continued stays. So does a flow whose back end is neither ejected nor dead, even if it is
 * suspect, cordoned or draining, because its response may be on the way. Otherwise the flow goes to the back end that a
 * new flow would get; it stays if there is none, or if it is the same one.
 */
import type { LocalBackendState, Liveness } from '../backend-health/index.js';
import type { Placement } from '../placement/index.js';
import type { FlowPhase } from './flow-cache.js';

/** Which back end receives the retransmitted SYN. */
type RetransmissionOutcome = 'first-back-end' | 'another-back-end';

/** Returns true if another back end should be considered. A dead verdict counts as an ejection here. */
export function mayLeaveFirstBackend(phase: FlowPhase, liveness: Liveness): boolean {
  return phase === 'opening' && liveness === 'ejected';
}

/**
 * Returns the outcome for a flow that may leave its back end. `alternative` is the placement that a new flow would get.
 */
export function decideRetransmission(
  first: LocalBackendState,
  alternative: Placement | undefined,
): RetransmissionOutcome {
  return alternative && alternative.state !== first ? 'another-back-end' : 'first-back-end';
}
