/** Writes the log events of changes in the member table and counts failures. */
import type { EventLog } from '../../observability/event.js';
import { MEMBERSHIP_EVENTS } from './events.js';
import { isRemoved } from './member-record.js';
import type { RecordChange } from './member-table.js';

/** One reporter for each process. */
export class ChangeReporter {
  private failureCount = 0;

  constructor(private readonly events: EventLog) {}

  /** Members seen to fail since start. */
  get failures(): number {
    return this.failureCount;
  }

  /** Reports one change; with `quiet` suspicions and failures are counted but not logged one by one. */
  report({ record, previous }: RecordChange, quiet: boolean): void {
    const changed = record.lifecycle !== previous?.lifecycle;
    const failed = changed && record.lifecycle === 'failed' && previous !== undefined && !isRemoved(previous);
    if (failed) this.failureCount += 1;
    const fields = { member: record.identity.id, zone: record.identity.zone };
    if (failed && !quiet) this.events.emit(MEMBERSHIP_EVENTS.memberFailed, fields);
    if (record.suspected && !previous?.suspected && !quiet) {
      this.events.emit(MEMBERSHIP_EVENTS.memberSuspect, fields);
    }
    if (changed && record.lifecycle === 'left') this.events.emit(MEMBERSHIP_EVENTS.memberLeft, fields);
    if (changed && record.lifecycle === 'active') this.events.emit(MEMBERSHIP_EVENTS.memberActive, fields);
  }
}
