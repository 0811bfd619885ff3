/**
 * Rule: decides whether the list of back ends is considered complete, so that a missing back end counts as having left.
 * Does no input or output; times are ms.
 *
 * Prevents refusing callers while their back ends run. Records lapse during an outage of the source. After it, the
 * source returns a list that is formally complete but almost empty, until the back ends have written their records
 * again.
 *
 * Order of conditions: before the first list, the state is `unknown`. While records may lapse, the daemon trusts no
 * list from the source, but it trusts a recent message from a settled peer, since the source may be failing only for
 * this daemon. A settled peer is one that considers its own list complete. Otherwise a daemon that has just started
 * considers its list complete once a settled peer has sent a message, once all back ends of the roster are listed, or
 * at the latest after `SETTLING_MS`. Without a peer and a roster, only the time settles it.
 */
import { SETTLED_PEER_MS, SETTLING_MS } from './constants.js';

/** `unknown`: no list yet. `settling`: running back ends may be missing. `settled`: missing back ends have left. */
export type BackendListState = 'unknown' | 'settling' | 'settled';

export interface SettlementInputs {
  /** Time since the first list; undefined before it. */
  readonly sinceFirstListMs: number | undefined;
  /** True while records may be missing only because back ends cannot write them. */
  readonly recordsMayLapse: boolean;
  /** Time since the last message from a settled peer; Infinity before the first. */
  readonly sinceSettledPeerMs: number;
  /** True when the roster was read, is not empty, and all of its back ends are listed. */
  readonly isRosterListed: boolean;
}

/** Condition by which a list came to be considered complete. */
export type SettlementReason = 'peer' | 'roster' | 'time';

/** Decides the state of the list. */
export function decideSettlement(inputs: SettlementInputs): BackendListState {
  const { sinceFirstListMs, recordsMayLapse, sinceSettledPeerMs } = inputs;
  if (sinceFirstListMs === undefined) return 'unknown';
  if (recordsMayLapse) return sinceSettledPeerMs < SETTLED_PEER_MS ? 'settled' : 'settling';
  return settlementReason(inputs) === undefined ? 'settling' : 'settled';
}

/** Returns the condition by which a daemon trusts its first list; undefined while none holds. */
export function settlementReason({
  sinceFirstListMs = 0,
  sinceSettledPeerMs,
  isRosterListed,
}: SettlementInputs): SettlementReason | undefined {
  if (Number.isFinite(sinceSettledPeerMs)) return 'peer';
  if (isRosterListed) return 'roster';
  return sinceFirstListMs >= SETTLING_MS ? 'time' : undefined;
}
