/**
 * Logs and counts responses of the source that do not continue the known history: the source no longer has the
 * requested changes, or it returned an older revision. Logs each kind once per topic, until a response continues the
 * history again. Owns the counts and the set of logged breaks; relies on each follower to report its responses.
 */
import type { EventLog } from '../../observability/event.js';
import { ROUTING_EVENTS } from './events.js';
import type { RoutingTopic } from './types.js';

/** Number of responses since start, by kind of break. */
interface HistoryBreakCounts extends Readonly<Record<string, number>> {
  readonly historyGone: number;
  readonly olderRevision: number;
}

/** Logs and counts the breaks in the source's history that one daemon sees. */
export class SourceHistoryLog {
  private readonly counted = { historyGone: 0, olderRevision: 0 };
  /** Breaks that are already logged, as `kind/topic`. */
  private readonly logged = new Set<string>();

  constructor(private readonly events: EventLog) {}

  get counts(): HistoryBreakCounts {
    return this.counted;
  }

  /** Records that the source no longer has the changes after `knownRevision`. */
  recordHistoryGone(topic: RoutingTopic, knownRevision: number): void {
    this.counted.historyGone += 1;
    if (this.checkAndMarkLogged(`gone/${topic}`)) return;
    this.events.emit(ROUTING_EVENTS.historyGone, {
      topic,
      known: knownRevision,
      count: this.counted.historyGone,
    });
  }

  /** Records that the source returned `receivedRevision`, which is below `knownRevision`. */
  recordOlderRevision(topic: RoutingTopic, knownRevision: number, receivedRevision: number): void {
    this.counted.olderRevision += 1;
    if (this.checkAndMarkLogged(`older/${topic}`)) return;
    const count = this.counted.olderRevision;
    this.events.emit(ROUTING_EVENTS.olderRevisionReceived, {
      topic,
      known: knownRevision,
      received: receivedRevision,
      count,
    });
  }

  /** Call after a response that continues the known history, so that a later break is logged again. */
  clearLoggedBreaks(topic: RoutingTopic): void {
    this.logged.delete(`gone/${topic}`);
    this.logged.delete(`older/${topic}`);
  }

  private checkAndMarkLogged(key: string): boolean {
    if (this.logged.has(key)) return true;
    this.logged.add(key);
    return false;
  }
}
