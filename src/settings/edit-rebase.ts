/**
 * Decides what an edit makes of the tree that is stored now, which may not be the tree that it was computed on.
 *
 * What the rule prevents: that an edit undoes a racing one, and that two edits that are valid one by one leave a
 * tree with faults.
 *
 * Owns nothing; relies on `conflicts.ts` for what two edits must not both touch, and on `validate.ts` for what a
 * tree may hold.
 */
import { findConflicts } from './conflicts.js';
import { applyChanges, diffTrees } from './diff.js';
import type { FieldConflict, SettingsFault } from './errors.js';
import type { TreeChange, TreeDocument } from './tree.js';
import { validateDocument } from './validate.js';

/** An edit under way: who makes it, its changes, and the tree that they were computed on. */
export interface PreparedEdit {
  readonly author: string;
  readonly base: TreeDocument;
  readonly changes: readonly TreeChange[];
}

/**
 * What becomes of an edit on the tree stored now. `conflict` and `invalid` refuse it. `unchanged`: the tree is as
 * wanted already. `write`: `target` is to be stored, which differs from the stored tree by `changes`.
 */
export type RebaseOutcome =
  | { readonly kind: 'conflict'; readonly conflicts: readonly FieldConflict[] }
  | { readonly kind: 'unchanged' }
  | { readonly kind: 'invalid'; readonly faults: readonly SettingsFault[] }
  | { readonly kind: 'write'; readonly target: TreeDocument; readonly changes: readonly TreeChange[] };

/** True when the stored tree is another one than the edit was computed on. */
export function isRaced(edit: PreparedEdit, current: TreeDocument): boolean {
  return current !== edit.base;
}

/**
 * Brings an edit onto `current`. Conflicts come first: they name the other author, where the faults of a merged
 * tree would not. A tree that is as wanted is not validated, because nothing is written.
 */
export function rebaseEdit(edit: PreparedEdit, current: TreeDocument): RebaseOutcome {
  if (isRaced(edit, current)) {
    const conflicts = findConflicts(edit, edit.base, current);
    if (conflicts.length > 0) return { kind: 'conflict', conflicts };
  }
  const target = applyChanges(current, edit.changes);
  const changes = diffTrees(current, target);
  if (changes.length === 0) return { kind: 'unchanged' };
  const faults = validateDocument(target);
  return faults.length > 0 ? { kind: 'invalid', faults } : { kind: 'write', target, changes };
}
