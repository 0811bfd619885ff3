import test from 'ava';
import Result from 'true-myth/result';
import type { VirtualClock } from '../../common/clock.js';
import { seededRandom, pick } from '../../common/random.js';
import { StoreError } from '../../store/errors.js';
import { SimulatedCluster } from '../testing/simulated-membership-cluster.js';
import type { MembershipPlatform } from './membership-options.js';

/** The platform's leases; members in `unreachable` get no answer. */
class LeaseStore {
  readonly unreachable = new Set<string>();
  down = false;
  private holder = '';
  private untilMs = 0;
  private token = 0;

  client(memberId: string, clock: VirtualClock): MembershipPlatform {
    const failure = (): StoreError | undefined =>
      this.down || this.unreachable.has(memberId)
        ? new StoreError('platform.unreachable', 'no answer', 'Wait')
        : undefined;
    return {
      listMachines: async () => Result.ok([]),
      acquireLease: async (name, holder, durationMs) => {
        const failed = failure();
        if (failed) return Result.err(failed);
        const nowMs = clock.now();
        if (this.holder !== holder && nowMs < this.untilMs) {
          return Result.err(new StoreError('platform.lease-held', 'held', 'Wait'));
        }
        if (this.holder !== holder) this.token += 1;
        this.holder = holder;
        this.untilMs = nowMs + durationMs;
        return Result.ok({
          name,
          holder,
          fencingToken: this.token,
          trustedUntilMs: nowMs + durationMs * 0.9,
        });
      },
      releaseLease: async (lease) => {
        const failed = failure();
        if (failed) return Result.err(failed);
        if (this.holder === lease.holder) this.untilMs = 0;
        return Result.ok<void, StoreError>(undefined);
      },
    };
  }
}

async function startCluster(
  size: number,
  zones?: readonly string[],
): Promise<[SimulatedCluster, LeaseStore]> {
  const store = new LeaseStore();
  const cluster = new SimulatedCluster({
    size,
    zones,
    platform: (id, clock) => store.client(id, clock),
  });
  for (let index = 0; index < size; index += 1) cluster.boot(index).membership.activate();
  await cluster.clock.advanceAsync(15_000, 50);
  return [cluster, store];
}

function quorate(cluster: SimulatedCluster, index: number): boolean {
  return cluster.at(index).membership.view().quorate;
}

/** Advances until member `index` is quorate; Infinity when it does not become so within `limitMs`. */
async function timeUntilQuorate(cluster: SimulatedCluster, index: number, limitMs: number): Promise<number> {
  for (let passed = 0; passed <= limitMs; passed += 50) {
    if (quorate(cluster, index)) return passed;
    await cluster.clock.advanceAsync(50, 50);
  }
  return Infinity;
}

test('a region that starts is quorate through the lease, and without the platform it is not', async (t) => {
  const [cluster] = await startCluster(3);
  t.deepEqual(
    [0, 1, 2].map((index) => quorate(cluster, index)),
    [true, true, true],
  );
  const store = new LeaseStore();
  store.down = true;
  const other = new SimulatedCluster({ size: 3, platform: (id, clock) => store.client(id, clock) });
  for (let index = 0; index < 3; index += 1) other.boot(index).membership.activate();
  await other.clock.advanceAsync(15_000, 50);
  t.deepEqual(
    [0, 1, 2].map((index) => quorate(other, index)),
    [false, false, false],
  );
  store.down = false;
  await other.clock.advanceAsync(15_000, 50);
  t.deepEqual(
    [0, 1, 2].map((index) => quorate(other, index)),
    [true, true, true],
  );
});

/** Activates a member as soon as it may found its region; true when it did within 40 s. */
async function founds(cluster: SimulatedCluster, index: number): Promise<boolean> {
  const { membership } = cluster.at(index);
  for (let second = 0; second < 40; second += 1) {
    await cluster.clock.advanceAsync(1_000, 50);
    if (!membership.mayFoundRegion()) continue;
    membership.activate();
    await cluster.clock.advanceAsync(2_000, 50);
    return true;
  }
  return false;
}

test('the only member of a region founds it through the lease; a newcomer cut off from a running region does not', async (t) => {
  const alone = new LeaseStore();
  const site = new SimulatedCluster({ size: 1, platform: (id, clock) => alone.client(id, clock) });
  site.boot(0);
  t.false(site.at(0).membership.mayFoundRegion());
  t.true(await founds(site, 0));
  t.true(quorate(site, 0));

  const [cluster] = await startCluster(4);
  cluster.crash(3);
  await cluster.clock.advanceAsync(20_000, 50);
  cluster.network.partition(
    [0, 1, 2].map((index) => cluster.idOf(index)),
    [cluster.idOf(3)],
  );
  cluster.boot(3);
  t.false(await founds(cluster, 3));
  t.true(quorate(cluster, 0));
});

