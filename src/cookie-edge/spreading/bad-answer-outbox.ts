/**
 * Bad answers to tell other daemons about. Each daemon sends each report that is new to it in two pushes, to six peers in all, which
 * reaches a whole fleet; what one message can't hold waits for the next, the newest first. So the bytes are bounded whatever happens.
 */
import { BAD_ANSWERS_PER_MESSAGE, BAD_ANSWER_PUSHES, BAD_ANSWER_GOSSIP_MS } from './constants.js';
import type { BadAnswerReport } from '../outliers/index.js';

/** A report with the pushes that may still carry it. */
interface QueuedReport {
  readonly report: BadAnswerReport;
  pushesLeft: number;
}

/** See the module. Times are monotonic ms. */
export class BadAnswerOutbox {
  private queue: QueuedReport[] = [];

  add(report: BadAnswerReport): void {
    this.queue.push({ report, pushesLeft: BAD_ANSWER_PUSHES });
  }

  /** True while something waits to be told. */
  get isEmpty(): boolean {
    return this.queue.length === 0;
  }

  /** What the next push carries. */
  takeForPush(nowMs: number): BadAnswerReport[] {
    this.queue = this.queue.filter(({ report }) => nowMs - report.atMs < BAD_ANSWER_GOSSIP_MS);
    const newestFirst = [...this.queue].sort((left, right) => right.report.atMs - left.report.atMs);
    const taken = newestFirst.slice(0, BAD_ANSWERS_PER_MESSAGE);
    for (const queued of taken) queued.pushesLeft -= 1;
    this.queue = this.queue.filter(({ pushesLeft }) => pushesLeft > 0);
    return taken.map(({ report }) => report);
  }
}
