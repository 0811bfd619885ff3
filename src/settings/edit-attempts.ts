/**
 * Decides what a failed write of an edit means, whether the edit is tried again, and with which error it is given up.
 *
 * What the rule prevents: that an edit is applied twice after a lost answer, and that an author is told "nothing
 * was written" while a write may still take effect.
 *
 * Owns nothing; relies on the kind of error that the store client gave, and on the tree read back after each failed
 * write.
 */
import type { StoreErrorKind } from '../store/errors.js';
import { MAX_EDIT_ATTEMPTS } from './constants.js';
import type { TreeErrorKind } from './errors.js';

/**
 * True when a write that failed so may have taken effect. A conflict was refused, and an unreachable platform saw
 * nothing.
 */
export function mayHaveTakenEffect(kind: StoreErrorKind): boolean {
  return kind !== 'platform.version-conflict' && kind !== 'platform.unreachable';
}

/** What was read back after a failed write. */
export interface ReadBackFacts {
  /** The edit's token is in the stored history. */
  readonly isTokenFound: boolean;
  /** The stored version is later than the one that the write required. */
  readonly isNewerVersion: boolean;
  /** A write of this edit may have taken effect. */
  readonly isOutcomeOpen: boolean;
  /** Writes tried. */
  readonly attempts: number;
  /** The deadline of the edit has passed. */
  readonly isLate: boolean;
}

/** What becomes of the edit. With `isOutcomeOpen` a write may still take effect later. */
export interface ReadBackVerdict {
  readonly kind: 'applied' | 'retry' | 'give-up';
  readonly isOutcomeOpen: boolean;
}

/**
 * Decides what becomes of an edit after its write failed and the tree was read back. The token comes first: it
 * proves that the write took effect. A newer version without the token proves that a lost write no longer can,
 * since it required the version before.
 */
export function judgeReadBack(facts: ReadBackFacts): ReadBackVerdict {
  const { isTokenFound, isNewerVersion, attempts, isLate } = facts;
  if (isTokenFound) return { kind: 'applied', isOutcomeOpen: false };
  const isOutcomeOpen = facts.isOutcomeOpen && !isNewerVersion;
  const isOver = attempts >= MAX_EDIT_ATTEMPTS || isLate;
  return { kind: isOver ? 'give-up' : 'retry', isOutcomeOpen };
}

/** Error with which an edit is given up after `kind`. Doubt about a write outweighs the last error. */
export function giveUpKind(isOutcomeOpen: boolean, kind: StoreErrorKind): TreeErrorKind {
  if (isOutcomeOpen) return 'settings.outcome-unknown';
  return kind === 'platform.version-conflict' ? 'settings.too-many-races' : 'settings.platform-unavailable';
}
