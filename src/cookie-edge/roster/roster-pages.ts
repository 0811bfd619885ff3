/**
 * Rule: what the roster should hold, and whether a page must be written. Does no input or output.
 *
 * Prevents both a roster that lacks back ends which hold flows and writes that nobody needs: a page is written only
 * for a back end that is new, has another address, zone, capacity or incarnation, leaves, or has left. That one which
 * left is no longer remembered by anybody is no reason; it is left out with the next write.
 */
import type { RoutedBackend, RoutingKnowledge } from '../routing/index.js';
import type { RosterEntry, RosterPage } from './types.js';

/** The pages that a daemon's knowledge makes, by service; each sorted by id. */
export function pagesOf(knowledge: RoutingKnowledge): Map<string, RosterPage> {
  const entries = new Map<string, RosterEntry[]>();
  for (const { record, departed } of knowledge.backends.all()) {
    const ofService = entries.get(record.service) ?? [];
    ofService.push({ record: { ...record, coldMs: 0 }, hasLeft: departed });
    entries.set(record.service, ofService);
  }
  const epoch = knowledge.epochOf('backends');
  return new Map(
    [...entries].map(([service, ofService]) => [
      service,
      {
        service,
        epoch,
        entries: ofService.sort((left, right) => (left.record.id < right.record.id ? -1 : 1)),
      },
    ]),
  );
}

/** True when `stored` lacks something that matters of `wanted`. */
export function needsWriting(stored: RosterPage | undefined, wanted: RosterPage): boolean {
  const known = new Map(stored?.entries.map((entry) => [entry.record.id, entry]));
  for (const entry of wanted.entries) {
    const before = known.get(entry.record.id);
    known.delete(entry.record.id);
    if (before ? !isSameEntry(before, entry) : !entry.hasLeft) return true;
  }
  return [...known.values()].some(({ hasLeft }) => !hasLeft);
}

function isSameEntry(left: RosterEntry, right: RosterEntry): boolean {
  return left.hasLeft === right.hasLeft && isSameBackend(left.record, right.record);
}

function isSameBackend(left: RoutedBackend, right: RoutedBackend): boolean {
  return (
    left.endpoint.host === right.endpoint.host &&
    left.endpoint.port === right.endpoint.port &&
    left.zone === right.zone &&
    left.capacity === right.capacity &&
    left.draining === right.draining &&
    left.incarnation === right.incarnation
  );
}
