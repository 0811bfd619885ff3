/**
 * Rule: whether peers are asked before a SYN is placed, or before an opening cookie of a flow that is not cached is
 * followed, and when a lookup ends.
 *
 * Prevents an opening from being placed at two back ends: the router may deliver the copies of a SYN to different
 * daemons. If both back ends answer, the caller acknowledges one of them and repeats the cookie of the other, and no
 * daemon can tell from its packets which of them it acknowledged. Only daemons that saw the handshake know it; the
 * others ask them. Does no input or output.
 *
 * Inputs: whether the packet is a SYN, its retransmission count, the time for which it may be held, the limits of
 * lookups, and the answers. Order: a first SYN is placed at once, because no other daemon can have received the flow
 * before. A SYN whose caller is about to retransmit, or that the limits do not admit, is placed at once. So is every
 * SYN for `SUSPENSION_MS` after a lookup that most peers did not answer; an open flow is still looked up, because
 * following a wrong cookie would end it. A lookup ends with the first answer that names a back end, otherwise when all
 * peers have answered or at `LOOKUP_TIMEOUT_MS`. Missing answers count as not known.
 */
import { LOOKUP_TIMEOUT_MS } from './constants.js';

/** Inputs of `lookupTimeoutMs`. */
interface LookupNeed {
  readonly retransmissionCount: number;
  /** Undefined for a SYN. */
  readonly acknowledgement?: number;
  /** Time in ms for which the packet may still be held. */
  readonly remainingHoldMs: number;
}

/** Returns how long peers may be waited for, in ms; 0 if they are not asked. */
export function lookupTimeoutMs(need: LookupNeed): number {
  const { retransmissionCount, acknowledgement, remainingHoldMs } = need;
  if (retransmissionCount === 0 && acknowledgement === undefined) return 0;
  return Math.max(0, Math.min(LOOKUP_TIMEOUT_MS, remainingHoldMs));
}

/** Returns true if a lookup that has ended shows that further ones are not worth their wait now. */
export function shouldSuspendLookups(asked: number, unanswered: number): boolean {
  return unanswered > asked / 2;
}

/** Returns true if no further answer can change the outcome of a lookup. */
export function isLookupDecided(backendId: string | undefined, unansweredPeers: number): boolean {
  return backendId !== undefined || unansweredPeers === 0;
}
