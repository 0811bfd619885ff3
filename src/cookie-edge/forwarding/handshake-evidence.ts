/**
 * Rule: how much this daemon has seen of the handshake between a caller and the cached back end of its flow.
 *
 * Tells `mid-flow-rule.ts` whether the cached flow may overrule a cookie. Does no input or output and creates no
 * objects, because it runs for each packet.
 *
 * Inputs: the phase, the evidence and the handshake's acknowledgement of the cached flow, and the acknowledgement and
 * the cookie of the packet. Order: a flow that follows a cookie to another back end loses its evidence, because this
 * daemon did not see it open there. The first packet after the SYNs shows the handshake. A later acknowledgement shows
 * that the back end answers, unless the cookie names another one, which may have sent that answer.
 */
import type { FlowPhase } from './flow-cache.js';
import type { CookieOutcome } from './mid-flow-rule.js';
import { isSequenceAfter } from './sequence-number.js';

/**
 * `unseen`: this daemon did not see the flow open at the cached back end. `seen`: it sent the SYN there, and the
 * caller's next packet belonged there too. `answered`: since then the caller has acknowledged an answer.
 */
export type HandshakeEvidence = 'unseen' | 'seen' | 'answered';

/** The part of a cached flow that shows its handshake. */
interface SeenHandshake {
  readonly phase: FlowPhase;
  readonly handshake: HandshakeEvidence;
  /** Acknowledgement of the first packet after the SYNs. */
  readonly handshakeAcknowledgement: number;
}

/** Returns the evidence after a packet other than a SYN. `flow` is the cached flow before that packet. */
export function handshakeEvidenceAfter(
  flow: SeenHandshake,
  acknowledgement: number,
  cookie: CookieOutcome,
): HandshakeEvidence {
  if (cookie === 'followed') return 'unseen';
  if (flow.phase === 'opening') return 'seen';
  const isAnswered =
    flow.handshake === 'seen' &&
    cookie === 'agrees' &&
    isSequenceAfter(acknowledgement, flow.handshakeAcknowledgement);
  return isAnswered ? 'answered' : flow.handshake;
}
