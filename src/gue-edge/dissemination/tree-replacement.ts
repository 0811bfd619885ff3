/**
 * Decides which tree may take the place of the one in force, and which peer's tree is worth fetching.
 *
 * What the rule prevents: that settings go back to an older version, that two members stay with different trees for
 * good, and that a tree found faulty is fetched again and again.
 *
 * Owns nothing; relies on the order of stamps (`stamp.ts`), on whether the tree in memory is intact, and on the
 * rejected trees.
 */
import { supersedes, type TreeStamp } from './stamp.js';

/** The tree in force; undefined before the first. */
export type HeldTree = { readonly stamp: TreeStamp; readonly isCorrupt: boolean } | undefined;

/**
 * What a candidate is to the tree in force. May take effect: `first` tree at all; `repair` of a corrupt tree; `newer`.
 * May not: `none`, the stamp of a member without a tree; `older-than-corrupt`; `not-newer`.
 */
export type ReplacementVerdict = 'first' | 'repair' | 'newer' | 'none' | 'older-than-corrupt' | 'not-newer';

/**
 * Compares a candidate with the tree in force. A corrupt tree gives way to any of its own version or later, since
 * its digest no longer says anything about its content. Else `supersedes` decides; the same tree again is
 * `not-newer`.
 */
export function judgeReplacement(candidate: TreeStamp, held: HeldTree): ReplacementVerdict {
  if (!held) return candidate.version > 0 ? 'first' : 'none';
  if (held.isCorrupt) return candidate.version >= held.stamp.version ? 'repair' : 'older-than-corrupt';
  return supersedes(candidate, held.stamp) ? 'newer' : 'not-newer';
}

/** True for a verdict under which the candidate may take effect. */
export function mayReplace(verdict: ReplacementVerdict): boolean {
  return verdict === 'first' || verdict === 'repair' || verdict === 'newer';
}

/** Whether a peer's tree is fetched; `rejected`: this member has had it and found it faulty. */
export type FetchVerdict = 'fetch' | 'rejected' | 'not-needed';

/** Decides whether a peer's tree is fetched: unless it was rejected, whenever it may take effect. */
export function judgeFetch(candidate: TreeStamp, held: HeldTree, wasRejected: boolean): FetchVerdict {
  if (wasRejected) return 'rejected';
  return mayReplace(judgeReplacement(candidate, held)) ? 'fetch' : 'not-needed';
}
