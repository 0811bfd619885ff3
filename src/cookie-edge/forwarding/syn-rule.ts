/**
 * Rule: whether a SYN is stale, is a retransmission or starts a new flow.
 *
 * Prevents a flow from being opened at two back ends: while a SYN waits in the socket during a pause of the process,
 * its caller may retransmit it and a peer may place the retransmission. Does no input or output.
 *
 * Inputs: the SYN's retransmission count, the phase of the cached flow with the same addresses, and whether the packet
 * may have waited through a pause (`PauseDetector`). Order: the pause is tested first, because a cached flow may have
 * ended during it. Then a first SYN with the addresses of a closed flow starts a new flow. A retransmission without a
 * cached flow is placed like a first SYN, because the first one may have been lost or have reached another daemon.
 */
import type { FlowPhase } from './flow-cache.js';

/** `stale`: the SYN may have waited through a pause. `retransmission`: its flow is cached. */
export type SynKind = 'stale' | 'retransmission' | 'new-flow';

/** Classifies a SYN. `phase` is undefined if no flow with its addresses is cached. */
export function classifySyn(
  retransmissionCount: number,
  phase: FlowPhase | undefined,
  mayHaveWaited: boolean,
): SynKind {
  if (mayHaveWaited) return 'stale';
  if (phase === undefined) return 'new-flow';
  return phase === 'closing' && retransmissionCount === 0 ? 'new-flow' : 'retransmission';
}
