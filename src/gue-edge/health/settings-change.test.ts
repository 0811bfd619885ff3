import test from 'ava';
import { HealthSimulation } from '../testing/health-simulation.js';
import { ProberRanking } from './prober-assignment.js';
import { ServiceHealth } from './service-health.js';

const SIZE = { members: 5, backends: 4, services: 6, seed: 9 };

/** Calls of `method` on any instance while `action` runs. */
async function countCalls<T extends object>(
  prototype: T,
  method: keyof T,
  action: () => unknown,
): Promise<number> {
  const original = prototype[method] as (...parameters: unknown[]) => unknown;
  let calls = 0;
  prototype[method] = function (this: T, ...parameters: unknown[]): unknown {
    calls += 1;
    return original.apply(this, parameters);
  } as T[keyof T];
  try {
    await action();
  } finally {
    prototype[method] = original as T[keyof T];
  }
  return calls;
}

function targets(simulation: HealthSimulation): number {
  return simulation.members.reduce((sum, { monitor }) => sum + monitor.statistics().probing.targets, 0);
}

test.serial('a change of one back end costs the work of its service alone', async (t) => {
  const simulation = new HealthSimulation(SIZE);
  await simulation.advance(60_000);
  const [first] = simulation.settings.services;
  const reweigh = (): void =>
    simulation.apply((service) =>
      service !== first
        ? service
        : {
            ...service,
            backends: service.backends.map((each, at) => (at === 0 ? { ...each, weight: 2 } : each)),
          },
    );
  let evaluations = 0;
  const rankings = await countCalls(ProberRanking.prototype, 'probersOf', async () => {
    evaluations = await countCalls(ServiceHealth.prototype, 'evaluate', async () => {
      reweigh();
      simulation.clock.advance(100);
    });
  });
  t.is(rankings, 0);
  t.true(evaluations >= SIZE.members && evaluations < 2 * SIZE.members, `${evaluations} evaluations`);
  simulation.stop();
});

test.serial('probers are found anew for a moved back end, and where a member was lost', async (t) => {
  const simulation = new HealthSimulation(SIZE);
  await simulation.advance(5_000);
  const all = SIZE.services * SIZE.backends;
  t.is(targets(simulation), 3 * all);
  const moved = await countCalls(ProberRanking.prototype, 'probersOf', () =>
    simulation.apply((service) => {
      if (service !== simulation.settings.services[2]) return service;
      const backends = service.backends.map((each, at) => (at === 1 ? { ...each, zone: 'elsewhere' } : each));
      return { ...service, backends };
    }),
  );
  t.is(moved, SIZE.members);
  t.is(targets(simulation), 3 * all - 1);
  const lost = await countCalls(ProberRanking.prototype, 'probersOf', () => simulation.setState(4, 'gone'));
  t.true(lost > 0 && lost <= all * SIZE.members, `${lost} rankings`);
  t.is(targets(simulation), 3 * all - 1 + simulation.members[4]!.monitor.statistics().probing.targets);
  simulation.stop();
});
