/**
 * Rule: what a SYN is to this balancer.
 *
 * Prevents one flow from being opened at two back ends: a SYN that waited in the socket while the process was paused
 * may have been retransmitted meanwhile, and another balancer may have placed the retransmission. Does no input or
 * output.
 *
 * Inputs: the SYN's retransmission count, the phase of the flow that is remembered with the same addresses, and whether
 * the packet may have waited through a pause (`PauseDetector`). Order: the pause is tested first, since a flow that is
 * remembered may have ended during it. Then a first SYN whose ports belong to a closed flow starts a new one. Missing
 * knowledge: a retransmission of which no flow is remembered is placed like a first SYN, because the first one may have
 * reached another balancer, or none.
 */
import type { FlowPhase } from './flow-cache.js';

/** `stale`: it may have waited through a pause. `retransmission`: its flow is remembered. */
export type SynKind = 'stale' | 'retransmission' | 'new-flow';

/** Classifies a SYN; `phase` is undefined when no flow with its addresses is remembered. */
export function classifySyn(
  retransmissionCount: number,
  phase: FlowPhase | undefined,
  mayHaveWaited: boolean,
): SynKind {
  if (mayHaveWaited) return 'stale';
  if (phase === undefined) return 'new-flow';
  return phase === 'closing' && retransmissionCount === 0 ? 'new-flow' : 'retransmission';
}
