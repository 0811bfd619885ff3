/**
 * Rule: orders responses of the source from before and after a restore from an older backup. Prevents responses
 * after a restore from being discarded as outdated: the source then continues from a lower revision and assigns the
 * same revisions again. Does no input or output.
 *
 * A revision is comparable only within its epoch. The epoch is the number of restores, which the source includes in
 * each response. Every position in a later epoch is newer than any position in an earlier one. Only a complete update
 * starts an epoch, because changes do not show what the restore removed. Route tables are the exception. The operator's
 * version orders them across epochs, because a backup may contain a table older than the one in force, and a table in
 * force is never rolled back.
 */
import type { RouteTable } from './types.js';

/** Epoch of a source that states none. */
const FIRST_EPOCH = 0;

/** A position in the source's history. */
export interface SourcePosition {
  /** Number of restores of the source so far; absent: 0. */
  readonly epoch?: number;
  readonly revision: number;
}

/** Relation of a received epoch to the known one. */
export type EpochRelation = 'earlier' | 'same' | 'later';

/** Returns the epoch of a position, an update or a table. */
export function epochOf({ epoch = FIRST_EPOCH }: { readonly epoch?: number }): number {
  return epoch;
}

/** Compares a received epoch with the known one. */
export function compareEpochs(
  received: { readonly epoch?: number },
  known: { readonly epoch?: number },
): EpochRelation {
  const difference = epochOf(received) - epochOf(known);
  if (difference === 0) return 'same';
  return difference > 0 ? 'later' : 'earlier';
}

/** Returns true when `left` precedes `right` in the source's history. */
export function isBefore(left: SourcePosition, right: SourcePosition): boolean {
  const relation = compareEpochs(left, right);
  return relation === 'same' ? left.revision < right.revision : relation === 'earlier';
}

/** Returns true when `table` replaces `inForce`. */
export function supersedes(table: RouteTable, inForce: RouteTable): boolean {
  const relation = compareEpochs(table, inForce);
  if (relation === 'same') return table.revision > inForce.revision && table.version >= inForce.version;
  if (table.version !== inForce.version) return table.version > inForce.version;
  return relation === 'later';
}
