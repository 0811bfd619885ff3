/**
 * Which members probe which back end: the best by rendezvous hash, one of each zone first. A pure function of the
 * membership, so that all balancers agree without talking; a change of one member moves only that member's probes.
 */
import { hashString, mix32 } from '../../common/hash.js';
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

/** The candidates with what the ranking needs of them, computed once for a membership. */
export class ProberRanking {
  private readonly salts: Uint32Array;
  private readonly zones: Uint32Array;
  private readonly zoneNames: readonly string[];
  private readonly saltByHash: ReadonlyMap<number, number>;

  constructor(private readonly candidates: readonly ProberCandidate[]) {
    const zoneNames = [...new Set(candidates.map(({ zone }) => zone))];
    this.zoneNames = zoneNames;
    this.salts = Uint32Array.from(candidates, ({ hash }) => mix32(hash));
    this.saltByHash = new Map(candidates.map(({ hash }) => [hash, mix32(hash)]));
    this.zones = Uint32Array.from(candidates, ({ zone }) => zoneNames.indexOf(zone));
  }

  /** True when a candidate stands in the zone. */
  hasZone(zone: string): boolean {
    return this.zoneNames.includes(zone);
  }

  /** Hashes of the members that probe a back end, best first; fewer when there are fewer members. */
  probersOf(backendId: number, count = PROBERS_PER_BACKEND): number[] {
    const chosen: number[] = [];
    const wanted = Math.min(count, this.candidates.length);
    while (chosen.length < wanted) {
      const ofEachZone = this.bestOfEachZone(backendId, chosen);
      chosen.push(...ofEachZone.slice(0, wanted - chosen.length));
    }
    return chosen.map((index) => this.candidates[index]!.hash);
  }

  /** Indexes of the best candidate of each zone that is not in `without`, best first. */
  private bestOfEachZone(backendId: number, without: readonly number[]): number[] {
    const best = new Int32Array(this.zoneNames.length).fill(-1);
    const scores = new Float64Array(this.zoneNames.length).fill(-1);
    for (let index = 0; index < this.salts.length; index += 1) {
      const score = mix32(this.salts[index]! ^ backendId);
      const zone = this.zones[index]!;
      if (score <= scores[zone]! || without.includes(index)) continue;
      scores[zone] = score;
      best[zone] = index;
    }
    const found = Array.from(best.keys()).filter((zone) => best[zone]! >= 0);
    found.sort((left, right) => scores[right]! - scores[left]!);
    return found.map((zone) => best[zone]!);
  }

  /** Salt of a member; undefined when it is no candidate. */
  saltOf(hash: number): number | undefined {
    return this.saltByHash.get(hash);
  }

  /** What the members' change from `earlier` to this ranking leaves as it was. */
  changesSince(earlier: ProberRanking): RankingChanges {
    const added = this.candidates.filter(({ hash }) => earlier.saltOf(hash) === undefined);
    const removed = earlier.candidates.filter(({ hash }) => this.saltOf(hash) === undefined);
    const sameZones =
      this.zoneNames.length === earlier.zoneNames.length &&
      this.zoneNames.every((zone) => earlier.hasZone(zone));
    return new RankingChanges({ ranking: this, earlier, added, removed, sameZones });
  }
}

/** What changed between two rankings. */
interface RankingDifference {
  readonly ranking: ProberRanking;
  readonly earlier: ProberRanking;
  readonly added: readonly ProberCandidate[];
  readonly removed: readonly ProberCandidate[];
  readonly sameZones: boolean;
}

/** Members that came and went between two rankings. */
class RankingChanges {
  readonly earlier: ProberRanking;
  readonly added: readonly ProberCandidate[];
  readonly removed: readonly ProberCandidate[];
  private readonly removedHashes: ReadonlySet<number>;
  private readonly addedSalts: readonly number[];

  constructor(private readonly difference: RankingDifference) {
    const { earlier, added, removed } = difference;
    this.earlier = earlier;
    this.added = added;
    this.removed = removed;
    this.removedHashes = new Set(removed.map(({ hash }) => hash));
    this.addedSalts = added.map(({ hash }) => mix32(hash));
  }

  /**
   * True when the probers that the earlier ranking chose are surely still the ones: all are there, the zones are the
   * same, and no newcomer scores higher than the lowest of them. A member that is not chosen cannot displace one by
   * leaving, nor by coming with a lower score.
   */
  leaves(backendId: number, probers: readonly number[], count: number): boolean {
    if (!this.difference.sameZones || probers.length < count) return false;
    let lowest = Number.POSITIVE_INFINITY;
    for (const hash of probers) {
      const salt = this.difference.ranking.saltOf(hash);
      if (salt === undefined || this.removedHashes.has(hash)) return false;
      lowest = Math.min(lowest, mix32(salt ^ backendId));
    }
    return this.addedSalts.every((salt) => mix32(salt ^ backendId) < lowest);
  }
}
