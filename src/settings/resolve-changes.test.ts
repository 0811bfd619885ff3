import test from 'ava';
import fc from 'fast-check';
import { comparePaths, resolveSettings, type EffectiveSettings, type TreeNode } from './index.js';
import { findNodeChanges } from './tree-changes.js';

const SERVICES = 3;
const BACKENDS = 3;

function servicePath(index: number): string {
  return `site/service-${index}`;
}

function startNodes(): TreeNode[] {
  const nodes: TreeNode[] = [
    { path: '', kind: 'defaults', fields: {} },
    { path: 'site', kind: 'site', fields: {} },
  ];
  for (let service = 0; service < SERVICES; service += 1) {
    const zone: TreeNode['fields'] = service === 0 ? {} : { zone: 'z' };
    const fields = { address: `10.0.0.${service}:80`, ...zone };
    nodes.push({ path: servicePath(service), kind: 'service', fields });
    for (let backend = 0; backend < BACKENDS; backend += 1) {
      const endpoint = `127.0.0.1:${100 * service + backend + 1}`;
      const path = `${servicePath(service)}/b-${backend}`;
      nodes.push({ path, kind: 'backend', fields: { endpoint, zone: `z-${backend}` } });
    }
  }
  // A back end that inherits from another one by an explicit parent.
  nodes.push({
    path: 'site/service-2/child',
    kind: 'backend',
    parent: 'site/service-2/b-0',
    fields: { endpoint: '127.0.0.1:999' },
  });
  return nodes;
}

const FIELD = fc.oneof(
  fc.record({ name: fc.constant('weight'), value: fc.constantFrom<number | undefined>(1, 2, -1, undefined) }),
  fc.record({
    name: fc.constant('endpoint'),
    value: fc.constantFrom('127.0.0.1:1', '127.0.0.1:102', '127.0.0.1:777', '10.0.0.1:80'),
  }),
  fc.record({ name: fc.constant('address'), value: fc.constantFrom('10.0.0.0:80', '10.0.0.9:80') }),
  fc.record({ name: fc.constant('zone'), value: fc.constantFrom<string | undefined>('y', undefined) }),
  fc.record({ name: fc.constant('draining'), value: fc.constantFrom<boolean | string>(true, false, 'no') }),
  fc.record({ name: fc.constant('health.probeIntervalMs'), value: fc.constantFrom(400, 5_000) }),
);

const CHANGE = fc.oneof(
  { weight: 5, arbitrary: fc.record({ node: fc.nat(20), field: FIELD }) },
  { weight: 1, arbitrary: fc.record({ remove: fc.nat(20) }) },
  { weight: 1, arbitrary: fc.record({ addTo: fc.nat(SERVICES), port: fc.constantFrom(1, 555, 556) }) },
);
type Change = typeof CHANGE extends fc.Arbitrary<infer T> ? T : never;

function change(nodes: readonly TreeNode[], each: Change): TreeNode[] {
  if ('addTo' in each) {
    const path = `${servicePath(each.addTo)}/added-${each.port}`;
    const fields = { endpoint: `127.0.0.1:${each.port}`, zone: 'z' };
    const others = nodes.filter((node) => node.path !== path);
    return [...others, { path, kind: 'backend' as const, fields }].sort((a, b) =>
      comparePaths(a.path, b.path),
    );
  }
  if ('remove' in each) return nodes.filter((_node, index) => index !== each.remove % nodes.length);
  const at = each.node % nodes.length;
  return nodes.map((node, index) => {
    if (index !== at) return node;
    const rest = Object.entries(node.fields).filter(([name]) => name !== each.field.name);
    const added = each.field.value === undefined ? [] : [[each.field.name, each.field.value]];
    return { ...node, fields: Object.fromEntries([...rest, ...added]) };
  });
}

test('resolving changes gives what resolving the whole tree gives, valid or not', (t) => {
  let [accepted, refused] = [0, 0];
  const property = fc.property(
    fc.array(fc.array(CHANGE, { minLength: 1, maxLength: 3 }), { maxLength: 12 }),
    (steps) => {
      let nodes = startNodes().sort((a, b) => comparePaths(a.path, b.path));
      let settings = resolveSettings({ nodes, edits: [] }, 1).unwrapOr(
        undefined as never,
      ) as EffectiveSettings;
      steps.forEach((changes, index) => {
        const next = changes.reduce(change, nodes);
        const version = index + 2;
        const whole = resolveSettings({ nodes: next, edits: [] }, version);
        const incremental = resolveSettings({ nodes: next, edits: [] }, version, settings);
        t.is(incremental.isOk, whole.isOk);
        if (whole.isErr || incremental.isErr) {
          refused += 1;
          t.deepEqual(incremental.isErr && incremental.error, whole.isErr && whole.error);
          return;
        }
        accepted += 1;
        t.deepEqual(incremental.value, whole.value);
        [nodes, settings] = [next, incremental.value];
      });
    },
  );
  fc.assert(property, { seed: 5, numRuns: 300 });
  t.true(accepted > 200 && refused > 200, `${accepted} accepted, ${refused} refused`);
});

test('an earlier version still resolves after its indexes moved on', (t) => {
  const nodes = startNodes().sort((a, b) => comparePaths(a.path, b.path));
  const first = resolveSettings({ nodes, edits: [] }, 1).unwrapOr(undefined as never) as EffectiveSettings;
  const left = change(nodes, { node: 4, field: { name: 'weight', value: 2 } });
  const right = change(nodes, { node: 5, field: { name: 'weight', value: 2 } });
  t.true(resolveSettings({ nodes: left, edits: [] }, 2, first).isOk);
  const other = resolveSettings({ nodes: right, edits: [] }, 3, first);
  t.deepEqual(other, resolveSettings({ nodes: right, edits: [] }, 3));
});

const node = (path: string): TreeNode => ({ path, kind: 'backend', fields: {} });
const [A, B, C] = [node('a'), node('b'), node('c')];
const LISTS = [
  { name: 'nothing', before: [A, B], after: [A, B], changes: [] },
  {
    name: 'added at both ends',
    before: [B],
    after: [A, B, C],
    changes: [
      [undefined, 'a'],
      [undefined, 'c'],
    ],
  },
  {
    name: 'removed',
    before: [A, B, C],
    after: [B],
    changes: [
      ['a', undefined],
      ['c', undefined],
    ],
  },
  { name: 'changed', before: [A, B], after: [A, node('b')], changes: [['b', 'b']] },
  { name: 'the same node twice', before: [A, B], after: [A, A, B], changes: undefined },
  { name: 'not sorted', before: [A, B], after: [B, A], changes: undefined },
  { name: 'more than the limit', before: [], after: [A, B, C], changes: undefined },
];
for (const { name, before, after, changes } of LISTS) {
  test(`changes between two lists of nodes: ${name}`, (t) => {
    const found = findNodeChanges(before, after, 2);
    t.deepEqual(
      found?.map((each) => [each.before?.path, each.after?.path]),
      changes,
    );
  });
}
