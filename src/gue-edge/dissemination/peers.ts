/**
 * Random choice of peers from the membership view.
 *
 * Owns no state. Relies on the membership view, which may still name members that have just failed.
 */
import type { RandomSource } from '../../common/random.js';
import type { Member, MembershipFeed } from '../membership/types.js';

/** Members other than this one that are expected to answer. */
export function livePeers(membership: MembershipFeed): Member[] {
  const { members } = membership.view();
  return members.filter((member) => member.id !== membership.selfId && member.state !== 'gone');
}

/** Up to `count` different random elements (partial Fisher–Yates shuffle of a copy). */
export function sample<T>(items: readonly T[], count: number, random: RandomSource): T[] {
  const pool = [...items];
  const taken = Math.min(count, pool.length);
  for (let index = 0; index < taken; index += 1) {
    const other = index + Math.floor(random() * (pool.length - index));
    [pool[index], pool[other]] = [pool[other] as T, pool[index] as T];
  }
  return pool.slice(0, taken);
}
