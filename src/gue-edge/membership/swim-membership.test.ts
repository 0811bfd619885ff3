import test from 'ava';
import { Subject } from '../../common/event-stream.js';
import { hashString } from '../../common/hash.js';
import type { EventDefinition } from '../../observability/event.js';
import { measureMembershipCost } from '../testing/membership-cost.js';
import { MEMBERSHIP_EVENTS } from './events.js';
import { SimulatedCluster, type SimulatedMember } from '../testing/simulated-membership-cluster.js';
import { encodeMessage, MessageType } from './wire.js';

/** Ids of the members that own shards in a member's view. */
function owners(member: SimulatedMember): string[] {
  const { members } = member.membership.view();
  return members.filter(({ state }) => state === 'active' || state === 'suspect').map(({ id }) => id);
}

/** True when every running member sees exactly the running members as owners and is quorate. */
function converged(cluster: SimulatedCluster): boolean {
  const expected = [...cluster.members.keys()].sort().join();
  return [...cluster.members.values()].every(
    (member) => owners(member).join() === expected && member.membership.view().quorate,
  );
}

/** Steps the clock until `done`, at most `limitMs`; returns the time it took, Infinity when it did not happen. */
function timeUntil(cluster: SimulatedCluster, done: () => boolean, limitMs: number): number {
  const startMs = cluster.clock.now();
  while (cluster.clock.now() - startMs <= limitMs) {
    if (done()) return cluster.clock.now() - startMs;
    cluster.clock.advance(50);
  }
  return Infinity;
}

function total(cluster: SimulatedCluster, counter: 'failures' | 'suspicionsRaised' | 'refutations'): number {
  return [...cluster.members.values()].reduce(
    (sum, member) => sum + member.membership.statistics()[counter],
    0,
  );
}

test('a crash is suspected and removed in bounded time, at a cost that does not grow with the region', (t) => {
  const rates = new Map<number, number>();
  for (const members of [3, 12, 100, 367]) {
    const cost = measureMembershipCost(members, 5);
    rates.set(members, cost.meanBytesPerSecond);
    t.true(cost.suspectedMs <= 2_000, `${members}: suspected after ${cost.suspectedMs} ms`);
    t.true(cost.firstRemovedMs >= 1_500, `${members}: removed after ${cost.firstRemovedMs} ms`);
    t.true(cost.lastRemovedMs <= 4_500, `${members}: removed everywhere after ${cost.lastRemovedMs} ms`);
    t.true(cost.maxBytesPerSecond <= 2_000, `${members}: ${cost.maxBytesPerSecond} B/s`);
    t.true(cost.crashBytesPerSecond <= 4_000, `${members}: ${cost.crashBytesPerSecond} B/s after a crash`);
  }
  t.true(rates.get(367)! <= 1.2 * rates.get(12)!, JSON.stringify([...rates]));
});

test('members that join one after the other all see each other', (t) => {
  for (const size of [2, 3, 12, 40]) {
    const cluster = new SimulatedCluster({ size });
    cluster.start(3_000);
    t.true(converged(cluster), `${size}`);
    const views = [...cluster.members.values()].map((member) => member.membership.view());
    t.is(new Set(views.map((view) => view.digest)).size, 1, 'equal ownership has equal digests');
  }
});

test('lost and repeated datagrams remove nobody', (t) => {
  for (const [lossRate, mostSuspicions] of [
    [0.01, 0],
    [0.05, 4],
    [0.1, 40],
  ] as const) {
    const cluster = new SimulatedCluster({ size: 12, lossRate, duplicateRate: 0.02 });
    cluster.start();
    const before = total(cluster, 'suspicionsRaised');
    cluster.clock.advance(120_000);
    t.is(total(cluster, 'failures'), 0, `${lossRate}`);
    const suspicions = total(cluster, 'suspicionsRaised') - before;
    t.true(suspicions <= mostSuspicions, `${lossRate}: ${suspicions} suspicions in 2,880 probes`);
    t.true(timeUntil(cluster, () => converged(cluster), 10_000) < Infinity, `${lossRate}`);
  }
});

