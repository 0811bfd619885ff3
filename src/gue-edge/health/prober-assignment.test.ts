import test from 'ava';
import { hashString } from '../../common/hash.js';
import { seededRandom } from '../../common/random.js';
import { ProberRanking, type ProberCandidate } from './prober-assignment.js';

function fleet(members: number, zones: number): ProberCandidate[] {
  return Array.from({ length: members }, (_, index) => {
    const id = `balancer-${index}`;
    return { id, hash: hashString(id), zone: `zone-${index % zones}` };
  });
}

const BACKENDS = Array.from({ length: 500 }, (_, index) => hashString(`backend-${index}`));

const FLEETS = [
  { members: 1, zones: 1, probers: 1, zonesUsed: 1 },
  { members: 2, zones: 2, probers: 2, zonesUsed: 2 },
  { members: 9, zones: 1, probers: 3, zonesUsed: 1 },
  { members: 9, zones: 2, probers: 3, zonesUsed: 2 },
  { members: 60, zones: 3, probers: 3, zonesUsed: 3 },
  { members: 60, zones: 11, probers: 3, zonesUsed: 3 },
] as const;
for (const { members, zones, probers, zonesUsed } of FLEETS) {
  test(`${members} members in ${zones} zones: ${probers} probers in ${zonesUsed} zones, work shared out`, (t) => {
    const candidates = fleet(members, zones);
    const ranking = new ProberRanking(candidates);
    t.true(ranking.hasZone('zone-0'));
    t.false(ranking.hasZone('zone-elsewhere'));
    const zoneOf = new Map(candidates.map(({ hash, zone }) => [hash, zone]));
    const work = new Map<number, number>();
    for (const backendId of BACKENDS) {
      const chosen = ranking.probersOf(backendId);
      t.is(new Set(chosen).size, probers);
      t.is(new Set(chosen.map((hash) => zoneOf.get(hash))).size, zonesUsed);
      for (const hash of chosen) work.set(hash, (work.get(hash) ?? 0) + 1);
    }
    const mean = (BACKENDS.length * probers) / members;
    t.true(
      Math.max(...work.values()) <= mean + 5 * Math.sqrt(mean),
      `${Math.max(...work.values())} of ${mean}`,
    );
  });
}

test('a member that goes moves its own probes only, whatever the order of the members', (t) => {
  const candidates = fleet(40, 4);
  const before = new ProberRanking(candidates);
  const gone = candidates[7]!;
  const after = new ProberRanking(candidates.filter((candidate) => candidate !== gone).reverse());
  for (const backendId of BACKENDS) {
    const old = before.probersOf(backendId);
    const kept = old.filter((hash) => hash !== gone.hash);
    t.deepEqual(
      after.probersOf(backendId).filter((hash) => kept.includes(hash)),
      kept,
    );
  }
});

test('probers that a change of members surely leaves are those that the new ranking finds', (t) => {
  const random = seededRandom(17);
  const pick = (limit: number): number => Math.floor(random() * limit);
  let [left, found] = [0, 0];
  for (let round = 0; round < 200; round += 1) {
    const zones = 1 + pick(5);
    const before = fleet(1 + pick(30), zones);
    const after = before.filter(() => random() > 0.1);
    for (let added = pick(3); added > 0; added -= 1) {
      const id = `new-${round}-${added}`;
      after.push({ id, hash: hashString(id), zone: `zone-${pick(zones + 1)}` });
    }
    const [earlier, later] = [new ProberRanking(before), new ProberRanking(after)];
    const changes = later.changesSince(earlier);
    for (const backendId of BACKENDS.slice(0, 50)) {
      for (const count of [2, 3]) {
        const probers = earlier.probersOf(backendId, count);
        if (changes.leaves(backendId, probers, count)) {
          left += 1;
          t.deepEqual(later.probersOf(backendId, count), probers);
        } else found += 1;
      }
    }
  }
  t.true(left > 1_000 && found > 1_000, `${left} left, ${found} found anew`);
});

test('one newcomer of many changes the probers of few back ends', (t) => {
  const before = fleet(200, 4);
  const changes = new ProberRanking([
    ...before,
    { id: 'new', hash: hashString('new'), zone: 'zone-1' },
  ]).changesSince(new ProberRanking(before));
  const earlier = new ProberRanking(before);
  const kept = BACKENDS.filter((id) => changes.leaves(id, earlier.probersOf(id, 3), 3)).length;
  t.true(kept > 0.95 * BACKENDS.length, `${kept} of ${BACKENDS.length}`);
});
