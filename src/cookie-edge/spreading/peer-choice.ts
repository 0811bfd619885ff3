/**
 * Rule: which peers receive a push, and which daemons own a key. Does no input or output; `PeerView` stores the peers
 * and their turns.
 *
 * Pushes take turns among the peers: random choices could miss the same peers repeatedly, and a daemon alone in its
 * zone would receive few messages. Traffic between zones is expensive, so most messages of a push stay in the zone.
 *
 * Order of a push: first peers of the same zone, then peers of other zones, which also get the slots that the own zone
 * cannot fill. Within each group the peers that were chosen least recently go first. Equal turns do not occur, since
 * each turn has a random part. Without peers nothing is sent.
 *
 * Ownership uses rendezvous hashing: daemons that know the same peers agree on it without messages. Daemons of equal
 * rank do not outrank each other, so that both own the key. A daemon that is not a candidate owns nothing.
 */
import { combine32 } from '../../common/hash.js';
import type { Peer } from './types.js';

/** A peer with its turn: the peers with the lowest turns receive the next push. */
export interface PeerWithTurn extends Peer {
  turn: number;
}

/**
 * Returns up to `sameZoneCount` peers of `zone` and `otherZonesCount` of other zones. If the zone has too few, peers of
 * other zones fill its slots.
 *
 * @param zone zone of this daemon
 */
export function choosePushTargets<PeerType extends PeerWithTurn>(
  peers: Iterable<PeerType>,
  zone: string,
  sameZoneCount: number,
  otherZonesCount: number,
): PeerType[] {
  const sameZone: PeerType[] = [];
  const otherZones: PeerType[] = [];
  for (const peer of peers) (peer.zone === zone ? sameZone : otherZones).push(peer);
  const chosen = peersWithLowestTurns(sameZone, sameZoneCount);
  return [...chosen, ...peersWithLowestTurns(otherZones, otherZonesCount + sameZoneCount - chosen.length)];
}

/**
 * Returns whether fewer than `count` candidates outrank this daemon for a key.
 *
 * @param keyHash 32-bit hash of the key
 * @param selfHash 32-bit hash of this daemon
 * @param others the other candidates; undefined if this daemon is not a candidate
 */
export function isAmongOwners(
  keyHash: number,
  selfHash: number,
  others: Iterable<{ readonly hash: number }> | undefined,
  count: number,
): boolean {
  if (!others) return false;
  const ownRank = combine32(keyHash, selfHash);
  let higherRankedCount = 0;
  for (const { hash } of others) {
    if (combine32(keyHash, hash) > ownRank) higherRankedCount += 1;
    if (higherRankedCount >= count) return false;
  }
  return true;
}

/** Returns up to `count` peers: those of `zone` first, then the peers that were heard of last. */
export function chooseNearestPeers(peers: Iterable<Peer>, zone: string, count: number): Peer[] {
  const isFar = (peer: Peer): number => Number(peer.zone !== zone);
  return [...peers]
    .sort((left, right) => isFar(left) - isFar(right) || right.heardAtMs - left.heardAtMs)
    .slice(0, count);
}

function peersWithLowestTurns<PeerType extends PeerWithTurn>(
  peers: readonly PeerType[],
  count: number,
): PeerType[] {
  return [...peers].sort((left, right) => left.turn - right.turn).slice(0, count);
}
