/**
 * Queue of the bad answers to be gossiped. Each daemon sends each report that is new to it in `BAD_ANSWER_PUSHES`
 * pushes, which reaches a whole fleet. Reports that do not fit into one message wait for the next, the newest first, so
 * that the bytes are bounded at any rate of reports. Owns the queue; `gossip-rule.ts` orders it.
 */
import type { BadAnswerReport } from '../outliers/index.js';
import { BAD_ANSWERS_PER_MESSAGE, BAD_ANSWER_GOSSIP_MS, BAD_ANSWER_PUSHES } from './constants.js';
import { newestReports } from './gossip-rule.js';

/** A report with the pushes that may still carry it. */
interface QueuedReport {
  readonly report: BadAnswerReport;
  readonly atMs: number;
  pushesLeft: number;
}

/** Queue of reports that wait for a push. Times are monotonic ms. */
export class BadAnswerOutbox {
  private queue: QueuedReport[] = [];

  add(report: BadAnswerReport): void {
    this.queue.push({ report, atMs: report.atMs, pushesLeft: BAD_ANSWER_PUSHES });
  }

  /** True while no report waits for a push. */
  get isEmpty(): boolean {
    return this.queue.length === 0;
  }

  /** Removes expired reports and returns those that the next push carries. */
  takeForPush(nowMs: number): BadAnswerReport[] {
    this.queue = this.queue.filter(({ atMs }) => nowMs - atMs < BAD_ANSWER_GOSSIP_MS);
    const taken = newestReports(this.queue, BAD_ANSWERS_PER_MESSAGE);
    for (const queued of taken) queued.pushesLeft -= 1;
    this.queue = this.queue.filter(({ pushesLeft }) => pushesLeft > 0);
    return taken.map(({ report }) => report);
  }
}
