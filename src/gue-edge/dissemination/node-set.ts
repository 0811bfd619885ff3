/**
 * Changes between two trees as sets of encoded nodes, and their compressed wire form.
 *
 * Owns no state. Relies on `MAX_NODE_SET_BYTES` as the bound on what a peer can make this process decompress.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { MAX_NODE_SET_BYTES } from './constants.js';
import { badMessage } from './errors.js';
import { sailquay } from './pb/dissemination.js';

/** Nodes that are new or changed, and paths of nodes that are gone. A snapshot has every node and removes none. */
export interface NodeChanges {
  readonly nodes: ReadonlyMap<string, Uint8Array>;
  readonly removedPaths: ReadonlySet<string>;
}

/** Changes as they arrive; the paths of the nodes are found when they are decoded. */
export interface ReceivedNodeSet {
  readonly nodes: readonly Uint8Array[];
  readonly removedPaths: readonly string[];
}

/** Encodes and compresses. */
export function encodeNodeSet(changes: NodeChanges): Uint8Array {
  const nodes = [...changes.nodes.values()];
  const wire = sailquay.dissemination.NodeSet.encode({ nodes, removedPaths: [...changes.removedPaths] });
  return deflateRawSync(wire.finish());
}

/** Decompresses and decodes; throws `dissemination.bad-message`. */
export function decodeNodeSet(bytes: Uint8Array): ReceivedNodeSet {
  try {
    const plain = inflateRawSync(bytes, { maxOutputLength: MAX_NODE_SET_BYTES });
    const { nodes, removedPaths } = sailquay.dissemination.NodeSet.decode(plain);
    return { nodes, removedPaths };
  } catch (cause) {
    throw badMessage('a node set cannot be decoded', cause);
  }
}

/** The changes of both, the later ones last. */
export function mergeChanges(earlier: NodeChanges, later: NodeChanges): NodeChanges {
  const nodes = new Map(earlier.nodes);
  const removedPaths = new Set(earlier.removedPaths);
  for (const path of later.removedPaths) {
    nodes.delete(path);
    removedPaths.add(path);
  }
  for (const [path, bytes] of later.nodes) {
    removedPaths.delete(path);
    nodes.set(path, bytes);
  }
  return { nodes, removedPaths };
}

/** Approximate bytes in memory. */
export function sizeOfChanges(changes: NodeChanges): number {
  let size = 0;
  for (const [path, bytes] of changes.nodes) size += path.length + bytes.length;
  for (const path of changes.removedPaths) size += path.length;
  return size;
}
