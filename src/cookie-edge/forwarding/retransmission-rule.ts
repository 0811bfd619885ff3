/**
 * Rule: where a retransmitted SYN goes whose flow is remembered.
 *
 * Prevents both a flow that is opened at two back ends and a caller that spends all its attempts on one that does not
 * answer. Does no input or output.
 *
 * Inputs: the phase of the flow, the liveness of its back end, the back end that a new flow would get now. Order: a
 * flow that its caller continued stays; so does one whose back end is not ejected or dead, even if it is suspect,
 * cordoned or draining, since its answer may be on its way. Only then another back end is chosen. Where none is found,
 * or the same one, the flow stays.
 */
import type { LocalBackendState, Liveness } from '../backend-health/index.js';
import type { Placement } from '../placement/index.js';
import type { FlowPhase } from './flow-cache.js';

/** Where the SYN goes. */
type RetransmissionOutcome = 'first-back-end' | 'another-back-end';

/** True when another back end is worth choosing; a dead verdict counts as an ejection here. */
export function mayLeaveFirstBackend(phase: FlowPhase, liveness: Liveness): boolean {
  return phase === 'opening' && liveness === 'ejected';
}

/** The outcome for a flow that may leave its back end; `alternative` is what a new flow would get. */
export function decideRetransmission(
  first: LocalBackendState,
  alternative: Placement | undefined,
): RetransmissionOutcome {
  return alternative && alternative.state !== first ? 'another-back-end' : 'first-back-end';
}
