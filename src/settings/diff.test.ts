import test from 'ava';
import fc from 'fast-check';
import {
  applyChanges,
  comparePaths,
  decodeDelta,
  decodeNode,
  diffTrees,
  encodeDelta,
  encodeNode,
  indexNodes,
  kindOfPath,
  nestTree,
  parseTree,
  shareNodes,
  type FieldValue,
  type NodeKind,
  type TreeDocument,
  type TreeNode,
} from './index.js';

const SEED = 2;
const RUNS = { seed: SEED, numRuns: 500 };

const fieldName = fc.constantFrom(
  'slots',
  'zone',
  'address',
  'endpoint',
  'limits.maxConnections',
  'weight',
  'newer',
  '#77',
);
const fieldValue: fc.Arbitrary<FieldValue> = fc.oneof(
  fc.integer(),
  fc.double({ noNaN: true }),
  fc.boolean(),
  fc.constant(null),
  fc.string(),
  fc.constantFrom('10.0.0.1:80', '010.0.0.1:80', '255.255.255.255:65535', '0.0.0.0:1'),
);
const node: fc.Arbitrary<TreeNode> = fc
  .record({
    path: fc.constantFrom('', 'a', 'b', 'a/s', 'a/t', 'a/s/x', 'a/s/y', 'b/s'),
    fields: fc.dictionary(fieldName, fieldValue),
    parent: fc.option(fc.constantFrom('a', 'b'), { nil: undefined }),
  })
  .map(({ path, fields, parent }) => {
    const kind = kindOfPath(path) as NodeKind;
    const plain = { path, kind, fields: Object.fromEntries(Object.entries(fields)) };
    return parent === undefined ? plain : { ...plain, parent };
  });
const tree: fc.Arbitrary<TreeDocument> = fc
  .uniqueArray(node, { selector: ({ path }) => path, maxLength: 8 })
  .map((nodes) => ({ nodes: nodes.sort((left, right) => comparePaths(left.path, right.path)), edits: [] }));

test('applying a difference gives the other tree, also after the wire', (t) => {
  fc.assert(
    fc.property(tree, tree, (before, after) => {
      const changes = diffTrees(before, after);
      t.deepEqual(applyChanges(before, changes).nodes, after.nodes);
      const received = decodeDelta(encodeDelta({ changes })).unwrapOr({ changes: [] });
      t.deepEqual(applyChanges(before, received.changes).nodes, after.nodes);
    }),
    RUNS,
  );
});

test('differences applied one after the other, in one delta, give the last tree', (t) => {
  fc.assert(
    fc.property(tree, tree, tree, (first, second, third) => {
      const changes = [...diffTrees(first, second), ...diffTrees(second, third)];
      const received = decodeDelta(encodeDelta({ changes })).unwrapOr({ changes: [] });
      t.deepEqual(applyChanges(first, received.changes).nodes, third.nodes);
    }),
    RUNS,
  );
});

test('a difference reversed gives the first tree back', (t) => {
  fc.assert(
    fc.property(tree, tree, (before, after) => {
      const reversed = diffTrees(before, after).map(({ path, field, before: old, after: now }) => ({
        path,
        field,
        before: now,
        after: old,
      }));
      t.deepEqual(applyChanges(after, reversed).nodes, before.nodes);
    }),
    RUNS,
  );
});

test('a removal drops every field, so that a node added again has only its new ones', (t) => {
  const before: TreeDocument = {
    nodes: [{ path: 'a', kind: 'site', parent: 'b', fields: { slots: 1 } }],
    edits: [],
  };
  const changes = [
    { path: 'a', field: '$kind' },
    { path: 'a', field: '$kind', after: 'site' },
    { path: 'a', field: 'weight', after: 2 },
  ];
  t.deepEqual(applyChanges(before, changes).nodes, [{ path: 'a', kind: 'site', fields: { weight: 2 } }]);
});

test('a node survives the wire', (t) => {
  fc.assert(
    fc.property(node, (sent) => {
      const received = decodeNode(encodeNode(sent));
      t.deepEqual(received.isOk ? received.value : received.error, sent);
    }),
    RUNS,
  );
});

test('equal nodes give equal bytes, whatever the order of their fields', (t) => {
  const node: TreeNode = { path: 'a', kind: 'site', fields: { slots: 1, zone: 'z', weight: 2 } };
  const reordered: TreeNode = { path: 'a', kind: 'site', fields: { weight: 2, zone: 'z', slots: 1 } };
  t.deepEqual(encodeNode(node), encodeNode(reordered));
});

test('any bytes are decoded or refused, never thrown at', (t) => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 60 }), (bytes) => {
      t.is(typeof decodeNode(bytes).isOk, 'boolean');
      t.is(typeof decodeDelta(bytes).isOk, 'boolean');
    }),
    { seed: SEED, numRuns: 3_000 },
  );
});

test('a cut-off message is refused', (t) => {
  const whole = encodeNode({ path: 'a/s', kind: 'service', fields: { address: '10.0.0.1:80' } });
  t.deepEqual(
    [...whole.keys()].slice(1).filter((length) => {
      const result = decodeNode(whole.subarray(0, length));
      return result.isOk && result.value.fields['address'] !== undefined;
    }),
    [],
  );
  const wrongEndpoint = Buffer.from(whole);
  wrongEndpoint[whole.length - 7] = 5;
  t.true(decodeNode(wrongEndpoint.subarray(0, whole.length - 1)).isErr);
});

test('an endpoint takes 6 bytes on the wire and a known field its number', (t) => {
  const encoded = encodeNode({ path: 'a/s', kind: 'service', fields: { address: '10.0.0.1:80' } });
  t.true(encoded.length <= 21, `${encoded.length} bytes`);
});

test('shared nodes are those that are equal', (t) => {
  fc.assert(
    fc.property(tree, tree, (before, after) => {
      const shared = shareNodes(after, before);
      const old = indexNodes(before.nodes);
      const changed = new Set(diffTrees(before, after).map(({ path }) => path));
      t.deepEqual(shared.nodes, after.nodes);
      t.true(shared.nodes.every((each) => changed.has(each.path) || old.get(each.path) === each));
    }),
    RUNS,
  );
});

test('the nested form of a tree reads back as the same tree', (t) => {
  const document: TreeDocument = {
    nodes: [
      {
        path: '',
        kind: 'defaults',
        fields: { slots: 3, 'limits.maxConnections': null, 'health.slowStartMs': 0 },
      },
      { path: 'a', kind: 'site', fields: { zone: 'z' } },
      { path: 'a/s', kind: 'service', fields: { address: '10.0.0.1:80', 'limits.openingsPerSecond': 5 } },
      { path: 'a/s/x', kind: 'backend', fields: { endpoint: '127.0.0.1:1' } },
      { path: 'a/t', kind: 'service', parent: 'a/s', fields: { address: '10.0.0.2:80' } },
    ],
    edits: [],
  };
  const read = parseTree(nestTree(document));
  t.deepEqual(read.isOk ? read.value : read.error, document);
});
