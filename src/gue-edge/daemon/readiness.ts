/**
 * Decides when a daemon becomes active, and whether new flows may come to it.
 *
 * What the rule prevents: that a fabric sends flows to a daemon that would have to refuse them, and that all
 * daemons that take shards over at once count as not ready together.
 *
 * Owns nothing; relies on the daemon's phase and on what the control and the data plane know.
 */
import type { DaemonPhase } from './status.js';

/** What readiness depends on. */
export interface ReadinessFacts {
  readonly phase: DaemonPhase;
  readonly hasSettings: boolean;
  readonly isQuorate: boolean;
  /** The first shards were taken over at some time. */
  readonly hasServed: boolean;
}

/**
 * Every reason why new flows may not come here; none: ready. All are named, since each has another remedy. Later
 * takeovers do not end readiness: meanwhile packets are relayed to the previous holder, and all balancers that take
 * over at once would leave the fabric with none.
 */
export function reasonsNotReady({ phase, hasSettings, isQuorate, hasServed }: ReadinessFacts): string[] {
  const reasons: string[] = [];
  if (phase !== 'active') reasons.push(phase);
  if (!hasSettings) reasons.push('no settings');
  if (!isQuorate) reasons.push('no quorum');
  if (!hasServed) reasons.push('first shards not taken over yet');
  return reasons;
}

/** What becoming active depends on. */
export interface ActivationFacts {
  readonly hasSettings: boolean;
  /** Another member was met, or there was none to look for. */
  readonly hasJoined: boolean;
  readonly isQuorate: boolean;
  /** This member may found the region without any other live member. */
  readonly mayFoundRegion: boolean;
}

/** True when a starting daemon may become active: it has settings, and it has met its region or may found it. */
export function mayBecomeActive(facts: ActivationFacts): boolean {
  return facts.hasSettings && (facts.hasJoined || facts.isQuorate || facts.mayFoundRegion);
}
