import test from 'ava';
import type { Member, MemberState } from '../membership/types.js';
import { MAX_BACKUPS_PER_KEEPER, SHARD_COUNT } from './constants.js';
import { listOwners, ShardMap } from './shard-map.js';

function member(number: number, state: MemberState = 'active', zones = 3): Member {
  const endpoint = { host: '127.0.0.1', port: 1_000 + number };
  return {
    id: `node-${number}`,
    region: 'region',
    zone: `zone-${number % zones}`,
    control: endpoint,
    admin: endpoint,
    data: endpoint,
    incarnation: 1,
    state,
    settingsVersion: 0,
  };
}

function members(count: number, zones = 3): Member[] {
  return Array.from({ length: count }, (_unused, index) => member(index + 1, 'active', zones));
}

function assignment(map: ShardMap): string[] {
  return Array.from({ length: SHARD_COUNT }, (_unused, shard) => {
    const keeper = map.keeper(shard);
    return `${keeper?.id} ${keeper && map.backup(shard, keeper)?.id}`;
  });
}

test('only active and suspect members own shards', (t) => {
  const states: MemberState[] = ['joining', 'active', 'suspect', 'leaving', 'gone'];
  const all = states.map((state, index) => member(index, state));
  const view = { sequence: 1, members: all, digest: 0, quorate: true };
  t.deepEqual(
    listOwners(view).map((owner) => owner.state),
    ['active', 'suspect'],
  );
});

test('a map updated change by change equals one built at once', (t) => {
  const all = members(30);
  let map = ShardMap.build([]);
  t.is(map.keeper(0), undefined);
  const changes = [
    all.slice(0, 1),
    all.slice(0, 7),
    all.slice(3, 7),
    all.slice(3, 30),
    all.slice(12, 29),
    all,
  ];
  for (const owners of changes) {
    map = ShardMap.update(map, owners);
    t.deepEqual(assignment(map), assignment(ShardMap.build([...owners].reverse())));
  }
});

test('a change of one member moves only the shards from or to it', (t) => {
  const all = members(12);
  const before = ShardMap.build(all);
  const after = ShardMap.update(before, all.slice(1));
  for (let shard = 0; shard < SHARD_COUNT; shard += 1) {
    const keeper = before.keeper(shard)!;
    if (keeper.id !== 'node-1') t.is(after.keeper(shard)!.id, keeper.id);
  }
});

test('backups are in other zones, few for each keeper, and share its shards', (t) => {
  const map = ShardMap.build(members(24));
  for (const keeper of map.owners) {
    const backups = map.backups(keeper);
    t.is(backups.length, MAX_BACKUPS_PER_KEEPER);
    t.true(backups.every((backup) => backup.zone !== keeper.zone));
    const used = new Set(
      Array.from({ length: SHARD_COUNT }, (_unused, shard) => map.backup(shard, keeper)!.id),
    );
    t.is(used.size, MAX_BACKUPS_PER_KEEPER);
  }
});

test('with one zone the backup is another member, with one member there is none', (t) => {
  const oneZone = ShardMap.build(members(3, 1));
  for (let shard = 0; shard < SHARD_COUNT; shard += 97) {
    const keeper = oneZone.keeper(shard)!;
    t.not(oneZone.backup(shard, keeper)!.id, keeper.id);
  }
  const alone = ShardMap.build(members(1));
  t.is(alone.backup(0, alone.keeper(0)!), undefined);
});

test('shards are spread evenly', (t) => {
  const map = ShardMap.build(members(8));
  const counts = new Map<string, number>();
  for (let shard = 0; shard < SHARD_COUNT; shard += 1) {
    const { id } = map.keeper(shard)!;
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  for (const count of counts.values()) t.true(Math.abs(count - SHARD_COUNT / 8) < 80, `${count} shards`);
});
