/**
 * Owners of the shards by a membership view. A pure function of the view's owners (active and suspect members):
 * equal owners give equal maps on every balancer, whatever the order of changes that led there.
 */
import { combine32, hashString } from '../../common/hash.js';
import type { Member, MembershipView } from '../membership/types.js';
import { MAX_BACKUPS_PER_KEEPER, SHARD_COUNT } from './constants.js';

const NO_OWNER = -1;
const BACKUP_SALT = 0x6261636b;

/** Members that own shards: active and suspect ones. */
export function listOwners(view: MembershipView): Member[] {
  return view.members.filter((member) => member.state === 'active' || member.state === 'suspect');
}

interface RankedBackup {
  readonly member: Member;
  readonly hash: number;
}

function compareIds(left: Member, right: Member): number {
  return left.id < right.id ? -1 : left.id > right.id ? 1 : 0;
}

/** Keeper and backup of each shard. */
export class ShardMap {
  private readonly hashes: Uint32Array;
  private readonly keepers = new Int16Array(SHARD_COUNT).fill(NO_OWNER);
  private readonly scores = new Uint32Array(SHARD_COUNT);
  private readonly backupLists = new Map<string, readonly RankedBackup[]>();

  private constructor(readonly owners: readonly Member[]) {
    this.hashes = Uint32Array.from(owners, (member) => hashString(member.id));
  }

  /** Computes the map from nothing; `owners` in any order. */
  static build(owners: readonly Member[]): ShardMap {
    const map = new ShardMap([...owners].sort(compareIds));
    for (let shard = 0; shard < SHARD_COUNT; shard += 1) map.assign(shard);
    return map;
  }

  /** Computes the map of `owners` from an earlier one; cheap when few members changed. */
  static update(previous: ShardMap, owners: readonly Member[]): ShardMap {
    const map = new ShardMap([...owners].sort(compareIds));
    const indexById = new Map(map.owners.map((member, index) => [member.id, index]));
    const known = new Set(previous.owners.map((member) => member.id));
    const added = map.owners.flatMap((member, index) => (known.has(member.id) ? [] : [index]));
    if (added.length > MAX_INCREMENTAL_CHANGES) return ShardMap.build(owners);
    for (let shard = 0; shard < SHARD_COUNT; shard += 1) {
      const keeper = indexById.get(previous.keeper(shard)?.id ?? '');
      if (keeper === undefined) {
        map.assign(shard);
        continue;
      }
      map.keepers[shard] = keeper;
      map.scores[shard] = previous.scores[shard]!;
      for (const index of added) map.offer(shard, index);
    }
    return map;
  }

  /** Keeper of a shard; undefined when no member owns shards. */
  keeper(shard: number): Member | undefined {
    return this.owners[this.keepers[shard]!];
  }

  /** Backup for a shard kept by `keeper`; undefined when the keeper is the only owner. */
  backup(shard: number, keeper: Member): Member | undefined {
    let best: Member | undefined;
    let bestScore = -1;
    for (const candidate of this.rankedBackups(keeper)) {
      const score = combine32(candidate.hash, shard);
      if (score <= bestScore) continue;
      best = candidate.member;
      bestScore = score;
    }
    return best;
  }

  /** The replica peers of a keeper, best first. */
  backups(keeper: Member): readonly Member[] {
    return this.rankedBackups(keeper).map((backup) => backup.member);
  }

  private rankedBackups(keeper: Member): readonly RankedBackup[] {
    let list = this.backupLists.get(keeper.id);
    if (!list) {
      list = this.rankBackups(keeper);
      this.backupLists.set(keeper.id, list);
    }
    return list;
  }

  private rankBackups(keeper: Member): readonly RankedBackup[] {
    const keeperHash = hashString(keeper.id);
    const otherZones = this.owners.some((member) => member.zone !== keeper.zone);
    const best: { index: number; score: number }[] = [];
    this.owners.forEach((member, index) => {
      if (member.id === keeper.id || (otherZones && member.zone === keeper.zone)) return;
      const score = combine32(keeperHash, this.hashes[index]!);
      const rank = best.findIndex((other) => score > other.score);
      if (rank < 0 && best.length >= MAX_BACKUPS_PER_KEEPER) return;
      best.splice(rank < 0 ? best.length : rank, 0, { index, score });
      best.length = Math.min(best.length, MAX_BACKUPS_PER_KEEPER);
    });
    return best.map(({ index }) => ({
      member: this.owners[index]!,
      hash: this.hashes[index]! ^ BACKUP_SALT,
    }));
  }

  private assign(shard: number): void {
    this.keepers[shard] = NO_OWNER;
    this.scores[shard] = 0;
    for (let index = 0; index < this.hashes.length; index += 1) this.offer(shard, index);
  }

  private offer(shard: number, index: number): void {
    const score = combine32(this.hashes[index]!, shard);
    const current = this.keepers[shard]!;
    if (current !== NO_OWNER) {
      if (score < this.scores[shard]!) return;
      if (score === this.scores[shard] && current < index) return;
    }
    this.keepers[shard] = index;
    this.scores[shard] = score;
  }
}

/** Added members beyond which a map is computed from nothing. Many small updates cost more than one computation. */
const MAX_INCREMENTAL_CHANGES = 16;