test('a zone that is cut off loses quorum, the rest keeps it, and both come together again', (t) => {
  for (const size of [12, 60]) {
    const cluster = new SimulatedCluster({ size });
    cluster.start();
    const cut = cluster.idsInZone('zone-c');
    const rest = [...cluster.idsInZone('zone-a'), ...cluster.idsInZone('zone-b')];
    const isQuorate = (id: string): boolean => cluster.members.get(id)!.membership.view().quorate;
    cluster.network.partition(cut, rest);
    const lostMs = timeUntil(cluster, () => cut.every((id) => !isQuorate(id)), 10_000);
    t.true(lostMs <= 4_000, `${size}: quorum lost after ${lostMs} ms`);
    cluster.clock.advance(10_000);
    t.true(rest.every(isQuorate), `${size}`);
    t.deepEqual(owners(cluster.members.get(rest[0]!)!), [...rest].sort());
    t.true(cut.every((id) => !isQuorate(id)));
    for (const id of rest) t.is(cluster.members.get(id)!.membership.statistics().zoneEvents, 1, id);
    cluster.clock.advance(20_000);
    cluster.network.heal();
    const lost: string[] = [];
    const watched = rest.map((id) => cluster.members.get(id)!);
    const watch = (): boolean => {
      for (const member of watched) {
        if (!rest.every((id) => owners(member).includes(id)) || !isQuorate(member.id)) lost.push(member.id);
      }
      return converged(cluster);
    };
    const healedMs = timeUntil(cluster, watch, 40_000);
    t.true(healedMs <= 30_000, `${size}: together again after ${healedMs} ms`);
    t.deepEqual(lost, [], `${size}: the majority kept its own members and its quorum while healing`);
  }
});

test('a silent zone of a large region is one event and few changes of the view', (t) => {
  const cluster = new SimulatedCluster({ size: 60 });
  cluster.startWarm();
  const survivor = cluster.at(0);
  const removals: number[] = [];
  let known = owners(survivor).length;
  survivor.membership.subscribe((view) => {
    if (view.members.length < known) removals.push(known - view.members.length);
    known = view.members.length;
  });
  for (let index = 2; index < 60; index += 3) cluster.crash(index);
  const removedMs = timeUntil(cluster, () => owners(survivor).length === 40, 10_000);
  t.true(removedMs <= 6_500, `${removedMs}`);
  t.is(survivor.membership.statistics().zoneEvents, 1);
  t.true(removals.length <= 4, `${removals.join()}`);
  t.true(survivor.membership.view().quorate);
});

test('a member that was paused accuses nobody, is not quorate until it has asked, and comes back', (t) => {
  const cluster = new SimulatedCluster({ size: 12 });
  cluster.start();
  cluster.pause(5);
  cluster.clock.advance(10_000);
  t.false(owners(cluster.at(0)).includes(cluster.idOf(5)));
  const paused = cluster.at(5).membership;
  const suspicionsBefore = paused.statistics().suspicionsRaised;
  const quorate: boolean[] = [];
  paused.subscribe((view) => quorate.push(view.quorate));
  cluster.resume(5);
  t.is(paused.statistics().pauses, 1);
  t.false(paused.view().quorate);
  const backMs = timeUntil(cluster, () => converged(cluster), 10_000);
  t.true(backMs <= 5_000, `${backMs}`);
  t.is(paused.statistics().suspicionsRaised, suspicionsBefore);
  t.is(
    total(cluster, 'failures'),
    11,
    'each of the others removed the paused member, and nobody else was removed',
  );
});

test('messages that waited during a pause do not make a member quorate that is cut off by now', (t) => {
  const cluster = new SimulatedCluster({ size: 12 });
  cluster.start();
  cluster.pause(5);
  cluster.clock.advance(10_000);
  const others = [...cluster.members.keys()].filter((id) => id !== cluster.idOf(5));
  cluster.network.partition([cluster.idOf(5)], others);
  cluster.resume(5);
  const isQuorate = (): boolean => cluster.at(5).membership.view().quorate;
  t.is(timeUntil(cluster, isQuorate, 20_000), Infinity);
  cluster.network.heal();
  t.true(timeUntil(cluster, () => converged(cluster), 20_000) < Infinity);
});

test('a member that is suspected for a short silence refutes it and stays', (t) => {
  const cluster = new SimulatedCluster({ size: 12 });
  cluster.start();
  cluster.pause(5);
  const suspected = (): boolean =>
    cluster
      .at(0)
      .membership.view()
      .members.some(({ id, state }) => id === cluster.idOf(5) && state === 'suspect');
  t.true(timeUntil(cluster, suspected, 3_000) < Infinity);
  cluster.resume(5);
  cluster.clock.advance(5_000);
  t.is(total(cluster, 'failures'), 0);
  t.true(cluster.at(5).membership.statistics().refutations >= 1);
  t.true(converged(cluster));
  const view = cluster.at(0).membership.view();
  const member = view.members.find(({ id }) => id === cluster.idOf(5))!;
  t.is(member.incarnation, cluster.at(5).channel.incarnation, 'a refutation is not a restart');
});

