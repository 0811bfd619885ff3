import test from 'ava';
import fc from 'fast-check';
import { HealthSimulation, simulatedBackend, type HealthSimulationOptions } from '../testing/index.js';
import { HEALTH_EVENTS } from './events.js';
import type { BackendHealth } from './types.js';

/** Starts a fleet and lets its probers form a first belief. */
async function started(options: Partial<HealthSimulationOptions> = {}): Promise<HealthSimulation> {
  const simulation = new HealthSimulation({ members: 6, backends: 10, seed: 7, ...options });
  await simulation.advance(3_000);
  return simulation;
}

const conditions = (beliefs: readonly BackendHealth[]): string[] => [
  ...new Set(beliefs.map(({ condition }) => condition)),
];

const CRASHES = [
  { name: 'no openings at all', members: 6, openings: 'none' },
  { name: 'one member', members: 1, openings: 'silent' },
  { name: 'three members', members: 3, openings: 'silent' },
  { name: 'twelve members', members: 12, openings: 'silent' },
  { name: 'twelve members, resets', members: 12, openings: 'reset' },
] as const;
for (const { name, members, openings } of CRASHES) {
  test(`a crashed back end is ineligible everywhere within 3 s: ${name}`, async (t) => {
    for (const seed of [1, 2, 3, 4]) {
      const simulation = await started({ members, seed });
      simulation.backend(4).probe = () => 'silent';
      if (openings === 'none') await simulation.advance(3_000);
      else {
        simulation.backend(4).opening = openings;
        await simulation.advanceWithOpenings(3_000, 2);
      }
      t.true(
        simulation.beliefs(4).every(({ eligible }) => !eligible),
        `seed ${seed}`,
      );
      t.deepEqual(conditions(simulation.beliefs(5)), ['healthy']);
      simulation.stop();
    }
  });
}

const LIARS = [
  { name: 'silent, busy members', members: 3, perSecond: 10, opening: 'silent' },
  { name: 'silent, an opening a second', members: 12, perSecond: 1, opening: 'silent' },
  { name: 'silent, no member alone sees enough', members: 12, perSecond: 0.3, opening: 'silent' },
  { name: 'resets', members: 3, perSecond: 2, opening: 'reset' },
] as const;
for (const { name, members, perSecond, opening } of LIARS) {
  test(`a back end that answers probes but no opening is ejected within 5 s: ${name}`, async (t) => {
    const simulation = await started({ members });
    simulation.backend(2).opening = opening;
    await simulation.advanceWithOpenings(perSecond < 1 ? 3_000 : 5_000, perSecond);
    t.deepEqual(conditions(simulation.beliefs(2)), ['ejected']);
    t.true(simulation.beliefs(2).every(({ eligible }) => !eligible));
    t.regex(
      simulation.members[0]!.monitor.explain(simulation.backend(2).id).join('\n'),
      /ejected for another/,
    );
    t.deepEqual(conditions(simulation.beliefs(3)), ['healthy']);
  });
}

test('a later ejection is longer, and a back end returns with slow start', async (t) => {
  const simulation = await started({ members: 1 });
  const liar = simulation.backend(0);
  liar.opening = 'reset';
  const lengths: number[] = [];
  let ejectedSince: number | undefined;
  for (let step = 0; step < 1_000 && lengths.length < 2; step += 1) {
    await simulation.advanceWithOpenings(100, 10);
    const [belief] = simulation.beliefs(0);
    const nowMs = simulation.clock.now();
    if (belief!.condition === 'ejected') ejectedSince ??= nowMs;
    else if (ejectedSince !== undefined) {
      lengths.push(nowMs - ejectedSince);
      ejectedSince = undefined;
      t.true(belief!.warmup < 0.2);
    }
  }
  t.is(lengths.length, 2);
  t.true(lengths[1]! > lengths[0]! * 1.5, `${lengths}`);
});

test('probes fail but openings are answered: new flows fade, then stop, then return gradually', async (t) => {
  const simulation = await started({ members: 3 });
  simulation.backend(1).probe = () => 'bad';
  await simulation.advanceWithOpenings(4_000, 10);
  const early = simulation.beliefs(1);
  t.true(
    early.every(({ eligible, warmup, condition }) => eligible && warmup < 0.95 && condition === 'unhealthy'),
  );
  await simulation.advanceWithOpenings(4_000, 10);
  const [later] = simulation.beliefs(1);
  t.true(later!.eligible && later!.warmup < early[0]!.warmup);
  await simulation.advanceWithOpenings(6_000, 10);
  t.true(simulation.beliefs(1).every(({ eligible }) => !eligible));
  simulation.backend(1).probe = () => 'good';
  await simulation.advanceWithOpenings(4_000, 10);
  t.true(simulation.beliefs(1).every(({ eligible, warmup }) => eligible && warmup < 1));
});

