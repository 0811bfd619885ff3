/** Random choice of members. */
import type { RandomSource } from '../../common/random.js';
import type { MemberRecord } from './member-record.js';

const TRIES_PER_MEMBER = 4;

/** Up to `count` different members that pass `accept`, at random; fewer when there are fewer. */
export function sampleMembers(
  members: readonly MemberRecord[],
  count: number,
  random: RandomSource,
  accept: (member: MemberRecord) => boolean = () => true,
): MemberRecord[] {
  const chosen = new Set<MemberRecord>();
  const tries = TRIES_PER_MEMBER * count;
  for (let attempt = 0; attempt < tries && chosen.size < count; attempt += 1) {
    const member = members[Math.floor(random() * members.length)];
    if (member && accept(member)) chosen.add(member);
  }
  if (chosen.size < count) addFromStart(members, count, random, accept, chosen);
  return [...chosen];
}

/** A copy of `items` in random order. */
export function shuffle<T>(items: readonly T[], random: RandomSource): T[] {
  const shuffled = [...items];
  for (let index = shuffled.length - 1; index > 0; index -= 1) {
    const other = Math.floor(random() * (index + 1));
    [shuffled[index], shuffled[other]] = [shuffled[other]!, shuffled[index]!];
  }
  return shuffled;
}

function addFromStart(
  members: readonly MemberRecord[],
  count: number,
  random: RandomSource,
  accept: (member: MemberRecord) => boolean,
  chosen: Set<MemberRecord>,
): void {
  const offset = Math.floor(random() * members.length);
  for (let step = 0; step < members.length && chosen.size < count; step += 1) {
    const member = members[(offset + step) % members.length]!;
    if (accept(member)) chosen.add(member);
  }
}
