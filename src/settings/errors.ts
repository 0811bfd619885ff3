/** Faults of a settings tree and errors of reading and editing it. */
import { SailquayError } from '../common/types.js';
import type { FieldValue } from './tree.js';

/** What is wrong with a node or field. */
export type SettingsFaultKind =
  | 'settings.syntax'
  | 'settings.malformed'
  | 'settings.invalid-path'
  | 'settings.duplicate-node'
  | 'settings.unknown-field'
  | 'settings.misplaced-field'
  | 'settings.invalid-value'
  | 'settings.out-of-range'
  | 'settings.missing-field'
  | 'settings.missing-zone'
  | 'settings.dangling-parent'
  | 'settings.cycle'
  | 'settings.duplicate-address'
  | 'settings.overlapping-service'
  | 'settings.id-collision';

/** One fault of a tree. A tree with any fault is not applied. */
export interface SettingsFault {
  readonly kind: SettingsFaultKind;
  /** Path of the node; '' is the defaults node or the document itself. */
  readonly nodePath: string;
  /** Field of the node; '' when the fault concerns the node as a whole. */
  readonly field: string;
  /** The offending value as it was written. */
  readonly value: unknown;
  readonly message: string;
  readonly remedy: string;
}

/** Writes a fault as one line: node, field, value, message and remedy. */
export function formatFault(fault: SettingsFault): string {
  const node = fault.nodePath === '' ? 'defaults' : fault.nodePath;
  const place = fault.field === '' ? node : `${node}: ${fault.field}`;
  const value = fault.value === undefined ? '' : ` = ${JSON.stringify(fault.value)}`;
  return `${place}${value}: ${fault.message} [${fault.kind}]. ${fault.remedy}`;
}

/** Kinds of errors that reading or editing the stored tree returns. */
export type TreeErrorKind =
  | 'settings.invalid'
  | 'settings.conflict'
  | 'settings.node-not-found'
  | 'settings.node-exists'
  | 'settings.invalid-edit'
  | 'settings.token-reused'
  | 'settings.platform-unavailable'
  | 'settings.outcome-unknown'
  | 'settings.too-many-races'
  | 'settings.malformed-object'
  | 'settings.bad-message';

/** Base of the errors of the settings slice. */
export class TreeError extends SailquayError {
  constructor(
    readonly kind: TreeErrorKind,
    message: string,
    remedy: string,
    options?: ErrorOptions,
  ) {
    super(message, remedy, options);
  }
}

/** The edit would leave the tree with faults; nothing was written. */
export class InvalidTreeError extends TreeError {
  constructor(readonly faults: readonly SettingsFault[]) {
    super(
      'settings.invalid',
      `The tree has ${faults.length} fault(s); the first: ${faults[0] ? formatFault(faults[0]) : 'none'}`,
      'Mend every fault listed; nothing was applied',
    );
  }
}

/** One field that two operators changed at the same time. */
export interface FieldConflict {
  readonly path: string;
  readonly field: string;
  /** Value both sides started from; undefined means unset. */
  readonly base: FieldValue | undefined;
  readonly ours: FieldValue | undefined;
  readonly theirs: FieldValue | undefined;
  readonly ourAuthor: string;
  /** Author of the racing edit; 'unknown' when its record is no longer in the history. */
  readonly theirAuthor: string;
}

/** Another operator's accepted edit changed the same node and field; nothing was written. */
export class EditConflictError extends TreeError {
  constructor(readonly conflicts: readonly FieldConflict[]) {
    super(
      'settings.conflict',
      `The edit conflicts with a racing one: ${conflicts.map(formatConflict).join('; ')}`,
      'Read the tree again, agree with the other author and repeat the edit if it is still wanted',
    );
  }
}

function formatConflict(conflict: FieldConflict): string {
  const node = conflict.path === '' ? 'defaults' : conflict.path;
  const ours = `${conflict.ourAuthor} wants ${showValue(conflict.ours)}`;
  const theirs = `${conflict.theirAuthor} has set ${showValue(conflict.theirs)}`;
  return `${node}: ${conflict.field}: ${ours}, ${theirs}`;
}

function showValue(value: FieldValue | undefined): string {
  return value === undefined ? 'unset' : JSON.stringify(value);
}