test('a flapping health endpoint changes nothing', async (t) => {
  const simulation = await started();
  // Each of the three probers sees good and bad in turn.
  const perProber = new Map<number, number>();
  simulation.backend(0).probe = (member) => {
    const count = (perProber.get(member) ?? 0) + 1;
    perProber.set(member, count);
    return count % 2 === 0 ? 'good' : 'bad';
  };
  await simulation.advance(20_000);
  t.true([...perProber.values()].every((count) => count >= 10));
  t.deepEqual(conditions(simulation.beliefs(0)), ['healthy']);
  t.deepEqual(
    simulation.members.flatMap(({ events }) => events),
    [],
  );
});

test('passive ejection takes out no more than the capped share', async (t) => {
  const simulation = await started({ policy: { maxEjectedShare: 0.3, panicShare: 0.1 } });
  for (const backend of simulation.backends.values()) backend.opening = 'reset';
  await simulation.advanceWithOpenings(5_000, 10);
  const eligible = simulation.backendIds.filter((_id, place) => simulation.beliefs(place)[0]!.eligible);
  t.is(eligible.length, 7);
  t.true(simulation.members[0]!.events.includes(HEALTH_EVENTS.ejectionCapped));
});

test('when too few back ends are healthy all of them are used, but not a draining one', async (t) => {
  const simulation = await started();
  simulation.apply((service) => ({
    ...service,
    backends: service.backends.map((backend, index) => ({ ...backend, draining: index === 9 })),
  }));
  for (let place = 0; place < 7; place += 1) simulation.backend(place).probe = () => 'bad';
  await simulation.advance(4_000);
  const eligible = (): number =>
    simulation.backendIds.filter((_id, place) => simulation.beliefs(place)[0]!.eligible).length;
  t.is(eligible(), 9);
  t.is(simulation.members[0]!.monitor.statistics().servicesInPanic, 1);
  t.is(simulation.members[0]!.events.filter((event) => event === HEALTH_EVENTS.panicStarted).length, 1);
  for (let place = 0; place < 4; place += 1) simulation.backend(place).probe = () => 'good';
  await simulation.advance(5_000);
  t.is(eligible(), 6);
  t.true(simulation.members[0]!.events.includes(HEALTH_EVENTS.panicEnded));
});

test('draining takes effect at once, and ending it brings slow start', async (t) => {
  const simulation = await started();
  const drain = (draining: boolean): void =>
    simulation.apply((service) => ({
      ...service,
      backends: service.backends.map((backend, index) => (index === 3 ? { ...backend, draining } : backend)),
    }));
  drain(true);
  t.deepEqual(conditions(simulation.beliefs(3)), ['draining']);
  t.true(simulation.beliefs(3).every(({ eligible }) => !eligible));
  drain(false);
  t.true(simulation.beliefs(3).every(({ eligible, warmup }) => eligible && warmup === 0.1));
});

test('a recovered and an added back end warm up over the slow start', async (t) => {
  const simulation = await started();
  simulation.backend(0).probe = () => 'bad';
  await simulation.advance(4_000);
  t.true(simulation.beliefs(0).every(({ eligible }) => !eligible));
  simulation.backend(0).probe = () => 'good';
  simulation.apply((service) => ({
    ...service,
    backends: [...service.backends, simulatedBackend(service.name, 77)],
  }));
  const warmups = { recovered: [] as number[], added: [] as number[], old: [] as number[] };
  for (let step = 0; step < 16; step += 1) {
    await simulation.advance(1_000);
    warmups.recovered.push(simulation.beliefs(0)[0]!.warmup);
    warmups.added.push(simulation.beliefs(10)[0]!.warmup);
    warmups.old.push(simulation.beliefs(5)[0]!.warmup);
  }
  for (const series of [warmups.recovered, warmups.added]) {
    t.true(Math.min(...series) < 0.3);
    t.is(series.at(-1), 1);
    t.deepEqual(
      series.slice(3),
      [...series.slice(3)].sort((left, right) => left - right),
    );
  }
  t.true(warmups.old.every((warmup) => warmup === 1));
});

test('one prober with a broken path does not make a back end unhealthy; two that agree do', async (t) => {
  const simulation = await started({ members: 3 });
  simulation.backend(0).probe = (member) => (member === 0 ? 'silent' : 'good');
  await simulation.advance(5_000);
  t.deepEqual(conditions(simulation.beliefs(0)), ['healthy']);
  t.regex(
    simulation.members[1]!.monitor.explain(simulation.backend(0).id).join('\n'),
    /balancer-0 say unhealthy/,
  );
  simulation.backend(0).probe = (member) => (member === 2 ? 'good' : 'silent');
  await simulation.advance(5_000);
  t.deepEqual(conditions(simulation.beliefs(0)), ['unhealthy']);
});

test('probers that are gone are replaced and their votes do not count', async (t) => {
  const simulation = await started({ members: 5 });
  simulation.backend(0).probe = (member) => (member < 2 ? 'silent' : 'good');
  await simulation.advance(4_000);
  simulation.setState(0, 'gone');
  simulation.setState(1, 'gone');
  await simulation.advance(4_000);
  t.deepEqual(conditions(simulation.beliefs(0)), ['healthy']);
  const targets = simulation.members.slice(2).map(({ monitor }) => monitor.statistics().probing.targets);
  t.deepEqual(targets, [10, 10, 10]);
});

