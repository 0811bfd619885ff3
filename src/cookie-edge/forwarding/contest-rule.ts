/**
 * Rule: whether a flow is contested, so that peers are told at which back end it opened, and whether a cached flow
 * shows that to a peer which asks.
 *
 * Prevents a daemon that does not know a flow from leading it to a back end that does not hold it. Every back end that
 * received the SYN and was not acknowledged repeats its SYN+ACK for seconds, and each of them replaces the caller's
 * cookie. Only the first packet after the handshake shows which back end the caller acknowledged. Does no input or
 * output. Creates no objects, because it runs for each packet.
 *
 * Inputs: how the flow was placed, how its packet's cookie was judged, and the evidence of its handshake. Order: a flow
 * is contested once its SYN was moved, once it was placed by a retransmission, since the first SYN may have been placed
 * elsewhere, once a peer has asked about its opening, or once a packet came with the cookie of another back end. It is
 * shared when its caller has sent a packet other than a SYN, and again if a packet moves it. A flow that was adopted by
 * an opening cookie which no peer could confirm is shared only once an established cookie shows that its back end holds
 * it, so that a guess replaces no record of a peer. Until then it shows nothing to a peer that asks. A contested flow
 * whose handshake was not seen here yields to a record of a peer that saw it.
 */
import type { FlowPhase } from './flow-cache.js';
import type { HandshakeEvidence } from './handshake-evidence.js';
import type { CookieOutcome } from './mid-flow-rule.js';

/**
 * `none`: no other back end is known to have received a SYN of the flow. `unconfirmed`: adopted by an opening cookie;
 * another back end may hold the flow. `contested`: another back end may have received a SYN.
 * `shared`: contested, and peers were told the flow's back end.
 */
export type FlowContest = 'none' | 'unconfirmed' | 'contested' | 'shared';

/** The part of a cached flow that shows where it opened. */
interface KnownHandshake {
  readonly handshake: HandshakeEvidence;
  readonly hasEstablishedCookie: boolean;
}

/** Returns whether a flow is contested from its first SYN at this daemon on. */
export function contestOfNewFlow(retransmissionCount: number): FlowContest {
  return retransmissionCount > 0 ? 'contested' : 'none';
}

/** Returns whether a flow is contested after a packet other than a SYN. */
export function contestAfterPacket(
  contest: FlowContest,
  cookie: CookieOutcome,
  hasEstablishedCookie: boolean,
): FlowContest {
  if (cookie === 'followed') return 'contested';
  if (contest === 'unconfirmed') return hasEstablishedCookie ? 'contested' : contest;
  return cookie === 'overruled' && contest === 'none' ? 'contested' : contest;
}

/** Returns true if peers are to be told now at which back end a flow opened. */
export function shouldShare(contest: FlowContest, phase: FlowPhase): boolean {
  return contest === 'contested' && phase === 'open';
}

/**
 * Returns true if a record of a peer may know more than a cached flow: its SYN was sent from here, but its handshake
 * may have passed another daemon.
 */
export function mayBeOpenElsewhere(contest: FlowContest, phase: FlowPhase): boolean {
  return phase === 'opening' && contest !== 'none';
}

/** Returns true if a cached flow is known to have opened at its back end. */
export function showsHandshake({ handshake, hasEstablishedCookie }: KnownHandshake): boolean {
  return handshake !== 'unseen' || hasEstablishedCookie;
}
