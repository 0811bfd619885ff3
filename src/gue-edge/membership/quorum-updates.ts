/**
 * Brings the quorum up to date, logs when it was lost or regained, and publishes that at once.
 *
 * Owns whether decisions have ended. Relies on `quorum.ts` for each decision.
 */
import type { EventLog } from '../../observability/event.js';
import { MEMBERSHIP_EVENTS } from './events.js';
import type { MemberTable } from './member-table.js';
import type { Quorum } from './quorum.js';
import type { ViewPublisher } from './view-publisher.js';

/** What an update looks at and changes. */
interface QuorumUpdatesContext {
  readonly quorum: Quorum;
  readonly table: MemberTable;
  readonly publisher: ViewPublisher;
  readonly events: EventLog;
}

/** One for each process. */
export class QuorumUpdates {
  private stopped = false;

  constructor(private readonly context: QuorumUpdatesContext) {}

  /** Decides anew; publishes a view when the decision changed. */
  update(): void {
    const { quorum, table, publisher, events } = this.context;
    if (this.stopped || !quorum.update()) return;
    const event = quorum.isQuorate ? MEMBERSHIP_EVENTS.quorumRegained : MEMBERSHIP_EVENTS.quorumLost;
    events.emit(event, { members: table.liveCount });
    publisher.publishNow();
  }

  /** Ends all further decisions. */
  stop(): void {
    this.stopped = true;
  }
}
