/**
 * Bounded log of applied changes, from which peers that lag a little get the way to the newest tree.
 *
 * Owns the changes, bounded by bytes and entries. Relies on the tree holder for an unbroken sequence; a gap clears
 * the log.
 */
import { CHANGE_LOG_BYTES, CHANGE_LOG_ENTRIES } from './constants.js';
import { mergeChanges, sizeOfChanges, type NodeChanges } from './node-set.js';
import { stampKey, type TreeStamp } from './stamp.js';

interface LogEntry {
  readonly baseKey: string;
  readonly changes: NodeChanges;
  readonly bytes: number;
}

export class ChangeLog {
  private readonly entries: LogEntry[] = [];
  private totalBytes = 0;

  /** Adds the step from `base` to the tree now in force; the base must be the tree that was in force before. */
  append(base: TreeStamp, changes: NodeChanges): void {
    const bytes = sizeOfChanges(changes);
    this.entries.push({ baseKey: stampKey(base), changes, bytes });
    this.totalBytes += bytes;
    while (this.totalBytes > CHANGE_LOG_BYTES || this.entries.length > CHANGE_LOG_ENTRIES) {
      this.totalBytes -= this.entries.shift()?.bytes ?? 0;
    }
  }

  /** Forgets everything: the tree in force did not come from the one before by known changes. */
  clear(): void {
    this.entries.length = 0;
    this.totalBytes = 0;
  }

  /** The changes from `base` to the tree in force; undefined when the log does not reach back so far. */
  changesSince(base: TreeStamp): NodeChanges | undefined {
    const key = stampKey(base);
    const first = this.entries.findLastIndex((entry) => entry.baseKey === key);
    if (first < 0) return undefined;
    return this.entries
      .slice(first)
      .map((entry) => entry.changes)
      .reduce(mergeChanges);
  }
}
