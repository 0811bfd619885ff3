/**
 * Rule: whether a SYN is stale, is superseded, is a retransmission or starts a new flow.
 *
 * Prevents a flow from being opened at two back ends: while a SYN waits in the socket during a pause of the process,
 * its caller may retransmit it and a peer may place the retransmission. A SYN may also arrive after a peer asked about
 * a later copy of it, or after a packet of the open flow. Does no input or output.
 *
 * Inputs: the SYN's retransmission count, the phase of the cached flow with the same addresses, whether its route is in
 * force, whether the packet may have waited through a pause (`PauseDetector`), and whether the SYN is superseded: the
 * opening was left to a peer (`YieldedOpenings`), or a packet of the open flow waits for peers (`SharedHandshakes`).
 * Order: the pause is tested first, because a cached flow may have ended during it. A superseded SYN is dropped unless
 * this daemon has placed the flow since. Then a first SYN with the
 * addresses of a closed flow starts a new flow. So does a retransmission of an opening whose route was removed, which
 * is then refused like a first SYN. A retransmission without a cached flow is handled like a first SYN, because the
 * first one may have been lost or have reached another daemon; `opening-lookup` finds out whether a peer placed it.
 */
import type { FlowPhase } from './flow-cache.js';

/**
 * `stale`: the SYN may have waited through a pause. `superseded`: the opening is decided without it. `retransmission`:
 * its flow is cached.
 */
export type SynKind = 'stale' | 'superseded' | 'retransmission' | 'new-flow';

/** Inputs of the classification. */
interface SynEvidence {
  readonly retransmissionCount: number;
  /** Phase of the cached flow with the SYN's addresses; undefined if there is none. */
  readonly phase: FlowPhase | undefined;
  readonly hasRoute: boolean;
  readonly mayHaveWaited: boolean;
  /**
   * A peer was told that this daemon has not placed the opening, and has received a later copy of the SYN. Or its
   * caller has received a SYN+ACK, and this daemon is finding out from which back end.
   */
  readonly isSuperseded: boolean;
}

/** Classifies a SYN. */
export function classifySyn(evidence: SynEvidence): SynKind {
  const { retransmissionCount, phase, hasRoute, mayHaveWaited, isSuperseded } = evidence;
  if (mayHaveWaited) return 'stale';
  if (phase === undefined) return isSuperseded ? 'superseded' : 'new-flow';
  if (phase === 'opening' && !hasRoute) return 'new-flow';
  return phase === 'closing' && retransmissionCount === 0 ? 'new-flow' : 'retransmission';
}
