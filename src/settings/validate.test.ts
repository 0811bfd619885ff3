import { readFileSync } from 'node:fs';
import test from 'ava';
import fc from 'fast-check';
import { parseTree, parseTreeText, resolveSettings, validateDocument, type TreeDocument } from './index.js';

/** A fault as [kind, node path, field]. */
type Expected = readonly [kind: string, nodePath: string, field: string];

interface FaultCase {
  readonly title: string;
  readonly text: string;
  readonly faults: readonly Expected[];
}

const BACKEND = 'zone: z, endpoint: "127.0.0.1:9001"';
const OTHER_BACKEND = 'zone: z, endpoint: "127.0.0.1:9002"';

function service(body: string): string {
  return `{sites: {a: {services: {s: {${body}}}}}}`;
}

function flat(...nodes: object[]): string {
  return JSON.stringify({ nodes });
}

const SITE = { path: 'a', kind: 'site', fields: {} };
const SERVICE = { path: 'a/s', kind: 'service', fields: { address: '10.0.0.1:80' } };

const CASES: readonly FaultCase[] = [
  {
    title: 'YAML syntax',
    text: 'defaults:\n  slots: [1\nsites: {}',
    faults: [['settings.syntax', '', 'line 3, column 1']],
  },
  {
    title: 'a key twice',
    text: 'defaults: {}\ndefaults: {}',
    faults: [['settings.syntax', '', 'line 2, column 1']],
  },
  { title: 'alias without an anchor', text: 'defaults: *missing', faults: [['settings.syntax', '', '']] },
  { title: 'not a map', text: '- 1', faults: [['settings.malformed', '', '']] },
  { title: 'unknown top key', text: 'site: {}', faults: [['settings.unknown-field', '', 'site']] },
  {
    title: 'several unknown fields and values out of range at once',
    text: 'defaults: {slot: 1, slots: 0, weight: 1001, limits: {maxConections: 1}, health: {panicShare: 1.1}}',
    faults: [
      ['settings.unknown-field', '', 'slot'],
      ['settings.out-of-range', '', 'slots'],
      ['settings.out-of-range', '', 'weight'],
      ['settings.unknown-field', '', 'limits.maxConections'],
      ['settings.out-of-range', '', 'health.panicShare'],
    ],
  },
  {
    title: 'values of the wrong type',
    text: 'defaults: {slots: many, draining: 1, unknownFlow: refuse, idleTimeoutMs: 1000.5, weight: .nan}',
    faults: [
      ['settings.invalid-value', '', 'slots'],
      ['settings.invalid-value', '', 'draining'],
      ['settings.invalid-value', '', 'unknownFlow'],
      ['settings.out-of-range', '', 'idleTimeoutMs'],
      ['settings.out-of-range', '', 'weight'],
    ],
  },
  {
    title: 'null only where it means no limit',
    text: 'defaults: {slots: null, limits: {maxConnections: null}}',
    faults: [['settings.invalid-value', '', 'slots']],
  },
  { title: 'a list as value', text: 'defaults: {slots: [1]}', faults: [['settings.malformed', '', 'slots']] },
  {
    title: 'misplaced fields',
    text: `{defaults: {address: "10.0.0.1:80"}, sites: {a: {endpoint: "127.0.0.1:1", services: {s: {address: "10.0.0.1:80", backends: {b: {${BACKEND}, unknownFlow: drop}}}}}}}`,
    faults: [
      ['settings.misplaced-field', '', 'address'],
      ['settings.misplaced-field', 'a', 'endpoint'],
      ['settings.misplaced-field', 'a/s/b', 'unknownFlow'],
    ],
  },
  {
    title: 'no service address',
    text: service('unknownFlow: drop'),
    faults: [['settings.missing-field', 'a/s', 'address']],
  },
  ...[
    '10.0.0.1',
    '10.0.0.256:80',
    '010.0.0.1:80',
    '10.0.0.1:0',
    '10.0.0.1:080',
    '10.0.0.1:65536',
    'host:80',
    '[::1]:80',
  ].map((address): FaultCase => ({
    title: `address ${address}`,
    text: service(`address: "${address}"`),
    faults: [['settings.invalid-value', 'a/s', 'address']],
  })),
  {
    title: 'no zone and no endpoint',
    text: service('address: "10.0.0.1:80", backends: {b: {}}'),
    faults: [
      ['settings.missing-field', 'a/s/b', 'endpoint'],
      ['settings.missing-zone', 'a/s/b', 'zone'],
    ],
  },
  {
    title: 'one service address twice',
    text: '{sites: {a: {services: {s: {address: "10.0.0.1:80"}, t: {address: "10.0.0.1:80"}}}}}',
    faults: [['settings.duplicate-address', 'a/t', 'address']],
  },
  {
    title: 'one endpoint twice in a service',
    text: service(`address: "10.0.0.1:80", backends: {b: {${BACKEND}}, c: {${BACKEND}}}`),
    faults: [['settings.duplicate-address', 'a/s/c', 'endpoint']],
  },
  {
    title: 'one endpoint in two services',
    text: `{sites: {a: {services: {s: {address: "10.0.0.1:80", backends: {b: {${BACKEND}}}}, t: {address: "10.0.0.2:80", backends: {b: {${BACKEND}}}}}}}}`,
    faults: [['settings.overlapping-service', 'a/t/b', 'endpoint']],
  },
  {
    title: 'an endpoint that is a service address',
    text: service(`address: "127.0.0.1:9001", backends: {b: {${BACKEND}}, c: {${OTHER_BACKEND}}}`),
    faults: [['settings.overlapping-service', 'a/s/b', 'endpoint']],
  },
  {
    title: 'a probe timeout longer than the inherited interval',
    text: '{defaults: {health: {probeIntervalMs: 100}}, sites: {a: {services: {s: {address: "10.0.0.1:80"}}}}}',
    faults: [['settings.out-of-range', 'a/s', 'health.probeTimeoutMs']],
  },
  {
    title: 'a name with a space',
    text: 'sites: {"a b": {}}',
    faults: [['settings.invalid-path', 'a b', '']],
  },
  {
    title: 'a name with a slash',
    text: 'sites: {a/b: {}}',
    faults: [
      ['settings.invalid-path', 'a/b', ''],
      ['settings.dangling-parent', 'a/b', 'path'],
    ],
  },
  {
    title: 'a name of 64 letters',
    text: `sites: {${'a'.repeat(64)}: {}}`,
    faults: [['settings.invalid-path', 'a'.repeat(64), '']],
  },
  {
    title: 'node above is missing',
    text: flat(SERVICE),
    faults: [['settings.dangling-parent', 'a/s', 'path']],
  },
  {
    title: 'parent is missing',
    text: flat(SITE, { ...SERVICE, parent: 'b' }),
    faults: [['settings.dangling-parent', 'a/s', 'parent']],
  },
  {
    title: 'parent of a lower kind',
    text: flat(
      { ...SITE, parent: 'b/t' },
      { path: 'b', kind: 'site', fields: {} },
      { path: 'b/t', kind: 'service', fields: { address: '10.0.0.1:80' } },
    ),
    faults: [['settings.dangling-parent', 'a', 'parent']],
  },
  {
    title: 'its own parent',
    text: flat({ ...SITE, parent: 'a' }),
    faults: [['settings.cycle', 'a', 'parent']],
  },
  {
    title: 'a cycle of three, and a node that leads into it',
    text: flat(
      { ...SITE, parent: 'b' },
      { path: 'b', kind: 'site', parent: 'c', fields: {} },
      { path: 'c', kind: 'site', parent: 'a', fields: {} },
      { path: 'd', kind: 'site', parent: 'b', fields: {} },
    ),
    faults: [['settings.cycle', 'a', 'parent']],
  },
  { title: 'a node twice', text: flat(SITE, SITE), faults: [['settings.duplicate-node', 'a', '']] },
  {
    title: 'nodes that are none',
    text: flat([], { path: 1 }, { path: 'a', kind: 'zone', fields: [] }),
    faults: [
      ['settings.malformed', '', 'nodes[0]'],
      ['settings.malformed', '', 'nodes[1].path'],
      ['settings.malformed', 'a', 'kind'],
      ['settings.malformed', 'a', 'fields'],
    ],
  },
  {
    title: 'two paths with one identifier',
    text: service(
      'address: "10.0.0.1:80", backends: {b1vp0h988: {zone: z, endpoint: "127.0.0.1:1"}, b4id4sam: {zone: z, endpoint: "127.0.0.1:2"}}',
    ),
    faults: [['settings.id-collision', 'a/s/b4id4sam', '']],
  },
];

