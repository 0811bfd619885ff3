/**
 * Rule: the order of what the source said before and after it was restored from an older copy. Prevents that what it
 * says after a restore is taken for old: its revisions go back then and are given out again. Does no input or output.
 *
 * A revision counts only within its epoch, the number of restores that the source names with each answer. A later epoch
 * goes before any revision of an earlier one. Only a complete update begins an epoch, since changes say nothing about
 * what the restore took away. Tables of routes are the exception: the operator's version orders them across epochs, as
 * a copy may hold an older table than the one in force, and a change that was in force never goes back.
 */
import type { RouteTable } from './types.js';

/** Epoch of a source that names none. */
const FIRST_EPOCH = 0;

/** A point in the source's history. */
export interface SourcePosition {
  /** Restores of the source until then; absent: 0. */
  readonly epoch?: number;
  readonly revision: number;
}

/** How an update's epoch relates to the known one. */
export type EpochRelation = 'earlier' | 'same' | 'later';

/** The epoch of a position, an update or a table. */
export function epochOf({ epoch = FIRST_EPOCH }: { readonly epoch?: number }): number {
  return epoch;
}

/** Compares the epochs of what came and of what is known. */
export function compareEpochs(
  received: { readonly epoch?: number },
  known: { readonly epoch?: number },
): EpochRelation {
  const difference = epochOf(received) - epochOf(known);
  if (difference === 0) return 'same';
  return difference > 0 ? 'later' : 'earlier';
}

/** True when `left` lies before `right` in the source's history. */
export function isBefore(left: SourcePosition, right: SourcePosition): boolean {
  const relation = compareEpochs(left, right);
  return relation === 'same' ? left.revision < right.revision : relation === 'earlier';
}

/** True when `table` goes in force in place of `inForce`. */
export function supersedes(table: RouteTable, inForce: RouteTable): boolean {
  const relation = compareEpochs(table, inForce);
  if (relation === 'same') return table.revision > inForce.revision && table.version >= inForce.version;
  if (table.version !== inForce.version) return table.version > inForce.version;
  return relation === 'later';
}
