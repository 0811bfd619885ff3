import test from 'ava';
import { planActions, type PlanTargets } from './run-plan.js';
import { PAIR_FAULTS } from './scenario-actions.js';
import { scenarioSchema } from './scenario.js';

const TARGETS: PlanTargets = {
  zones: ['a', 'b', 'c'],
  balancers: ['a-1', 'b-1', 'c-1'],
  backends: ['pick-01', 'pick-02', 'pick-03'],
  service: 'pickguide',
};
const PAIRS = scenarioSchema.parse({
  name: 'pairs',
  description: 'pairs of faults',
  durationSeconds: 60,
  load: [{ service: 'pickguide', openingsPerSecond: 10 }],
  actions: [
    { do: 'random-pair', at: 20 },
    { do: 'random-pair', at: 5 },
    { do: 'backend-drain', at: 1, backend: 'random' },
  ],
});

test('equal seeds give equal plans of double faults, others differ', (t) => {
  t.deepEqual(planActions(PAIRS, TARGETS, 7), planActions(PAIRS, TARGETS, 7));
  const plans = new Set(
    Array.from({ length: 20 }, (_, seed) => JSON.stringify(planActions(PAIRS, TARGETS, seed))),
  );
  t.true(plans.size > 15);
});

test('a pair is two different faults, on two balancers, within its time; the plan is in time order', (t) => {
  const seen = new Set<string>();
  for (let seed = 0; seed < 200; seed += 1) {
    const plan = planActions(PAIRS, TARGETS, seed);
    t.is(plan.length, 5);
    t.deepEqual(
      plan.map((action) => action.at),
      plan.map((action) => action.at).sort((a, b) => a - b),
    );
    const pair = plan.filter((action) => action.at >= 5 && action.at <= 7);
    t.is(pair.length, 2);
    t.not(pair[0]!.do, pair[1]!.do);
    const balancers = pair.flatMap((action) => ('balancer' in action ? [action.balancer] : []));
    t.is(new Set(balancers).size, balancers.length);
    for (const action of plan) {
      seen.add(action.do);
      if ('backend' in action) t.true(TARGETS.backends.includes(action.backend));
    }
  }
  t.is(seen.size, PAIR_FAULTS.length);
});
