/**
 * Decides where an edit conflicts with the edits accepted since the version that it started from.
 *
 * What the rule prevents: that the later of two authors silently overrules the earlier one on the same field, or
 * sets something in a node that the other has removed. Edits of different fields do not conflict, and neither do
 * edits with the same result.
 *
 * Owns nothing; relies on the differences of trees (`diff.ts`), and on the history of edits for the other author's
 * name. An author whose record has left the history is `unknown`.
 */
import { diffTrees } from './diff.js';
import type { FieldConflict } from './errors.js';
import { isWithin, NODE_KIND_FIELD, type EditRecord, type TreeChange, type TreeDocument } from './tree.js';

/** One side of a race. */
interface RacingEdit {
  readonly author: string;
  /** Changes against the common base. */
  readonly changes: readonly TreeChange[];
}

function changeKey(change: TreeChange): string {
  return `${change.path}\n${change.field}`;
}

function removedPaths(changes: readonly TreeChange[]): string[] {
  return changes
    .filter((change) => change.field === NODE_KIND_FIELD && change.after === undefined)
    .map((change) => change.path);
}

/** Last author among the records accepted since `base` who changed the field, or the node's existence. */
function authorOf(change: TreeChange, base: TreeDocument, current: TreeDocument): string {
  const known = new Set(base.edits.map((record) => record.token));
  const since = current.edits.filter((record: EditRecord) => !known.has(record.token));
  const match = since.findLast((record) =>
    record.changes.some((made) => changeKey(made) === changeKey(change)),
  );
  return match?.author ?? 'unknown';
}

function conflictOf(
  ours: TreeChange | undefined,
  theirs: TreeChange,
  authors: { readonly ours: string; readonly theirs: string },
): FieldConflict {
  return {
    path: theirs.path,
    field: theirs.field,
    base: theirs.before,
    ours: ours?.after,
    theirs: theirs.after,
    ourAuthor: authors.ours,
    theirAuthor: authors.theirs,
  };
}

/** Conflicts of our field changes with theirs on the same node and field; equal results are no conflict. */
function fieldConflicts(
  ours: readonly TreeChange[],
  theirs: readonly TreeChange[],
): [TreeChange, TreeChange][] {
  const byKey = new Map(theirs.map((change) => [changeKey(change), change]));
  return ours.flatMap((change): [TreeChange, TreeChange][] => {
    const other = byKey.get(changeKey(change));
    return other && other.after !== change.after ? [[change, other]] : [];
  });
}

/** Changes of `changes` at or below a path that the other side removed, the common removal itself excepted. */
function changesWithin(changes: readonly TreeChange[], removed: readonly string[]): TreeChange[] {
  return changes.filter(
    (change) => change.after !== undefined && removed.some((path) => isWithin(change.path, path)),
  );
}

/**
 * Conflicts between our edit of `base` and what `current` has become since. Both sides changing one field of one
 * node to different values conflict, and so does removing a node in or below which the other side sets something.
 */
export function findConflicts(ours: RacingEdit, base: TreeDocument, current: TreeDocument): FieldConflict[] {
  const theirs = diffTrees(base, current);
  const conflicts = new Map<string, FieldConflict>();
  const add = (mine: TreeChange | undefined, other: TreeChange): void => {
    const authors = { ours: ours.author, theirs: authorOf(other, base, current) };
    const key = changeKey(other);
    if (!conflicts.has(key)) conflicts.set(key, conflictOf(mine, other, authors));
  };
  for (const [mine, other] of fieldConflicts(ours.changes, theirs)) add(mine, other);
  for (const other of changesWithin(theirs, removedPaths(ours.changes))) add(undefined, other);
  const theirRemovals = removedPaths(theirs);
  for (const mine of changesWithin(ours.changes, theirRemovals)) {
    const removal = theirs.find(
      (other) =>
        other.field === NODE_KIND_FIELD && other.after === undefined && isWithin(mine.path, other.path),
    );
    if (removal) add(mine, removal);
  }
  return [...conflicts.values()];
}
