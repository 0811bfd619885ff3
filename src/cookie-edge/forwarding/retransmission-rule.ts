/**
 * Rule: which back end receives a retransmitted SYN of a cached flow.
 *
 * Prevents a flow from being opened at two back ends, a caller from spending all its attempts on a back end that does
 * not respond, and a flow from being opened at a back end that may not get new flows any more. Does no input or output.
 *
 * Inputs: the phase of the flow, the liveness of its back end, whether that back end leaves or is no longer a target of
 * the route, and the back end that a new flow would get now. Order: a flow that its caller has continued stays. A back
 * end that has left the route is left, because the first SYN may be lost and the retransmission would open the flow
 * long after the change. So is an ejected or dead one. Any other back end keeps the flow, even if it is suspect or
 * cordoned, because its response may be on the way. A flow that moves goes to the back end that a new flow would get;
 * it stays if there is none, or if it is the same one.
 */
import type { LocalBackendState, Liveness } from '../backend-health/index.js';
import type { Placement } from '../placement/index.js';
import type { FlowPhase } from './flow-cache.js';

/** Which back end receives the retransmitted SYN. */
type RetransmissionOutcome = 'first-back-end' | 'another-back-end';

/**
 * Returns true if another back end should be considered. A dead verdict counts as an ejection here. `hasLeftRoute`: the
 * first back end leaves, or the route does not lead to its service any more.
 */
export function mayLeaveFirstBackend(phase: FlowPhase, liveness: Liveness, hasLeftRoute: boolean): boolean {
  return phase === 'opening' && (hasLeftRoute || liveness === 'ejected');
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
