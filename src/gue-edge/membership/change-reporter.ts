/**
 * Writes the log events of changes in the member table and counts failures.
 *
 * Owns the count of failures. Relies on `ZoneSilence` for when single suspicions and failures are not worth a line.
 */
import type { EventFields, EventLog } from '../../observability/event.js';
import { MEMBERSHIP_EVENTS } from './events.js';
import type { Lifecycle } from './member-record.js';
import { isFailure, type RecordChange } from './member-table.js';

/** One reporter for each process. */
export class ChangeReporter {
  private failureCount = 0;

  constructor(private readonly events: EventLog) {}

  /** Members seen to fail since start. */
  get failures(): number {
    return this.failureCount;
  }

  /** Reports one change; with `quiet` suspicions and failures are counted but not logged one by one. */
  report(change: RecordChange, quiet: boolean): void {
    const { record, previous } = change;
    const fields = { member: record.identity.id, zone: record.identity.zone };
    if (isFailure(change)) {
      this.failureCount += 1;
      if (!quiet) this.events.emit(MEMBERSHIP_EVENTS.memberFailed, fields);
    }
    const isNewlySuspected = record.suspected && !previous?.suspected;
    if (isNewlySuspected && !quiet) this.events.emit(MEMBERSHIP_EVENTS.memberSuspect, fields);
    if (record.lifecycle !== previous?.lifecycle) this.reportLifecycle(record.lifecycle, fields);
  }

  /** Reports a planned change; a failure has an event of its own, which can be kept quiet. */
  private reportLifecycle(lifecycle: Lifecycle, fields: EventFields): void {
    if (lifecycle === 'left') this.events.emit(MEMBERSHIP_EVENTS.memberLeft, fields);
    if (lifecycle === 'active') this.events.emit(MEMBERSHIP_EVENTS.memberActive, fields);
  }
}
