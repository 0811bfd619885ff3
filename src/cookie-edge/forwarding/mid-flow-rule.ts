/**
 * Rule: whether a packet other than a SYN is forwarded to its back end, answered with a reset, or dropped, and whether
 * its cookie or the cached flow names the back end.
 *
 * Prevents three failures. A packet that is forwarded to a guessed back end could reach another service, so a packet
 * whose back end is unknown is dropped. A caller whose packets go to a dead back end would wait for its timeout, so the
 * flow is reset. If copies of a SYN were placed at two back ends, the SYN+ACK that the caller did not acknowledge may
 * arrive last and replace the caller's cookie, so the cookie of that SYN+ACK does not move an open flow. Does no input
 * or output. Creates no objects, because it runs for each packet; only a contradiction is passed as an object.
 *
 * Inputs: the back end of the packet's cookie, whether that is an opening cookie, the packet's acknowledgement, whether
 * it repeats data, the cached flow with the evidence of `handshake-evidence.ts`, and whether the chosen back end has a
 * dead verdict. Order: a cached flow with another acknowledgement is an earlier flow of the same addresses and is
 * ignored. An opening cookie yields to a cached flow that the packet continues. Any other cookie takes precedence,
 * because it is valid at every daemon, with one exception: daemons of earlier builds write it into SYNs as well. If
 * this daemon placed a retransmitted SYN and saw that the caller opened the flow there, the cookie may be that of an
 * earlier placement, and yields too. It is followed all the same if the caller has acknowledged an answer that the
 * cached back end is not known to have sent, and repeats data that the cached back end has not answered since. The
 * cached flow is also used while a caller has no cookie yet. The verdict is tested last. A cookie of an unknown back
 * end is ignored. A departed, draining, cordoned or ejected back end keeps its flows.
 */
import type { KnownBackend } from '../routing/index.js';
import { MAX_ACKNOWLEDGEMENT_ADVANCE_BYTES } from './constants.js';
import type { FlowPhase } from './flow-cache.js';
import type { HandshakeEvidence } from './handshake-evidence.js';
import { isSequenceAfter } from './sequence-number.js';

/** `forward`: send to the back end. `reset`: the back end is dead. `drop`: the back end is unknown. */
export type MidFlowOutcome = 'forward' | 'reset' | 'drop';

/**
 * `agrees`: the cookie and the cached flow do not contradict each other. `overruled`: the packet stays at the back end
 * of the cached flow. `followed`: it goes to the back end of the cookie.
 */
export type CookieOutcome = 'agrees' | 'overruled' | 'followed';

/** The part of a cached flow that shows whether a packet continues it. */
interface CachedHandshake {
  readonly phase: FlowPhase;
  readonly acknowledgement: number;
}

/** The part of a cached flow that shows whether another daemon may have placed it too. */
interface CachedOpening extends CachedHandshake {
  /** Retransmission count of the SYN that this daemon placed. */
  readonly retransmissionCount: number;
  readonly handshake: HandshakeEvidence;
  readonly handshakeAcknowledgement: number;
}

/** A packet whose cookie names another back end than the cached flow. */
interface ContradictingPacket {
  readonly isOpeningCookie: boolean;
  readonly acknowledgement: number;
  /** True if this daemon has seen the packet's data before. */
  readonly repeatsData: boolean;
}

/**
 * Returns true if a packet continues a cached flow whose handshake is complete. Each back end numbers its bytes from a
 * sequence number of its own, so the acknowledgement identifies the back end.
 */
export function continuesCachedFlow(acknowledgement: number, flow: CachedHandshake): boolean {
  const advanceBytes = (acknowledgement - flow.acknowledgement) | 0;
  return flow.phase !== 'opening' && Math.abs(advanceBytes) <= MAX_ACKNOWLEDGEMENT_ADVANCE_BYTES;
}

/** Returns whether a packet whose cookie contradicts the cached flow follows that cookie. */
export function decideContradiction(
  packet: ContradictingPacket,
  flow: CachedOpening,
): Exclude<CookieOutcome, 'agrees'> {
  if (!continuesCachedFlow(packet.acknowledgement, flow)) return 'followed';
  if (packet.isOpeningCookie) return 'overruled';
  const isOpenedByRetransmission = flow.retransmissionCount > 0 && flow.handshake !== 'unseen';
  return isOpenedByRetransmission && !isAnsweredElsewhere(packet, flow) ? 'overruled' : 'followed';
}

/** Returns true if the back end of the cookie, rather than that of the cached flow, seems to answer the caller. */
function isAnsweredElsewhere(packet: ContradictingPacket, flow: CachedOpening): boolean {
  const hasAdvanced = isSequenceAfter(packet.acknowledgement, flow.handshakeAcknowledgement);
  return flow.handshake === 'seen' && hasAdvanced && packet.repeatsData;
}

/** Returns the back end of a packet, or undefined if neither its cookie nor a cached flow identifies one. */
export function backendOfPacket(
  cookieBackend: KnownBackend | undefined,
  cachedFlowBackend: KnownBackend | undefined,
): KnownBackend | undefined {
  return cookieBackend ?? cachedFlowBackend;
}

/** Returns the outcome for a packet of `backend`. `isDead` is true while a dead verdict is in force. */
export function decideMidFlow(backend: KnownBackend | undefined, isDead: boolean): MidFlowOutcome {
  if (!backend) return 'drop';
  return isDead ? 'reset' : 'forward';
}
