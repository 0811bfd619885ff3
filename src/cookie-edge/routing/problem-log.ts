/** Logs what is wrong with records of the source, each once for a revision of the record, and counts it. */
import type { EventLog } from '../../observability/event.js';
import { ROUTING_EVENTS } from './events.js';
import type { RecordProblem, RoutingTopic } from './types.js';

/** Problems that are remembered, so that reading the same records again logs nothing. More are logged again. */
const MAX_REMEMBERED = 1_000;

/** See the module. */
export class ProblemLog {
  private readonly logged = new Set<string>();
  private problemCount = 0;

  constructor(private readonly events: EventLog) {}

  /** Problems logged since start. */
  get count(): number {
    return this.problemCount;
  }

  /** Notes what an answer of the source about `topic` brought. */
  note(topic: RoutingTopic, problems: readonly RecordProblem[] = []): void {
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
