/**
 * Which members probe which back end: the best by rendezvous hash, one of each zone first. A pure function of the membership, so
 * that all balancers agree without talking; a change of one member moves only that member's probes.
 */
import { combine32, hashString } from '../common/hash.js';
import type { Member, MembershipView } from '../membership/types.js';
import { PROBERS_PER_BACKEND } from './constants.js';

/** A member as a possible prober. */
export interface ProberCandidate {
  readonly id: string;
  /** `hashString(id)`: how votes name it. */
  readonly hash: number;
  readonly zone: string;
}

/** The members that may probe: those that own shards, or everyone while none does. */
export function proberCandidates(view: MembershipView): ProberCandidate[] {
  const owners = view.members.filter(ownsShards);
  const members = owners.length > 0 ? owners : view.members;
  return members.map(({ id, zone }) => ({ id, zone, hash: hashString(id) }));
}

function ownsShards(member: Member): boolean {
  return member.state === 'active' || member.state === 'suspect';
}

/** Hashes of the members that probe a back end, best first; fewer when there are fewer members. */
export function probersOf(
  backendId: number,
  candidates: readonly ProberCandidate[],
  count = PROBERS_PER_BACKEND,
): number[] {
  const scores = candidates.map((candidate) => combine32(candidate.hash, backendId));
  const chosen: number[] = [];
  const usedZones = new Set<string>();
  while (chosen.length < Math.min(count, candidates.length)) {
    let best = bestIndex(candidates, scores, chosen, usedZones);
    if (best < 0) {
      usedZones.clear();
      best = bestIndex(candidates, scores, chosen, usedZones);
    }
    chosen.push(best);
    usedZones.add(candidates[best]!.zone);
  }
  return chosen.map((index) => candidates[index]!.hash);
}

function bestIndex(
  candidates: readonly ProberCandidate[],
  scores: readonly number[],
  chosen: readonly number[],
  usedZones: ReadonlySet<string>,
): number {
  let best = -1;
  for (let index = 0; index < candidates.length; index += 1) {
    if (best >= 0 && scores[index]! <= scores[best]!) continue;
    if (usedZones.has(candidates[index]!.zone) || chosen.includes(index)) continue;
    best = index;
  }
  return best;
}
