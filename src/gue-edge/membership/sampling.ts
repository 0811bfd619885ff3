/**
 * Random choice of members.
 *
 * Owns no state. Relies on seeded random numbers.
 */
import type { RandomSource } from '../../common/random.js';
import type { MemberRecord } from './member-record.js';

/**
 * Draws for each wanted member before the list is searched from a random place. Four suffice where most members pass.
 */
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
  if (chosen.size >= count) return [...chosen];
  for (const member of fromRandomStart(members, random)) {
    if (chosen.size >= count) break;
    if (accept(member)) chosen.add(member);
  }
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

/** Members from a random place of the list on, for when drawing at random met too few that pass. */
function* fromRandomStart(members: readonly MemberRecord[], random: RandomSource): Generator<MemberRecord> {
  const offset = Math.floor(random() * members.length);
  for (let step = 0; step < members.length; step += 1) yield members[(offset + step) % members.length]!;
}
