/**
 * Hashes that must be equal on all machines: whoever computes another value places flows, shards or duties
 * elsewhere.
 */
import { combine32, hashString, mix32 } from '../../src/common/hash.js';
import { leaseCandidates, slotsOf } from '../../src/gue-edge/dissemination/reader-candidates.js';
import { backendKey } from '../../src/gue-edge/flow/backend-catalogue.js';
import { fingerprintFlow, shardOf } from '../../src/gue-edge/flow/flow-key.js';
import { ShardMap } from '../../src/gue-edge/flow/shard-map.js';
import { DigestedShardSet } from '../../src/gue-edge/flow/shard-set.js';
import { ProberRanking } from '../../src/gue-edge/health/prober-assignment.js';
import { VoteTable } from '../../src/gue-edge/health/votes.js';
import { CallRates } from '../../src/cookie-edge/load/call-rates.js';
import { recordDigest } from '../../src/gue-edge/membership/member-record.js';
import { bucketOf } from '../../src/gue-edge/membership/member-table.js';
import { rendezvousScore, weightedRendezvous } from '../../src/gue-edge/placement/weighted-rendezvous.js';
import { digestOfRoutes } from '../../src/cookie-edge/routing/route-table-change.js';
import { readDelayMs, readBackoffMs } from '../../src/cookie-edge/spreading/source-read-pacing.js';
import { hashOfDaemon } from '../../src/cookie-edge/spreading/fleet-size.js';
import { ReaderRole } from '../../src/cookie-edge/spreading/index.js';

const WORDS = [0, 1, 0x7fffffff, 0x80000000, 0xdeadbeef, 0xffffffff];
const TEXTS = ['', 'a', 'balancer-1', 'north/orders/b1', '2:b-1', 'überlast', 'x'.repeat(300)];

/** Hashes of numbers and texts. */
export function computeBasicHashes(): Promise<unknown> {
  return Promise.resolve({
    mix32: WORDS.map((word) => [word, mix32(word)]),
    combine32: WORDS.flatMap((left) => WORDS.map((right) => [left, right, combine32(left, right)])),
    hashString: TEXTS.map((text) => [text, hashString(text)]),
  });
}

const FLOWS = [
  [0, 0, 0, 0],
  [0x0a000001, 40_000, 0x0ac80002, 443],
  [0x0a000001, 40_001, 0x0ac80002, 443],
  [0xc0a8ffff, 65_535, 0xffffffff, 65_535],
] as const;

const WEIGHTED = Array.from({ length: 7 }, (_unused, index) => ({
  id: hashString(`b-${index}`),
  weight: [1, 2.5, 0.001, 1_000, 1, 8, 3][index] ?? 1,
}));

function flowForms(flow: (typeof FLOWS)[number]): unknown {
  const fingerprint = { high: 0, low: 0 };
  const [callerAddress, callerPort, serviceAddress, servicePort] = flow;
  fingerprintFlow(callerAddress, callerPort, serviceAddress, servicePort, fingerprint);
  const ranked = (count: number): number[] =>
    weightedRendezvous(fingerprint, WEIGHTED, count).map(({ id }) => id);
  return {
    flow,
    fingerprint,
    shard: shardOf(fingerprint.high),
    first: ranked(1),
    ranked: ranked(7),
    scores: WEIGHTED.map(({ id, weight }) => rendezvousScore(fingerprint, id, weight).toPrecision(12)),
  };
}

type Member = Parameters<typeof ShardMap.build>[0][number];

const MEMBERS = Array.from({ length: 8 }, (_unused, index): Member => ({
  id: `balancer-${index}`,
  region: 'north',
  zone: ['a', 'b', 'c'][index % 3] ?? 'a',
  control: { host: '10.0.0.1', port: 9_100 },
  admin: { host: '10.0.0.1', port: 9_200 },
  data: { host: '10.0.0.1', port: 6_080 },
  incarnation: 1_700_000_000_000 + index,
  state: 'active',
  settingsVersion: 1,
}));

const SHARDS = [0, 1, 2, 255, 256, 2_047, 2_748, 4_094, 4_095];

/** Keepers and backups of some shards, the replica peers of each member, and a hash over the keepers of all shards. */
function shardOwners(): unknown {
  const map = ShardMap.build(MEMBERS);
  const keepers = Array.from({ length: 4_096 }, (_unused, shard) => map.keeper(shard)?.id ?? '');
  const owners = SHARDS.map((shard) => {
    const keeper = map.keeper(shard);
    return [shard, keeper?.id, keeper && map.backup(shard, keeper)?.id];
  });
  const peers = MEMBERS.map((member) => [member.id, map.backups(member).map(({ id }) => id)]);
  return { owners, peers: Object.fromEntries(peers) as unknown, all: hashString(keepers.join()) };
}

function shardSetDigest(): number {
  const set = new DigestedShardSet();
  for (const shard of SHARDS) set.add(shard);
  set.delete(256);
  return set.digest;
}

/** Where flows belong: fingerprints, shards, back ends, keepers and backups. */
export function computePlacementHashes(): Promise<unknown> {
  return Promise.resolve({
    flows: FLOWS.map(flowForms),
    backendKey: [
      backendKey(1, { host: '10.1.2.3', port: 7_001 }),
      backendKey(0xffffffff, { host: '10.1.2.3', port: 7_002 }),
    ],
    shards: shardOwners(),
    shardSetDigest: shardSetDigest(),
  });
}

