/** What an edit makes of the tree stored now, and where two edits conflict. */
import test from 'ava';
import { findConflicts } from './conflicts.js';
import { diffTrees } from './diff.js';
import { drainNode, parseTreeText, removeNode, setFields, type TreeEdit } from './index.js';
import { isRaced, rebaseEdit, type RebaseOutcome } from './edit-rebase.js';
import type { TreeDocument } from './tree.js';

const TEXT = `
sites:
  a:
    zone: z
    services:
      s:
        address: 10.0.0.1:80
        backends: {x: {endpoint: "127.0.0.1:1"}, y: {endpoint: "127.0.0.1:2"}}
`;
const X = 'a/s/x';
const Y = 'a/s/y';

function baseTree(): TreeDocument {
  const parsed = parseTreeText(TEXT);
  if (parsed.isErr) throw new Error('the tree of the test has faults');
  return parsed.value;
}

function edited(tree: TreeDocument, edit: TreeEdit): TreeDocument {
  const result = edit(tree);
  if (result.isErr) throw result.error;
  return result.value;
}

const endpoint = (port: number): TreeEdit => setFields(X, { endpoint: `127.0.0.1:${port}` });

/** Our edit, theirs (undefined: none), the outcome, and the conflicting fields. */
const EDITS: readonly (readonly [
  string,
  TreeEdit,
  TreeEdit | undefined,
  RebaseOutcome['kind'],
  readonly string[],
])[] = [
  ['no race', endpoint(3), undefined, 'write', []],
  ['no race, nothing to change', endpoint(1), undefined, 'unchanged', []],
  ['no race, a fault', endpoint(2), undefined, 'invalid', []],
  ['different nodes', endpoint(3), drainNode(Y, true), 'write', []],
  ['different fields of a node', endpoint(3), drainNode(X, true), 'write', []],
  ['the same result', endpoint(3), endpoint(3), 'unchanged', []],
  ['different values', endpoint(3), endpoint(4), 'conflict', [`${X} endpoint`]],
  ['they removed the node', endpoint(3), removeNode(X), 'conflict', [`${X} endpoint`, `${X} $kind`]],
  ['we remove the node', removeNode(X), endpoint(4), 'conflict', [`${X} endpoint`]],
  ['both remove the node', removeNode(X), removeNode(X), 'unchanged', []],
];

for (const [name, ours, theirs, kind, fields] of EDITS) {
  test(name, (t) => {
    const base = baseTree();
    const current = theirs ? edited(base, theirs) : base;
    const edit = { author: 'we', base, changes: diffTrees(base, edited(base, ours)) };
    t.is(isRaced(edit, current), theirs !== undefined);
    t.is(rebaseEdit(edit, current).kind, kind);
    const conflicts = findConflicts(edit, base, current);
    t.deepEqual(
      conflicts.map(({ path, field }) => `${path} ${field}`),
      fields,
    );
    for (const { ourAuthor, theirAuthor } of conflicts)
      t.deepEqual([ourAuthor, theirAuthor], ['we', 'unknown']);
  });
}
