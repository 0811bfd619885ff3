/**
 * Decides whether this member may open flows, whether it asks for the region's quorum lease, and whether it may
 * found a region.
 *
 * What the rule prevents: that both sides of a partition open flows for the same shards. At most one side reaches a
 * majority of the base, and at most one member holds the lease of the region (`quorum-lease.ts`); a member without
 * either one opens nothing.
 *
 * Owns nothing: every function computes its result from its arguments alone. Relies on the standing against the base
 * (`quorum-base.ts`), on the last answer about the lease, and on monotonic times in ms of this process.
 */
import type { MembershipTiming } from './constants.js';
import type { QuorumStanding } from './quorum-base.js';
import type { LeaseStanding } from './quorum-lease.js';

/** What this member knows of its place in the region. */
export interface QuorumFacts {
  /** This member gave its quorum up for good, because a later process has taken over its id. */
  readonly withdrawn: boolean;
  /** No seed is configured and no other member was ever met: a site of one. */
  readonly isSole: boolean;
  /** False from a pause of the process until another member has answered a later probe. */
  readonly isConfirmed: boolean;
  /** There is a base to measure reachability against. */
  readonly hasBase: boolean;
  /** No other live member is reachable. */
  readonly isAlone: boolean;
  /** No other live member was reachable for `witnessWaitMs`. */
  readonly wasAloneLong: boolean;
  /** The result of the previous decision. */
  readonly wasQuorate: boolean;
  /** The reachable members, measured against the base. */
  readonly standing: QuorumStanding;
}

/** What the decision to open flows needs beyond the facts. */
export interface QuorumEvidence {
  /** The last probes got no answer from anyone. */
  readonly isCutOff: boolean;
  /** Another member has shown a base of a higher epoch. */
  readonly isBehind: boolean;
  readonly lease: LeaseStanding;
}

/**
 * Why this member may or may not open flows. Quorate: `sole-site`; `majority` and `tie` of the base reached;
 * `lease-held`, alone with the lease; `base-of-one`, alone without an answer of the platform where the base
 * requires no other member. Not quorate: `withdrawn`; `unconfirmed` since a pause; `no-base`; `cut-off`; `behind` a
 * higher epoch; `minority` of the base reached; `lease-not-held`, alone without the lease.
 */
export type QuorumVerdict =
  | 'sole-site'
  | 'majority'
  | 'tie'
  | 'lease-held'
  | 'base-of-one'
  | 'withdrawn'
  | 'unconfirmed'
  | 'no-base'
  | 'cut-off'
  | 'behind'
  | 'minority'
  | 'lease-not-held';

const QUORATE_VERDICTS: ReadonlySet<QuorumVerdict> = new Set<QuorumVerdict>([
  'sole-site',
  'majority',
  'tie',
  'lease-held',
  'base-of-one',
]);

/** True for a verdict under which this member may open flows. */
export function isQuorateVerdict(verdict: QuorumVerdict): boolean {
  return QUORATE_VERDICTS.has(verdict);
}

/**
 * Decides whether this member may open flows.
 *
 * Order: a withdrawal is final. A sole site has no other side. Next come the reasons for which the standing itself
 * cannot be trusted: a pause, no base, no answers, a base that is out of date. The last one only keeps a member
 * from becoming quorate; a quorate member may reach the higher epoch by itself. Reachable members count before the
 * lease, so a region with a majority does not depend on the platform.
 *
 * Ties: half of the base counts when its lowest id is among the reachable members, which is true for one side only.
 * Missing knowledge: a lease not asked for yet, or whose trust has run out, counts as not held. Without an answer
 * of the platform a member alone is quorate only where its standing suffices.
 */
export function decideQuorum(facts: QuorumFacts, evidence: QuorumEvidence): QuorumVerdict {
  if (facts.withdrawn) return 'withdrawn';
  if (facts.isSole) return 'sole-site';
  const doubt = doubtAboutStanding(facts, evidence);
  if (doubt) return doubt;
  if (!facts.isAlone) return facts.standing;
  if (evidence.lease === 'held') return 'lease-held';
  return evidence.lease === 'unavailable' && facts.standing !== 'minority' ? 'base-of-one' : 'lease-not-held';
}

