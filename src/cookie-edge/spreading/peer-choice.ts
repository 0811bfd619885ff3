/**
 * Rule: which peers get a push, and which daemons own a key. Does no input or output; `PeerView` keeps the peers and
 * their turns.
 *
 * Prevents pushes that miss the same peers again and again, as random choices do, and a daemon alone in its zone that
 * gets few messages. Bytes between zones cost more than others, so most of a push stays in the zone.
 *
 * Order of a push: the peers of the own zone first, then those of other zones, who also get the places that the own
 * zone leaves empty; within each, the peers that were not chosen for longest. Equal turns do not occur, since each has
 * a random part. Without any peer the push goes to none.
 *
 * Ownership is by rendezvous hashing: daemons that know the same peers agree without a message. Equal ranks do not
 * outrank each other, so that both own the key. A daemon that is no candidate itself owns nothing.
 */
import { combine32 } from '../../common/hash.js';
import type { Peer } from './types.js';

/** A peer with its turn: the lowest turn gets the next push. */
export interface PeerWithTurn extends Peer {
  turn: number;
}

/**
 * Up to `inZone` peers of the zone and `elsewhere` of any other, more where the zone has too few.
 *
 * @param zone zone of this daemon
 */
export function choosePeersOfPush<Listed extends PeerWithTurn>(
  peers: Iterable<Listed>,
  zone: string,
  inZone: number,
  elsewhere: number,
): Listed[] {
  const near: Listed[] = [];
  const far: Listed[] = [];
  for (const peer of peers) (peer.zone === zone ? near : far).push(peer);
  const chosen = lowestTurns(near, inZone);
  return [...chosen, ...lowestTurns(far, elsewhere + inZone - chosen.length)];
}

/**
 * True when fewer than `count` candidates outrank this daemon for a key.
 *
 * @param keyHash 32-bit hash of the key
 * @param selfHash 32-bit hash of this daemon
 * @param others the other candidates; undefined when this daemon is no candidate
 */
export function isAmongOwners(
  keyHash: number,
  selfHash: number,
  others: Iterable<{ readonly hash: number }> | undefined,
  count: number,
): boolean {
  if (!others) return false;
  const own = combine32(keyHash, selfHash);
  let higherRanked = 0;
  for (const { hash } of others) {
    if (combine32(keyHash, hash) > own) higherRanked += 1;
    if (higherRanked >= count) return false;
  }
  return true;
}

function lowestTurns<Listed extends PeerWithTurn>(peers: readonly Listed[], count: number): Listed[] {
  return [...peers].sort((left, right) => left.turn - right.turn).slice(0, count);
}
