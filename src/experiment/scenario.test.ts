import test from 'ava';
import { loadScenario, parseScenario, scenarioNames } from './scenario-files.js';
import { checkScenario } from './scenario.js';

const VALID = {
  name: 'sample',
  description: 'a sample',
  durationSeconds: 10,
  load: [{ service: 'pickguide', openingsPerSecond: 50 }],
};

test('a minimal scenario gets its defaults', (t) => {
  const check = checkScenario(VALID);
  t.true(check.valid);
  if (!check.valid) return;
  t.is(check.scenario.tree, 'isartal');
  t.is(check.scenario.topology.balancersPerZone, 1);
  t.deepEqual(check.scenario.fabric, { loss: 0, reorder: 0, duplicate: 0, reorderDelayMs: 5, delayMs: 0 });
  t.is(check.scenario.load[0]!.requestIntervalMs, 1_000);
});

const FAULTS: readonly { title: string; change: object; path: string }[] = [
  { title: 'unknown field', change: { speed: 3 }, path: '' },
  { title: 'bad name', change: { name: 'Two Words' }, path: 'name' },
  { title: 'no load', change: { load: [] }, path: 'load' },
  { title: 'unknown tree', change: { tree: 'elsewhere' }, path: 'tree' },
  { title: 'share above one', change: { fabric: { loss: 1.2 } }, path: 'fabric.loss' },
  { title: 'unknown action', change: { actions: [{ do: 'explode', at: 1 }] }, path: 'actions.0.do' },
  {
    title: 'action without target',
    change: { actions: [{ do: 'balancer-crash', at: 1 }] },
    path: 'actions.0.balancer',
  },
  {
    title: 'action after the end',
    change: { actions: [{ do: 'balancer-replace-all', at: 11 }] },
    path: 'actions.0.at',
  },
  {
    title: 'empty edit',
    change: { actions: [{ do: 'tree-edit', at: 1, operations: [] }] },
    path: 'actions.0.operations',
  },
  { title: 'goal without bound', change: { goals: [{ figure: 'flows.broken' }] }, path: 'goals.0' },
  { title: 'no flows at all', change: { load: [{ service: 'pickguide' }] }, path: 'load.0' },
  {
    title: 'negative flows',
    change: { load: [{ ...VALID.load[0], longFlows: -1 }] },
    path: 'load.0.longFlows',
  },
];

for (const { title, change, path } of FAULTS) {
  test(`refused: ${title}`, (t) => {
    const check = checkScenario({ ...VALID, ...change });
    t.false(check.valid);
    if (!check.valid) t.deepEqual([...new Set(check.faults.map((fault) => fault.path))], [path]);
  });
}

test('every fault is listed at once, and broken YAML is an error with a remedy', (t) => {
  const both = parseScenario('name: X Y\ndurationSeconds: -1\ndescription: d\nload: []', 'sample.yaml');
  t.true(both.isErr);
  if (both.isErr) t.regex(both.error.message, /name: .*durationSeconds: .*load: /);
  const broken = parseScenario('name: [', 'sample.yaml');
  t.true(broken.isErr);
  if (broken.isErr) t.is(broken.error.kind, 'experiment.invalid-scenario');
});

test('every shipped scenario is valid and carries its file name', (t) => {
  const names = scenarioNames();
  t.true(names.length >= 21);
  for (const name of names) {
    const scenario = loadScenario(name);
    t.true(scenario.isOk, scenario.isErr ? scenario.error.message : name);
    if (scenario.isOk) t.is(scenario.value.name, name);
  }
  const unknown = loadScenario('no-such-scenario');
  t.true(unknown.isErr);
  if (unknown.isErr) t.is(unknown.error.kind, 'experiment.unknown-scenario');
});
