/**
 * Connects this slice to the settings slice: node encoding and resolution of a tree.
 *
 * Owns no state. Relies on `settings/` alone for what a node means and when a tree is valid.
 */
import {
  asTreeDocument,
  decodeNode,
  encodeNode,
  formatFault,
  resolveSettings,
  type TreeDocument,
} from '../../settings/index.js';
import type { TreeCodec } from './distributed-tree.js';
import { badMessage } from './errors.js';

/** The product's codec. */
export const settingsTreeCodec: TreeCodec = {
  encodeNode,
  decodeNode: (bytes) => {
    const node = decodeNode(bytes);
    if (node.isErr) throw badMessage('a node cannot be decoded', node.error);
    return node.value;
  },
  resolve: (document, version, previous) =>
    resolveSettings(document, version, previous).mapErr((faults) => faults.map(formatFault)),
};

/** Reads the store's JSON as a tree document; undefined when it is not one. */
export function toDocument(value: unknown): TreeDocument | undefined {
  return asTreeDocument(value);
}
