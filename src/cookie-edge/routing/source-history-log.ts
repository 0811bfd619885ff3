/**
 * Logs and counts responses of the source that do not continue what is known here: its history is gone, or it answered
 * with an older revision. Owns the counts and which of them were logged; relies on each follower to report its
 * responses. A line is written when a topic's kind of break begins, not at each response of it.
 */
import type { EventLog } from '../../observability/event.js';
import { ROUTING_EVENTS } from './events.js';
import type { RoutingTopic } from './types.js';

/** Responses since start, by kind. */
interface HistoryBreakCounts extends Readonly<Record<string, number>> {
  readonly historyGone: number;
  readonly olderRevision: number;
}

/** The breaks in the source's history that one daemon met. */
export class SourceHistoryLog {
  private readonly counted = { historyGone: 0, olderRevision: 0 };
  /** Topics whose break is logged, by kind. */
  private readonly logged = new Set<string>();

  constructor(private readonly events: EventLog) {}

  get counts(): HistoryBreakCounts {
    return this.counted;
  }

  /** Records that the source no longer has the changes after `known`. */
  recordHistoryGone(topic: RoutingTopic, known: number): void {
    this.counted.historyGone += 1;
    if (this.isLogged(`gone/${topic}`)) return;
    this.events.emit(ROUTING_EVENTS.historyGone, { topic, known, count: this.counted.historyGone });
  }

  /** Records that the source answered with revision `received`, which is below `known`. */
  recordOlderRevision(topic: RoutingTopic, known: number, received: number): void {
    this.counted.olderRevision += 1;
    if (this.isLogged(`older/${topic}`)) return;
    const count = this.counted.olderRevision;
    this.events.emit(ROUTING_EVENTS.olderRevision, { topic, known, received, count });
  }

  /** Records a response that continues what is known: a later break is logged again. */
  recordContinued(topic: RoutingTopic): void {
    this.logged.delete(`gone/${topic}`);
    this.logged.delete(`older/${topic}`);
  }

  private isLogged(key: string): boolean {
    if (this.logged.has(key)) return true;
    this.logged.add(key);
    return false;
  }
}
