/**
 * Decides which members try to take which reader lease: a pure function of the membership view.
 *
 * What the rule prevents: that every member asks the store for leases, and that the loss of one zone leaves no
 * candidate. Members with the same view agree; with different views more members ask, and the store grants each
 * lease to one of them all the same.
 *
 * Owns nothing; relies on rendezvous hashes, so that a member that leaves changes the candidates only where it was one.
 */
import { hashString } from '../../common/hash.js';
import type { Member } from '../membership/types.js';
import { CANDIDATES_PER_LEASE, READER_LEASE_PREFIX, READERS_PER_REGION } from './constants.js';

/** Name of a region's `slot`-th reader lease. */
export function readerLeaseName(region: string, slot: number): string {
  return `${READER_LEASE_PREFIX}/${region}/${slot}`;
}

function byScore<T>(items: readonly T[], key: (item: T) => string): T[] {
  const scored = items.map((item) => ({ item, score: hashString(key(item)) }));
  scored.sort((left, right) => right.score - left.score || (key(left.item) < key(right.item) ? -1 : 1));
  return scored.map(({ item }) => item);
}

/**
 * The members that try to take a lease, best first. Zones are ranked by rendezvous hash; the lease of slot `s` belongs
 * to the best members of the zones with rank `s` and `s + 1`, so that the candidates of two leases cover three zones.
 */
export function leaseCandidates(region: string, slot: number, members: readonly Member[]): Member[] {
  const lease = readerLeaseName(region, slot);
  const eligible = members.filter((member) => member.state === 'active' || member.state === 'joining');
  const ranked = byScore(eligible, (member) => `${lease}|${member.id}`);
  const zones = byScore([...new Set(ranked.map((member) => member.zone))], (zone) => `${region}|${zone}`);
  const candidates: Member[] = [];
  for (let index = 0; index < CANDIDATES_PER_LEASE; index += 1) {
    const zone = zones[(slot + index) % zones.length];
    const best = ranked.find((member) => member.zone === zone && !candidates.includes(member));
    if (best) candidates.push(best);
  }
  return candidates;
}

/** Slots whose lease `memberId` tries to take, those where it ranks first before the others. */
export function slotsOf(memberId: string, region: string, members: readonly Member[]): number[] {
  const ranks: { slot: number; rank: number }[] = [];
  for (let slot = 0; slot < READERS_PER_REGION; slot += 1) {
    const rank = leaseCandidates(region, slot, members).findIndex((member) => member.id === memberId);
    if (rank >= 0) ranks.push({ slot, rank });
  }
  return ranks.sort((left, right) => left.rank - right.rank).map(({ slot }) => slot);
}
