/**
 * Builds the roster pages from the known back ends and decides whether a stored page is outdated. Does no input or
 * output.
 *
 * Prevents two failures: a roster that lacks back ends with open flows, and needless writes. A page is written only if
 * a back end is new, changed its address, zone, capacity or incarnation, started or stopped draining, departed or
 * returned. A departed back end that this daemon no longer remembers does not cause a write by itself; the next write
 * omits it.
 */
import type { RoutedBackend, RoutingKnowledge } from '../routing/index.js';
import type { RosterEntry, RosterPage } from './types.js';

/** Builds one page for each service from this daemon's known back ends, with the entries sorted by id. */
export function buildPages(knowledge: RoutingKnowledge): Map<string, RosterPage> {
  const entriesByService = new Map<string, RosterEntry[]>();
  for (const { record, departed } of knowledge.backends.all()) {
    const serviceEntries = entriesByService.get(record.service) ?? [];
    serviceEntries.push({ record: { ...record, coldMs: 0 }, hasLeft: departed });
    entriesByService.set(record.service, serviceEntries);
  }
  const epoch = knowledge.epochOf('backends');
  return new Map(
    [...entriesByService].map(([service, serviceEntries]) => [
      service,
      {
        service,
        epoch,
        entries: serviceEntries.sort((left, right) => (left.record.id < right.record.id ? -1 : 1)),
      },
    ]),
  );
}

/** Returns true if `storedPage` differs from `desiredPage` in a way that justifies a write. */
export function needsWriting(storedPage: RosterPage | undefined, desiredPage: RosterPage): boolean {
  const unmatchedById = new Map(storedPage?.entries.map((entry) => [entry.record.id, entry]));
  for (const entry of desiredPage.entries) {
    const storedEntry = unmatchedById.get(entry.record.id);
    unmatchedById.delete(entry.record.id);
    if (storedEntry ? !isSameEntry(storedEntry, entry) : !entry.hasLeft) return true;
  }
  return [...unmatchedById.values()].some(({ hasLeft }) => !hasLeft);
}

/** Compares the fields whose change justifies a write. */
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