type MemberRecord = Parameters<typeof recordDigest>[0];

function memberRecord(lifecycle: MemberRecord['lifecycle']): MemberRecord {
  const endpoint = { host: '10.0.0.1', port: 9_100 };
  const identity = { id: 'balancer-1', zone: 'a', control: endpoint, admin: endpoint, data: endpoint };
  return {
    identity,
    idHash: hashString('balancer-1'),
    incarnation: 1_700_000_000_123,
    refutation: 2,
    lifecycle,
    suspected: false,
    changedAtMs: 0,
  };
}

function voteDigest(): number[] {
  const table = new VoteTable();
  for (const [index, word] of WORDS.entries()) {
    const vote = { memberHash: hashString(`balancer-${index}`), backendId: word, version: 1 };
    table.apply({ ...vote, verdict: index % 3, passiveFailures: 0, load: undefined, learnedAtMs: 0 });
  }
  return table.digest();
}

/** Who probes which back end. */
function probers(): unknown {
  const candidates = MEMBERS.map(({ id, zone }) => ({ id, zone, hash: hashString(id) }));
  const names = new Map(candidates.map(({ id, hash }) => [hash, id]));
  const ranking = new ProberRanking(candidates);
  return WORDS.map((word) => [word, ranking.probersOf(word, 5).map((hash) => names.get(hash))]);
}

/** Which members of a region read the store of trees. */
function treeReaders(): unknown {
  const leases = [0, 1, 2].map((slot) => leaseCandidates('north', slot, MEMBERS).map(({ id }) => id));
  const slots = MEMBERS.map(({ id }) => [id, slotsOf(id, 'north', MEMBERS)]);
  return { leases, slots: Object.fromEntries(slots) as unknown };
}

/** Duties and digests among the balancers of a fleet. */
export function computeFleetHashes(): Promise<unknown> {
  const lifecycles = ['joining', 'active', 'leaving', 'failed', 'left'] as const;
  return Promise.resolve({
    recordDigests: lifecycles.map((lifecycle) => [lifecycle, recordDigest(memberRecord(lifecycle))]),
    recordBuckets: WORDS.map((word) => [word, bucketOf(word)]),
    voteDigest: voteDigest(),
    probers: probers(),
    treeReaders: treeReaders(),
  });
}

const ROUTE = { name: 'web', address: 0x0ac80001, port: 443, targets: [{ service: 'orders', weight: 0.75 }] };
const ROUTES = [
  ROUTE,
  { ...ROUTE, name: 'mail', allowedRegions: ['north', 'south'] },
  { ...ROUTE, name: 'split', targets: [...ROUTE.targets, { service: 'orders-next', weight: 0.25 }] },
];

const READER_TIMINGS = {
  readerMissedMs: 5_000,
  readerFreshMs: 2_000,
  pullAfterMs: 1_000,
} as ConstructorParameters<typeof ReaderRole>[2];

/** Readers in the order in which a daemon names them, the last one without a recent confirmation. */
function leadingReaders(): unknown {
  const role = new ReaderRole(
    'daemon-0',
    () => 0.5,
    READER_TIMINGS,
    () => true,
  );
  for (let index = 1; index <= 8; index += 1) {
    role.recordReader({ id: `daemon-${index}`, confirmedAtMs: index === 4 ? 6_000 : 9_000 });
  }
  return role.readersToAdvertise(10_000, 8).map(({ id }) => id);
}

/** Tags of busy back ends, which reports name them by. */
function loadTags(): unknown {
  const rates = new CallRates();
  const counts = Array.from({ length: 6 }, (_unused, index) => ({
    id: `srv-${index}`,
    service: 'orders',
    capacity: 4,
    calls: 0,
  }));
  rates.updateCounts(counts, 0);
  rates.updateCounts(
    counts.map((count, index) => ({ ...count, calls: index < 2 ? 1_000 * (index + 2) : 10 })),
    1_000,
  );
  return rates.findBusyBackends().map(({ tag, level }) => ({ tag, level: level.toPrecision(12) }));
}

/** Ranks, digests and delays among the daemons of a cookie edge. */
export function computeDaemonHashes(): Promise<unknown> {
  const delays = [0, 0.01, 0.5, 1].flatMap((turn) =>
    [1, 30, 600].map((daemons) => [turn, daemons, readDelayMs(turn, daemons, 2_000).toPrecision(12)]),
  );
  return Promise.resolve({
    routeDigests: [[], ROUTES, ...ROUTES.map((route) => [route])].map(digestOfRoutes),
    sameInOtherOrder: digestOfRoutes([...ROUTES].reverse()) === digestOfRoutes(ROUTES),
    fleetSize: [9_101, 9_102].map((port) => hashOfDaemon({ host: '10.0.0.9', port })),
    leadingReaders: leadingReaders(),
    loadTags: loadTags(),
    askDelays: delays,
    askIntervals: [1, 8, 9, 600].map((daemons) => [daemons, readBackoffMs(daemons)]),
  });
}