test('two members, one crash: the survivor goes on', async (t) => {
  const cases: [name: string, crashed: number, storeDown: boolean, within: number][] = [
    ['lowest id survives', 1, false, 0],
    ['lowest id survives without the platform', 1, true, 0],
    ['other survives through the lease', 0, false, 12_000],
    ['other stays without quorum when the platform is down', 0, true, Infinity],
  ];
  for (const [name, crashed, storeDown, within] of cases) {
    const [cluster, store] = await startCluster(2);
    t.true(quorate(cluster, 0) && quorate(cluster, 1), name);
    cluster.crash(crashed);
    store.down = storeDown;
    const survivor = 1 - crashed;
    await cluster.clock.advanceAsync(4_000, 50);
    t.is(quorate(cluster, survivor), within === 0, `${name}, after the removal`);
    const backMs = await timeUntilQuorate(cluster, survivor, 30_000);
    t.true(within === Infinity ? backMs === Infinity : backMs <= within, `${name}: ${backMs}`);
    await cluster.clock.advanceAsync(30_000, 50);
    t.is(quorate(cluster, survivor), within !== Infinity, `${name}, and it stays so`);
  }
});

test('two members cut off from each other are never both quorate once they have noticed', async (t) => {
  for (const storeDown of [false, true]) {
    const [cluster, store] = await startCluster(2);
    store.down = storeDown;
    cluster.network.partition([cluster.idOf(0)], [cluster.idOf(1)]);
    await cluster.clock.advanceAsync(4_000, 50);
    for (let sample = 0; sample < 600; sample += 1) {
      await cluster.clock.advanceAsync(100, 50);
      t.false(quorate(cluster, 0) && quorate(cluster, 1), `sample ${sample}, platform down: ${storeDown}`);
    }
    t.true(quorate(cluster, 0), 'the lowest id goes on');
    cluster.network.heal();
    await cluster.clock.advanceAsync(15_000, 50);
    t.true(quorate(cluster, 0) && quorate(cluster, 1));
  }
});

test('one member cut off from a majority never takes the lease from it', async (t) => {
  for (const single of [0, 2]) {
    const [cluster] = await startCluster(3);
    const others = [0, 1, 2].filter((index) => index !== single);
    cluster.network.partition(
      [cluster.idOf(single)],
      others.map((index) => cluster.idOf(index)),
    );
    await cluster.clock.advanceAsync(6_000, 50);
    for (let sample = 0; sample < 300; sample += 1) {
      await cluster.clock.advanceAsync(100, 50);
      t.false(quorate(cluster, single), `${single} at sample ${sample}`);
      t.true(
        others.every((index) => quorate(cluster, index)),
        `others of ${single} at sample ${sample}`,
      );
    }
  }
});

test('crashes one after the other leave the last survivor quorate, since the base shrinks with each settled view', async (t) => {
  const [cluster] = await startCluster(4);
  for (const crashed of [3, 2, 1]) {
    cluster.crash(crashed);
    await cluster.clock.advanceAsync(20_000, 50);
    t.true(quorate(cluster, 0), `after the crash of ${crashed}`);
  }
});

test('random partitions of a region: at most one side is quorate once they have been noticed', async (t) => {
  const random = seededRandom(7);
  const size = 5;
  const [cluster, store] = await startCluster(size);
  const indexes = Array.from({ length: size }, (_, index) => index);
  let divided = 0;
  for (let round = 0; round < 8; round += 1) {
    const left = indexes.filter(() => random() < 0.5);
    const right = indexes.filter((index) => !left.includes(index));
    store.down = pick([true, false], random);
    cluster.network.partition(
      left.map((index) => cluster.idOf(index)),
      right.map((index) => cluster.idOf(index)),
    );
    await cluster.clock.advanceAsync(5_000, 100);
    if (left.length > 0 && right.length > 0) divided += 1;
    for (let sample = 0; sample < 50; sample += 1) {
      await cluster.clock.advanceAsync(400, 100);
      const leftQuorate = left.filter((index) => quorate(cluster, index));
      const rightQuorate = right.filter((index) => quorate(cluster, index));
      t.false(
        leftQuorate.length > 0 && rightQuorate.length > 0,
        `round ${round}: ${leftQuorate.join()} and ${rightQuorate.join()} of ${left.join()}|${right.join()}`,
      );
    }
    cluster.network.heal();
    store.down = false;
    await cluster.clock.advanceAsync(30_000, 100);
    t.true(
      indexes.every((index) => quorate(cluster, index)),
      `round ${round}: all are quorate after healing`,
    );
  }
  t.true(divided >= 5);
});

test('a partition that changes sides without healing leaves one side quorate: the one of the latest base', async (t) => {
  const [cluster] = await startCluster(5);
  const cut = async (left: readonly number[], right: readonly number[]): Promise<void> => {
    cluster.network.heal();
    cluster.network.partition(
      left.map((index) => cluster.idOf(index)),
      right.map((index) => cluster.idOf(index)),
    );
    await cluster.clock.advanceAsync(30_000, 50);
  };
  const all = (): boolean[] => [0, 1, 2, 3, 4].map((index) => quorate(cluster, index));
  await cut([0, 1, 2], [3, 4]);
  t.deepEqual(all(), [true, true, true, false, false]);
  cluster.network.heal();
  cluster.network.partition(
    [0, 3, 4].map((index) => cluster.idOf(index)),
    [1, 2].map((index) => cluster.idOf(index)),
  );
  await cluster.clock.advanceAsync(5_000, 50);
  for (let sample = 0; sample < 250; sample += 1) {
    await cluster.clock.advanceAsync(100, 50);
    t.deepEqual(all(), [false, true, true, false, false], `sample ${sample}`);
  }
  cluster.network.heal();
  await cluster.clock.advanceAsync(30_000, 50);
  t.deepEqual(all(), [true, true, true, true, true]);
});
