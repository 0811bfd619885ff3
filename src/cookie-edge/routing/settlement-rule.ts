/**
 * Rule: whether the list of back ends is to be believed where it lacks one. Does no input or output; times are ms.
 *
 * Prevents that callers are refused for want of back ends that live: after an outage of the source, in which records
 * lapse, a list is complete by its form and all but empty until the back ends have written their records again.
 *
 * Order: without a list nothing is known. While records may lapse, what this daemon reads is not to be believed, but a
 * peer's word is if it came just now: the source may only refuse this daemon. Otherwise a daemon that has just started
 * believes its list as soon as a peer that believes its own has answered, or every back end of the roster is listed,
 * or at last after `SETTLING_MS`. Missing knowledge (no peer, no roster) leaves the time.
 */
import { SETTLED_PEER_MS, SETTLING_MS } from './constants.js';

/** `unknown`: no list yet. `settling`: live back ends may be missing. `settled`: who is missing has left. */
export type BackendKnowledge = 'unknown' | 'settling' | 'settled';

/** What the rule looks at. */
export interface SettlementInputs {
  /** Time since the first list; undefined before it. */
  readonly sinceFirstListMs: number | undefined;
  /** Records may vanish because their owners cannot write. */
  readonly recordsMayLapse: boolean;
  /** Time since a message of a settled peer; Infinity before any. */
  readonly sinceSettledPeerMs: number;
  /** The roster was read, names back ends, and all that it names are listed. */
  readonly isRosterListed: boolean;
}

/** What settled a list. */
export type SettlementReason = 'peer' | 'roster' | 'time';

/** Decides how far the list is known. */
export function decideSettlement(inputs: SettlementInputs): BackendKnowledge {
  const { sinceFirstListMs, recordsMayLapse, sinceSettledPeerMs } = inputs;
  if (sinceFirstListMs === undefined) return 'unknown';
  if (recordsMayLapse) return sinceSettledPeerMs < SETTLED_PEER_MS ? 'settled' : 'settling';
  return settlementReason(inputs) === undefined ? 'settling' : 'settled';
}

/** What lets a daemon believe its first list; undefined while nothing does. */
export function settlementReason({
  sinceFirstListMs = 0,
  sinceSettledPeerMs,
  isRosterListed,
}: SettlementInputs): SettlementReason | undefined {
  if (Number.isFinite(sinceSettledPeerMs)) return 'peer';
  if (isRosterListed) return 'roster';
  return sinceFirstListMs >= SETTLING_MS ? 'time' : undefined;
}
