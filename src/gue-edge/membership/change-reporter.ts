/** Writes the log events of changes in the member table and counts failures. */
import type { EventLog } from '../../observability/event.js';
import { MEMBERSHIP_EVENTS } from './events.js';
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
    if (record.suspected && !previous?.suspected && !quiet) {
      this.events.emit(MEMBERSHIP_EVENTS.memberSuspect, fields);
    }
    if (record.lifecycle === previous?.lifecycle) return;
    if (record.lifecycle === 'left') this.events.emit(MEMBERSHIP_EVENTS.memberLeft, fields);
    if (record.lifecycle === 'active') this.events.emit(MEMBERSHIP_EVENTS.memberActive, fields);
  }
}
