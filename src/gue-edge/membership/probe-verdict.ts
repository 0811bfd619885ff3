/**
 * Decides what a probe without an answer says about its target and about this member.
 *
 * What the rule prevents: that a member that is cut off or paused accuses all others, and that a process is accused
 * for the silence of the one before it.
 *
 * Owns nothing; relies on the negative responses of helpers: a helper that could not reach the target either says so.
 */
import { BLIND_PROBES } from './constants.js';
import { isRemoved, type MemberRecord } from './member-record.js';

/**
 * What an unanswered probe says about this member. `blind`: helpers were asked and none responded, so it may be
 * slow or cut off. `connected`: a helper responded that the target is silent. `no-helper`: there was none to ask,
 * so nothing is known.
 */
export type ProbeVerdict = 'blind' | 'connected' | 'no-helper';

/** Judges a probe whose time is over, by the helpers that were asked and the negative responses that came. */
export function judgeUnansweredProbe(helpersAsked: number, negativeResponses: number): ProbeVerdict {
  if (helpersAsked === 0) return 'no-helper';
  return negativeResponses === 0 ? 'blind' : 'connected';
}

/**
 * True when this member counts as cut off: after `BLIND_PROBES` blind probes without an answer to any other in
 * between.
 */
export function isCutOff(blindProbes: number): boolean {
  return blindProbes >= BLIND_PROBES;
}

/**
 * True when the silence counts against `current`, the member as it is known at the end of the probe: it is live,
 * and still the process that was probed. A blind probe counts as well; `isCutOff` tells when this member itself is
 * the likelier cause.
 */
export function isAccusedBySilence(
  current: MemberRecord | undefined,
  probed: MemberRecord,
): current is MemberRecord {
  return current !== undefined && !isRemoved(current) && current.incarnation === probed.incarnation;
}
