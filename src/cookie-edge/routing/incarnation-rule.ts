/**
 * Rule: detects whether a record belongs to another incarnation, that is, to a process that was restarted under the
 * same back end id. Prevents the new process, which has no connections or state, from being treated as the old one.
 * Does no input or output.
 *
 * Each incarnation counts as a separate back end: the registry discards the old one and adds the new one, so flows,
 * health, verdicts, slow start and draining start over (docs/DECISION-RULES.md describes each). The rule compares start
 * times only within one back end, and only for equality: clocks differ between machines and may be set back. The order
 * of incarnations follows from the source's revisions. If either start time is missing, the incarnation is assumed to
 * be the same.
 */
import type { RoutedBackend } from './types.js';

/** Returns true when `record` and `known`, two records of one back end, belong to different incarnations. */
export function isOtherIncarnation(
  record: Pick<RoutedBackend, 'incarnation'>,
  known: Pick<RoutedBackend, 'incarnation'>,
): boolean {
  if (record.incarnation === undefined || known.incarnation === undefined) return false;
  return record.incarnation !== known.incarnation;
}
