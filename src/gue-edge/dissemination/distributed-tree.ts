/**
 * A tree as it is spread: encoded nodes with their digest beside the document and the settings resolved from it.
 *
 * Owns no state: a tree is immutable, and a new one shares the untouched nodes of the one before.
 */
import Result from 'true-myth/result';
import type { EffectiveSettings, TreeDocument, TreeNode } from '../../settings/index.js';
import { digestMismatch, invalidTree, type DisseminationError } from './errors.js';
import type { NodeChanges, ReceivedNodeSet } from './node-set.js';
import type { TreeStamp } from './stamp.js';
import { hashNode, TreeDigest, type NodeHash } from './tree-digest.js';

/** What is needed of the settings slice. */
export interface TreeCodec {
  encodeNode(node: TreeNode): Uint8Array;
  /** Throws on bytes that are no node. */
  decodeNode(bytes: Uint8Array): TreeNode;
  /** The settings of a valid tree, or its faults as text, one line each. */
  resolve(
    document: TreeDocument,
    version: number,
    previous: EffectiveSettings | undefined,
  ): Result<EffectiveSettings, readonly string[]>;
}

/** One node in its forms. */
export interface TreeEntry {
  readonly node: TreeNode;
  readonly bytes: Uint8Array;
  readonly hash: NodeHash;
}

/** A valid tree; never changed once built. */
export interface DistributedTree {
  readonly stamp: TreeStamp;
  readonly settings: EffectiveSettings;
  readonly entries: ReadonlyMap<string, TreeEntry>;
}

/** A tree with the changes that lead to it from the one before. */
export interface BuiltTree {
  readonly tree: DistributedTree;
  readonly changes: NodeChanges;
}

type StampSource = Pick<TreeStamp, 'version' | 'readerToken' | 'acceptedAtWallMs'>;

/** Nodes in the making. */
class TreeBuilder {
  readonly entries: Map<string, TreeEntry>;
  readonly nodes = new Map<string, Uint8Array>();
  readonly removedPaths = new Set<string>();
  private readonly digest = new TreeDigest();

  constructor(base: ReadonlyMap<string, TreeEntry>) {
    this.entries = new Map(base);
    for (const entry of base.values()) this.digest.add(entry.hash);
  }

  set(node: TreeNode, bytes: Uint8Array): void {
    const before = this.entries.get(node.path);
    if (before && Buffer.compare(before.bytes, bytes) === 0) return;
    if (before) this.digest.remove(before.hash);
    const entry = { node, bytes, hash: hashNode(bytes) };
    this.digest.add(entry.hash);
    this.entries.set(node.path, entry);
    this.nodes.set(node.path, bytes);
  }

  delete(path: string): void {
    const before = this.entries.get(path);
    if (!before) return;
    this.digest.remove(before.hash);
    this.entries.delete(path);
    this.removedPaths.add(path);
  }

  digestText(): string {
    return this.digest.text();
  }
}

/** Builds a tree from a document that a reader got from the store. */
export function buildFromDocument(
  codec: TreeCodec,
  document: TreeDocument,
  source: StampSource,
  previous: DistributedTree | undefined,
): Result<BuiltTree, DisseminationError> {
  const before = previous?.entries ?? new Map<string, TreeEntry>();
  const builder = new TreeBuilder(before);
  const kept = new Set<string>();
  for (const node of document.nodes) {
    kept.add(node.path);
    const known = before.get(node.path);
    if (!known || !encodesAlike(known.node, node)) builder.set(node, codec.encodeNode(node));
  }
  for (const path of before.keys()) {
    if (!kept.has(path)) builder.delete(path);
  }
  const stamp = { ...source, digest: builder.digestText(), nodeCount: builder.entries.size };
  return finish(codec, builder, stamp, previous);
}

/** True when both nodes have the same fields in the same order, so that every reader encodes them alike. */
function encodesAlike(left: TreeNode, right: TreeNode): boolean {
  if (left.kind !== right.kind || left.parent !== right.parent) return false;
  const [before, after] = [Object.entries(left.fields), Object.entries(right.fields)];
  if (before.length !== after.length) return false;
  return before.every(([name, value], index) => {
    const other = after[index];
    return other !== undefined && other[0] === name && other[1] === value;
  });
}

/** Trees that this balancer has when it builds another one. */
interface KnownTrees {
  /** The tree that changes are applied to; undefined for a snapshot. */
  readonly base: DistributedTree | undefined;
  /** The tree in force, whose resolved settings are reused where nothing changed. */
  readonly previous: DistributedTree | undefined;
}

/** Builds the tree `stamp` from a peer's nodes: changes of `base`, or a snapshot when there is no base. */
export function buildFromNodeSet(
  codec: TreeCodec,
  received: ReceivedNodeSet,
  stamp: TreeStamp,
  { base, previous }: KnownTrees,
): Result<BuiltTree, DisseminationError> {
  const builder = new TreeBuilder(base?.entries ?? new Map());
  for (const path of received.removedPaths) builder.delete(path);
  for (const bytes of received.nodes) builder.set(codec.decodeNode(bytes), bytes);
  const digest = builder.digestText();
  if (digest !== stamp.digest) return Result.err(digestMismatch(stamp.version, stamp.digest, digest));
  return finish(codec, builder, stamp, previous);
}

function finish(
  codec: TreeCodec,
  builder: TreeBuilder,
  stamp: TreeStamp,
  previous: DistributedTree | undefined,
): Result<BuiltTree, DisseminationError> {
  const nodes = [...builder.entries.values()].map((entry) => entry.node);
  nodes.sort((left, right) => (left.path < right.path ? -1 : 1));
  const settings = codec.resolve({ nodes, edits: [] }, stamp.version, previous?.settings);
  if (settings.isErr) return Result.err(invalidTree(stamp.version, settings.error));
  const tree = { stamp, settings: settings.value, entries: builder.entries };
  return Result.ok({ tree, changes: { nodes: builder.nodes, removedPaths: builder.removedPaths } });
}

/** Every node of a tree as changes from nothing. */
export function snapshotOf(tree: DistributedTree): NodeChanges {
  const nodes = new Map([...tree.entries].map(([path, entry]) => [path, entry.bytes]));
  return { nodes, removedPaths: new Set() };
}

/** False when the bytes in memory no longer add up to the stamp's digest. */
export function isIntact(tree: DistributedTree): boolean {
  const digest = new TreeDigest();
  for (const entry of tree.entries.values()) digest.add(hashNode(entry.bytes));
  return digest.text() === tree.stamp.digest;
}

/** False when a node's bytes in memory no longer match the hash taken when it arrived. */
export function isEntryIntact(entry: TreeEntry): boolean {
  const hash = hashNode(entry.bytes);
  return hash.high === entry.hash.high && hash.low === entry.hash.low;
}