test('a restart with the same id replaces the old process before it would have been removed', (t) => {
  const cluster = new SimulatedCluster({ size: 12 });
  cluster.start();
  cluster.crash(5);
  cluster.clock.advance(100);
  const { channel, membership } = cluster.boot(5);
  membership.activate();
  const replacedMs = timeUntil(
    cluster,
    () =>
      [...cluster.members.values()].every(
        (member) =>
          member.membership.view().members.find(({ id }) => id === cluster.idOf(5))?.incarnation ===
          channel.incarnation,
      ),
    10_000,
  );
  t.true(replacedMs <= 2_000, `${replacedMs}`);
  cluster.clock.advance(10_000);
  t.true(converged(cluster));
  t.is(total(cluster, 'failures'), 0);
});

test('joining, leaving and gone are seen by all, and planned leavers do not cost the quorum', (t) => {
  const cluster = new SimulatedCluster({ size: 4 });
  cluster.start();
  const newcomer = cluster.boot(4);
  cluster.clock.advance(2_000);
  const stateAtFirst = (id: string): string | undefined =>
    cluster
      .at(0)
      .membership.view()
      .members.find((member) => member.id === id)?.state;
  t.is(stateAtFirst(newcomer.id), 'joining');
  newcomer.membership.activate();
  cluster.clock.advance(2_000);
  t.is(stateAtFirst(newcomer.id), 'active');
  for (const index of [4, 3, 2, 1]) {
    const leaver = cluster.at(index);
    leaver.membership.leave();
    cluster.clock.advance(1_500);
    t.is(stateAtFirst(leaver.id), 'leaving');
    leaver.membership.stop();
    cluster.members.delete(leaver.id);
    leaver.channel.close();
    cluster.clock.advance(1_500);
    t.is(stateAtFirst(leaver.id), undefined);
    t.true(converged(cluster), `after ${leaver.id}`);
  }
  t.is(total(cluster, 'failures'), 0);
  t.throws(() => cluster.at(0).membership.activate(), { message: /joining/ });
});

test('the tree version of a member is learnt from its probes, without a new view', (t) => {
  const versions = new Map<string, number>();
  const cluster = new SimulatedCluster({ size: 3, settingsVersion: (id) => versions.get(id) ?? 0 });
  cluster.start();
  const sequence = cluster.at(0).membership.view().sequence;
  versions.set(cluster.idOf(2), 17);
  cluster.clock.advance(3_000);
  const view = cluster.at(0).membership.view();
  t.is(view.members.find(({ id }) => id === cluster.idOf(2))?.settingsVersion, 17);
  t.is(view.sequence, sequence);
});

test('events of a crash: suspected and removed once each', (t) => {
  const log = new Subject<EventDefinition>();
  const seen: EventDefinition[] = [];
  log.subscribe((event) => seen.push(event));
  const cluster = new SimulatedCluster({
    size: 6,
    events: (id) => ({ emit: (event) => (id === 'bal-0000' ? log.push(event) : undefined) }),
  });
  cluster.start();
  seen.length = 0;
  cluster.crash(3);
  cluster.clock.advance(10_000);
  t.deepEqual(seen, [MEMBERSHIP_EVENTS.memberSuspect, MEMBERSHIP_EVENTS.memberFailed]);
});

test('a malformed entry is logged with its sender, and the rest of its message is used', (t) => {
  const logged: string[] = [];
  const cluster = new SimulatedCluster({
    size: 2,
    events: (memberId) => ({
      emit: ({ number }: EventDefinition, fields = {}) => {
        const { badMessage } = MEMBERSHIP_EVENTS;
        if (number === badMessage.number) logged.push(`${memberId} from ${String(fields['member'])}`);
      },
    }),
  });
  cluster.start(3_000);
  const [sender, receiver] = [...cluster.members.values()] as [SimulatedMember, SimulatedMember];
  const entries = [Uint8Array.of(0xff, 0xff, 0xff)];
  const payload = encodeMessage({ type: MessageType.GOSSIP, regionHash: hashString('simulated'), entries });
  sender.channel.send(receiver.endpoint, 'membership', payload);
  cluster.clock.advance(50);
  t.deepEqual(logged, [`${receiver.id} from ${sender.id}`]);
  t.true(converged(cluster));
});
