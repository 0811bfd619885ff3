/**
 * Rule: whether a record speaks of another incarnation, that is, another life of a back end's process under the id
 * that it had. Prevents that a process which holds and knows nothing is treated as the one before it. Does no input or
 * output.
 *
 * Each incarnation is a back end of its own: the registry forgets the old one and adds the new one, so that flows,
 * health, verdicts, cold time and draining begin anew (docs/DECISION-RULES.md lists what becomes of each). A start time
 * is compared with the same back end's only, and only for equality: clocks differ between machines and may be set back,
 * so that the source's revisions say which life is the later one. Where either start time is missing, the life is taken
 * for the same.
 */
import type { RoutedBackend } from './types.js';

/** True when `record` is of another life of the process than `known`, a record of the same back end. */
export function isOtherIncarnation(
  record: Pick<RoutedBackend, 'incarnation'>,
  known: Pick<RoutedBackend, 'incarnation'>,
): boolean {
  if (record.incarnation === undefined || known.incarnation === undefined) return false;
  return record.incarnation !== known.incarnation;
}