test('a member that was cut off learns the belief again from digests', async (t) => {
  const simulation = await started({ members: 8, lossShare: 0.2 });
  const cutOff = simulation.members[7]!;
  cutOff.connected = false;
  simulation.backend(0).probe = () => 'bad';
  await simulation.advance(20_000);
  cutOff.connected = true;
  await simulation.advance(8_000);
  t.deepEqual(conditions(simulation.beliefs(0)), ['unhealthy']);
  t.deepEqual(conditions(simulation.beliefs(1)), ['healthy']);
});

test('a balancer that was paused does not hold its own silence against the back ends', async (t) => {
  const simulation = await started({ members: 3 });
  const [member] = simulation.members;
  for (const id of simulation.backendIds) {
    for (let opening = 0; opening < 3; opening += 1) member!.monitor.recordPassive(id, 'opened');
  }
  member!.paused = true;
  await simulation.advance(4_000);
  member!.paused = false;
  await simulation.advance(2_000);
  const eligible = simulation.backendIds.filter((id) => member!.monitor.health(id).eligible);
  t.is(eligible.length, 10);
  t.deepEqual(member!.events, []);
});

const LOADS = [
  { name: 'says idle', reported: 0, trusted: false },
  { name: 'says double', reported: 600, trusted: false },
  { name: 'says a little less', reported: 270, trusted: true },
] as const;
for (const { name, reported, trusted } of LOADS) {
  test(`a reported load is ${trusted ? 'used' : 'distrusted'} when the back end ${name}`, async (t) => {
    const simulation = new HealthSimulation({ members: 3, backends: 10, seed: 7 });
    for (const backend of simulation.backends.values()) {
      backend.reportedFlows = 300;
      for (const member of simulation.members) member.ownFlows.set(backend.id, 100);
    }
    simulation.backend(0).reportedFlows = reported;
    await simulation.advance(7_000);
    const [belief] = simulation.beliefs(0);
    t.is(belief!.reportedLoad, trusted ? reported / 2_000 : undefined);
    t.is(simulation.beliefs(1)[0]!.reportedLoad, 0.15);
    t.is(simulation.members[0]!.events.includes(HEALTH_EVENTS.loadDistrusted), !trusted);
  });
}

/** Flows that each member keeps at each back end once the load has risen. */
const FULL_LOAD = 200;

/**
 * Lets the load rise from nothing in `lengthMs`; the first back end says that it is idle. Returns the others that
 * were ever distrusted.
 */
async function rise(simulation: HealthSimulation, lengthMs: number): Promise<number[]> {
  const wronged = new Set<number>();
  const stepMs = 50;
  for (let passedMs = 0; passedMs <= lengthMs; passedMs += stepMs) {
    const own = Math.round((FULL_LOAD * passedMs) / lengthMs);
    for (const [place, id] of simulation.backendIds.entries()) {
      for (const member of simulation.members) member.ownFlows.set(id, own);
      simulation.backend(place).reportedFlows = place === 0 ? 0 : own * simulation.members.length;
      if (place > 0 && simulation.beliefs(place).some((belief) => isContradicted(belief))) wronged.add(place);
    }
    await simulation.advance(stepMs);
  }
  return [...wronged];
}

const isContradicted = (belief: BackendHealth): boolean =>
  belief.evidence.some(({ text }) => text.includes('contradicts the own count'));

for (const lengthMs of [2_000, 4_000, 8_000]) {
  test(`while the load rises in ${lengthMs} ms only the report that stays idle is distrusted`, async (t) => {
    for (const seed of [1, 2, 3, 4]) {
      const simulation = new HealthSimulation({ members: 3, backends: 10, seed });
      for (const backend of simulation.backends.values()) backend.reportedFlows = 0;
      await simulation.advance(5_000);
      t.deepEqual(await rise(simulation, lengthMs), [], `seed ${seed}`);
      await simulation.advance(9_000);
      t.true(simulation.beliefs(0).every((belief) => isContradicted(belief)));
      for (const { events } of simulation.members) t.deepEqual(events, [HEALTH_EVENTS.loadDistrusted]);
      simulation.stop();
    }
  });
}

test('messages that are no health messages are dropped with an event', (t) => {
  const simulation = new HealthSimulation({ members: 3, backends: 2, seed: 1 });
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => simulation.deliver(1, bytes)),
    { seed: 11, numRuns: 500 },
  );
  t.true(simulation.members[1]!.events.every((event) => event === HEALTH_EVENTS.badMessage));
  t.true(simulation.members[1]!.events.length > 0);
});

test('the number of probes does not grow with the fleet', async (t) => {
  const rates: number[] = [];
  for (const members of [3, 12, 30]) {
    const simulation = await started({ members });
    const count = (): number =>
      simulation.members.reduce((sum, { monitor }) => sum + monitor.statistics().probing.healthProbes, 0);
    const before = count();
    await simulation.advance(20_000);
    rates.push((count() - before) / 20);
    simulation.stop();
  }
  // 10 back ends × 3 probers × 1 to 1.25 probes a second.
  for (const rate of rates) t.true(rate >= 30 && rate <= 38, `${rates}`);
});
