/**
 * Differences between two trees by node and field, and their application.
 *
 * Owns no state. Relies on documents and nodes being immutable.
 */
import {
  comparePaths,
  indexNodes,
  NODE_KIND_FIELD,
  NODE_KINDS,
  NODE_PARENT_FIELD,
  withNodes,
  type FieldValue,
  type NodeKind,
  type TreeChange,
  type TreeDocument,
  type TreeNode,
} from './tree.js';

type ValueMap = ReadonlyMap<string, FieldValue>;

const NO_VALUES: ValueMap = new Map();

/** Values of a node by field, with the pseudo fields. */
function nodeValues(node: TreeNode | undefined): ValueMap {
  if (!node) return NO_VALUES;
  const values = new Map<string, FieldValue>([[NODE_KIND_FIELD, node.kind]]);
  if (node.parent !== undefined) values.set(NODE_PARENT_FIELD, node.parent);
  for (const [field, value] of Object.entries(node.fields)) values.set(field, value);
  return values;
}

function diffNode(path: string, before: TreeNode | undefined, after: TreeNode | undefined): TreeChange[] {
  const old = nodeValues(before);
  const now = nodeValues(after);
  const changes: TreeChange[] = [];
  for (const field of new Set([...old.keys(), ...now.keys()])) {
    const change = { path, field, before: old.get(field), after: now.get(field) };
    if (change.before !== change.after) changes.push(change);
  }
  return changes;
}

/** Changes that lead from `before` to `after`, sorted by path. The edit histories are not compared. */
export function diffTrees(before: TreeDocument, after: TreeDocument): TreeChange[] {
  const old = indexNodes(before.nodes);
  const now = indexNodes(after.nodes);
  const paths = [...new Set([...old.keys(), ...now.keys()])].sort(comparePaths);
  return paths.flatMap((path) => {
    const [left, right] = [old.get(path), now.get(path)];
    return left === right ? [] : diffNode(path, left, right);
  });
}

function asKind(value: FieldValue | undefined): NodeKind | undefined {
  return NODE_KINDS.find((kind) => kind === value);
}

/** The node after the changes; undefined when it does not exist then. A removal drops every field at once. */
function changeNode(
  node: TreeNode | undefined,
  path: string,
  changes: readonly TreeChange[],
): TreeNode | undefined {
  const values = new Map(nodeValues(node));
  for (const { field, after } of changes) {
    if (after === undefined && field === NODE_KIND_FIELD) values.clear();
    else if (after === undefined) values.delete(field);
    else values.set(field, after);
  }
  const kind = asKind(values.get(NODE_KIND_FIELD));
  if (!kind) return undefined;
  const parent = values.get(NODE_PARENT_FIELD);
  values.delete(NODE_KIND_FIELD);
  values.delete(NODE_PARENT_FIELD);
  const fields = Object.fromEntries(values);
  return typeof parent === 'string' ? { path, kind, parent, fields } : { path, kind, fields };
}

/**
 * Applies changes to the nodes of a document. A change of a node that neither exists nor is added by the same
 * changes has no effect, so callers that need certainty compare versions or digests first.
 */
export function applyChanges(document: TreeDocument, changes: readonly TreeChange[]): TreeDocument {
  const byPath = new Map<string, TreeChange[]>();
  for (const change of changes) {
    const ofNode = byPath.get(change.path);
    if (ofNode) ofNode.push(change);
    else byPath.set(change.path, [change]);
  }
  const nodes = indexNodes(document.nodes);
  for (const [path, ofNode] of byPath) {
    const node = changeNode(nodes.get(path), path, ofNode);
    if (node) nodes.set(path, node);
    else nodes.delete(path);
  }
  return withNodes(document, nodes.values());
}

/** The document with the node objects of `previous` wherever a node is unchanged, so that work on them is reused. */
export function shareNodes(document: TreeDocument, previous: TreeDocument): TreeDocument {
  const known = indexNodes(previous.nodes);
  const nodes = document.nodes.map((node) => {
    const old = known.get(node.path);
    return old && diffNode(node.path, old, node).length === 0 ? old : node;
  });
  return { ...document, nodes };
}
