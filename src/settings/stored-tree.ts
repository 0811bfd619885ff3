/**
 * Reading of the stored form of the tree.
 *
 * Owns no state. Relies on the store for the version.
 */
import Result from 'true-myth/result';
import type { StoredObject } from '../store/types.js';
import { TreeError } from './errors.js';
import { EMPTY_TREE, withNodes, type EditRecord, type VersionedTree } from './tree.js';
import { asTreeDocument } from './validate.js';

/** The newest record has no version in its stored form, since the platform gives it; it is that of the object. */
function withVersions(edits: readonly EditRecord[], objectVersion: number): readonly EditRecord[] {
  return edits.map((record) => (record.version === 0 ? { ...record, version: objectVersion } : record));
}

/**
 * Reads the object of key `TREE_OBJECT_KEY`; an absent one is the empty tree with version 0. Only the shape is
 * judged: error `settings.malformed-object`.
 */
export function readStoredTree(stored: StoredObject | undefined): Result<VersionedTree, TreeError> {
  if (!stored) return Result.ok({ version: 0, document: EMPTY_TREE });
  const document = asTreeDocument(stored.value);
  if (!document) {
    const message = `The object ${stored.key} at version ${stored.version} is not a settings tree`;
    const remedy = 'Restore the object in the platform';
    return Result.err(new TreeError('settings.malformed-object', message, remedy));
  }
  const sorted = withNodes(document, document.nodes);
  const edits = withVersions(sorted.edits, stored.version);
  return Result.ok({ version: stored.version, document: { ...sorted, edits } });
}
