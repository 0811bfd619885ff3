/**
 * Logs and counts faults in records of the source, each once for a revision of the record. Owns the set of logged
 * faults; relies on the source to name them.
 */
import type { EventLog } from '../../observability/event.js';
import { ROUTING_EVENTS } from './events.js';
import type { RecordProblem, RoutingTopic } from './types.js';

/**
 * Problems remembered, so that reading the same records again logs nothing; beyond, all are forgotten. Bounds memory.
 */
const MAX_REMEMBERED = 1_000;

/** The problems of one daemon's source. */
export class ProblemLog {
  private readonly logged = new Set<string>();
  private problemCount = 0;

  constructor(private readonly events: EventLog) {}

  /** Problems logged since start. */
  get count(): number {
    return this.problemCount;
  }

  /** Logs the problems of a response about `topic` that were not logged yet. */
  record(topic: RoutingTopic, problems: readonly RecordProblem[] = []): void {
    for (const { name, revision, problem } of problems) {
      const key = `${topic}/${name}@${revision}: ${problem}`;
      if (this.logged.has(key)) continue;
      if (this.logged.size >= MAX_REMEMBERED) this.logged.clear();
      this.logged.add(key);
      this.problemCount += 1;
      this.events.emit(ROUTING_EVENTS.recordProblem, { topic, name, revision, problem });
    }
  }
}
