/**
 * Logs and counts problems with records of the source, each once per revision of the record. Owns the set of logged
 * problems; relies on the source to report them.
 */
import type { EventLog } from '../../observability/event.js';
import { ROUTING_EVENTS } from './events.js';
import type { RecordProblem, RoutingTopic } from './types.js';

/**
 * Maximum number of logged problems that are stored to keep them from being logged again. Bounds memory: the set is
 * cleared when it is full.
 */
const MAX_LOGGED_PROBLEMS = 1_000;

/** Logs each problem with the records of one daemon's source once. */
export class ProblemLog {
  private readonly logged = new Set<string>();
  private problemCount = 0;

  constructor(private readonly events: EventLog) {}

  /** Problems logged since start. */
  get count(): number {
    return this.problemCount;
  }

  /** Logs the problems in a response about `topic` that are not logged yet. */
  record(topic: RoutingTopic, problems: readonly RecordProblem[] = []): void {
    for (const { name, revision, problem } of problems) {
      const key = `${topic}/${name}@${revision}: ${problem}`;
      if (this.logged.has(key)) continue;
      if (this.logged.size >= MAX_LOGGED_PROBLEMS) this.logged.clear();
      this.logged.add(key);
      this.problemCount += 1;
      this.events.emit(ROUTING_EVENTS.recordProblem, { topic, name, revision, problem });
    }
  }
}
