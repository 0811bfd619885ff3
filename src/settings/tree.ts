/**
 * The settings tree as it is stored: a flat list of nodes with only the fields that each sets itself, and the last
 * edits. Documents and nodes are immutable; an edit makes a new document that shares the untouched nodes.
 *
 * Owns the shape and the canonical order of nodes. Relies on `fields.ts` for what a field means.
 */

import { hashString } from '../common/hash.js';

/** Level of a node. */
export type NodeKind = 'defaults' | 'site' | 'service' | 'backend';

/** Every kind from the top of the tree down; the index is the number of segments in a path of that kind. */
export const NODE_KINDS: readonly NodeKind[] = ['defaults', 'site', 'service', 'backend'];

/** A field's value; null means "no limit" where a field allows it. */
export type FieldValue = string | number | boolean | null;

/** One node. Field names are dotted, e.g. `health.probeIntervalMs`. */
export interface TreeNode {
  /** '' for the defaults, `site`, `site/service` or `site/service/backend`. */
  readonly path: string;
  readonly kind: NodeKind;
  /** Node whose fields are inherited; the node above by path when absent. */
  readonly parent?: string;
  readonly fields: Readonly<Record<string, FieldValue>>;
}

/** Change of one field of one node; undefined stands for "not set". */
export interface TreeChange {
  readonly path: string;
  /** Field name, or `NODE_KIND_FIELD` (node added or removed) or `NODE_PARENT_FIELD`. */
  readonly field: string;
  readonly before?: FieldValue;
  readonly after?: FieldValue;
}

/** Pseudo field: the node's kind; set from undefined when a node is added, to undefined when it is removed. */
export const NODE_KIND_FIELD = '$kind';

/** Pseudo field: the node's explicit parent. */
export const NODE_PARENT_FIELD = '$parent';

/** Changes that lead from one version of the tree to another, in the order in which they apply. */
export interface TreeDelta {
  readonly changes: readonly TreeChange[];
}

/** An accepted edit. */
export interface EditRecord {
  /** Idempotency token chosen by the author's tool; unique for each edit. */
  readonly token: string;
  readonly author: string;
  /** Author's wall clock, milliseconds since the Unix epoch. */
  readonly atWallMs: number;
  readonly summary: string;
  readonly changes: readonly TreeChange[];
  /** Platform version that the edit produced; 0 in the stored form until the next edit or reader fills it in. */
  readonly version: number;
}

/** The stored document. */
export interface TreeDocument {
  /** Sorted by path. */
  readonly nodes: readonly TreeNode[];
  /** Oldest first; at most `EDIT_HISTORY_LENGTH`. */
  readonly edits: readonly EditRecord[];
}

/** A document with the platform's version of it; version 0: nothing is stored yet. */
export interface VersionedTree {
  readonly version: number;
  readonly document: TreeDocument;
}

/** A tree with nothing but an empty defaults node. */
export const EMPTY_TREE: TreeDocument = {
  nodes: [{ path: '', kind: 'defaults', fields: {} }],
  edits: [],
};

/** Compares paths by code unit: the canonical order of nodes. */
export function comparePaths(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}

/** Path of the node above; undefined for the defaults node. */
export function pathAbove(path: string): string | undefined {
  if (path === '') return undefined;
  const slash = path.lastIndexOf('/');
  return slash < 0 ? '' : path.slice(0, slash);
}

/** Path of the node whose fields `node` inherits; undefined at the top. */
export function parentPath(node: TreeNode): string | undefined {
  return node.parent ?? pathAbove(node.path);
}

/** Kind that belongs to a path by its number of segments; undefined when the path is too deep. */
export function kindOfPath(path: string): NodeKind | undefined {
  if (path === '') return 'defaults';
  let segments = 1;
  for (let slash = path.indexOf('/'); slash >= 0; slash = path.indexOf('/', slash + 1)) segments += 1;
  return NODE_KINDS[segments];
}

/** True when `path` is `top` or stands below it. */
export function isWithin(path: string, top: string): boolean {
  return top === '' || path === top || path.startsWith(`${top}/`);
}

/** Nodes by path. The last of equal paths wins; validation reports the duplicate. */
export function indexNodes(nodes: readonly TreeNode[]): Map<string, TreeNode> {
  return new Map(nodes.map((node) => [node.path, node]));
}

/** The document with the nodes in canonical order. */
export function withNodes(document: TreeDocument, nodes: Iterable<TreeNode>): TreeDocument {
  const sorted = [...nodes].sort((left, right) => comparePaths(left.path, right.path));
  return { ...document, nodes: sorted };
}

/** 32-bit identifier of a node, `hashString(path)`. */
export function nodeId(node: TreeNode): number {
  return hashString(node.path);
}