/** Why the standing against the base says nothing now; undefined when it can be trusted. */
function doubtAboutStanding(facts: QuorumFacts, evidence: QuorumEvidence): QuorumVerdict | undefined {
  if (!facts.isConfirmed) return 'unconfirmed';
  if (!facts.hasBase) return 'no-base';
  if (evidence.isCutOff) return 'cut-off';
  return evidence.isBehind && !facts.wasQuorate ? 'behind' : undefined;
}

/**
 * Why this member asks for the quorum lease: to go on `alone`, or as `representative` of a region; else why it does
 * not.
 */
export type LeaseDemand = 'alone' | 'representative' | 'not-entitled' | 'too-early' | 'not-needed';

/**
 * Decides whether this member asks for the region's quorum lease.
 *
 * A member that may not open flows anyway never asks. A member alone asks at once when its standing suffices, else
 * after `witnessWaitMs`: that is longer than the lease, so a majority elsewhere renews it first. Among several
 * members only the active one with the lowest id asks, while the region is quorate or has no base yet, so that a
 * member cut off finds the lease taken.
 */
export function decideLeaseDemand(facts: QuorumFacts, isLowestReachable: boolean): LeaseDemand {
  if (facts.isSole || facts.withdrawn || !facts.isConfirmed) return 'not-entitled';
  if (facts.isAlone) return mayAskAlone(facts) ? 'alone' : 'too-early';
  const isNeeded = facts.wasQuorate || !facts.hasBase;
  return isNeeded && isLowestReachable ? 'representative' : 'not-needed';
}

function mayAskAlone({ hasBase, standing, wasAloneLong }: QuorumFacts): boolean {
  return (hasBase && standing !== 'minority') || wasAloneLong;
}

/**
 * True when this member may become active without any other live member, to make the region's first base. It must
 * have been alone for `witnessWaitMs` and hold the region's lease, which a running region would hold itself. A
 * base, or the sign of one, forbids it.
 */
export function decideFounding(facts: QuorumFacts, lease: LeaseStanding, hasSeenBase: boolean): boolean {
  if (facts.withdrawn || facts.hasBase || hasSeenBase) return false;
  return facts.isAlone && facts.wasAloneLong && lease === 'held';
}

/** What the making of a region's first base depends on. */
export interface FirstBaseFacts {
  /** There is a base, or another member has shown one. */
  readonly hasSeenBase: boolean;
  readonly isSole: boolean;
  readonly hasPlatform: boolean;
  readonly lease: LeaseStanding;
  /** Another member was met at some time. */
  readonly hasMetMember: boolean;
}

/**
 * True when this member may make the first base of its region from the active members that it knows. With a
 * platform it takes the lease, so that two groups that start while cut off from each other cannot both become
 * quorate. Without one, nothing can prevent that, and any other member met is enough. A site of one needs neither.
 */
export function mayCreateFirstBase(facts: FirstBaseFacts): boolean {
  if (facts.hasSeenBase) return false;
  if (facts.isSole) return true;
  return facts.hasPlatform ? facts.lease === 'held' : facts.hasMetMember;
}

/** What is known of the silence of a member; times in monotonic ms. */
export interface SilenceFacts {
  readonly suspected: boolean;
  /** Most of the member's zone is silent. */
  readonly isZoneSilent: boolean;
  /** When the suspicion started here; undefined when none runs. */
  readonly suspectedSinceMs: number | undefined;
}

/**
 * True when a live member counts as reachable for the quorum. A suspect counts for `quorumGraceMs` only, because it
 * may still refute; it does not count at all while most of its zone is silent, since then a partition is likelier
 * than single faults. A suspect whose suspicion does not run here does not count.
 */
export function isReachableForQuorum(
  silence: SilenceFacts,
  nowMs: number,
  timing: Pick<MembershipTiming, 'quorumGraceMs'>,
): boolean {
  if (!silence.suspected) return true;
  if (silence.isZoneSilent) return false;
  return silence.suspectedSinceMs !== undefined && nowMs - silence.suspectedSinceMs < timing.quorumGraceMs;
}