for (const { title, text, faults } of CASES) {
  test(`fault: ${title}`, (t) => {
    const result = parseTreeText(text);
    const found = result.isErr ? result.error : [];
    t.deepEqual(
      found.map((fault) => [fault.kind, fault.nodePath, fault.field]),
      faults.map((fault) => [...fault]),
    );
    t.true(found.every((fault) => fault.remedy.length > 0 && fault.message.length > 0));
  });
}

for (const name of ['isartal', 'enchufe', 'small-site']) {
  test(`example ${name} is valid`, (t) => {
    const tree = parseTreeText(readFileSync(new URL(`../../examples/${name}.yaml`, import.meta.url), 'utf8'));
    t.deepEqual(tree.isErr ? tree.error : [], []);
  });
}

const SEED = 1;

test('any JSON is either resolved or refused with faults, never thrown at', (t) => {
  fc.assert(
    fc.property(fc.jsonValue({ maxDepth: 6 }), (value) => {
      const parsed = parseTree(value);
      const resolved = resolveSettings(value as unknown as TreeDocument, 1);
      t.true(parsed.isOk || parsed.error.length > 0);
      t.is(resolved.isOk, validateDocument(value).length === 0);
    }),
    { seed: SEED, numRuns: 500 },
  );
});

test('any nodes with plausible paths and parents are resolved or refused, never thrown at', (t) => {
  const path = fc.constantFrom('', 'a', 'b', 'a/s', 'b/s', 'a/s/x', 'a/s/y', '__proto__', 'constructor');
  const field = fc.constantFrom(
    'slots',
    'zone',
    'address',
    'endpoint',
    'limits.maxConnections',
    '__proto__',
    'x',
  );
  const value = fc.constantFrom<unknown>(1, -1, 'z', '10.0.0.1:80', '127.0.0.1:9', null, true, {}, []);
  const node = fc.record(
    {
      path,
      kind: fc.constantFrom('defaults', 'site', 'service', 'backend'),
      parent: path,
      fields: fc.dictionary(field, value),
    },
    { requiredKeys: ['path', 'kind', 'fields'] },
  );
  fc.assert(
    fc.property(fc.array(node, { maxLength: 9 }), (nodes) => {
      const document = { nodes, edits: [] } as unknown as TreeDocument;
      t.is(resolveSettings(document, 1).isOk, validateDocument(document).length === 0);
    }),
    { seed: SEED, numRuns: 1_000 },
  );
});
