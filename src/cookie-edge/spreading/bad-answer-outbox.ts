/**
 * Queue of bad-answer reports that wait to be gossiped. A daemon sends each report that is new to it in
 * `BAD_ANSWER_PUSHES` pushes, which is enough to reach the whole fleet. Reports that do not fit into one message wait
 * for the next one, newest first, so the traffic stays bounded at any rate of reports. `gossip-rule.ts` defines the
 * order.
 */
import type { BadAnswerReport } from '../outliers/index.js';
import { BAD_ANSWERS_PER_MESSAGE, BAD_ANSWER_GOSSIP_MS, BAD_ANSWER_PUSHES } from './constants.js';
import { newestReports } from './gossip-rule.js';

/** A queued report and the number of pushes that will still carry it. */
interface QueuedReport {
  readonly report: BadAnswerReport;
  readonly atMs: number;
  pushesLeft: number;
}

/** Bad-answer reports that wait for a push. Times are monotonic ms. */
export class BadAnswerOutbox {
  private queue: QueuedReport[] = [];

  add(report: BadAnswerReport): void {
    this.queue.push({ report, atMs: report.atMs, pushesLeft: BAD_ANSWER_PUSHES });
  }

  /** True while no report waits for a push. */
  get isEmpty(): boolean {
    return this.queue.length === 0;
  }

  /** Discards expired reports and returns the reports for the next push. */
  dequeueForPush(nowMs: number): BadAnswerReport[] {
    this.queue = this.queue.filter(({ atMs }) => nowMs - atMs < BAD_ANSWER_GOSSIP_MS);
    const batch = newestReports(this.queue, BAD_ANSWERS_PER_MESSAGE);
    for (const queued of batch) queued.pushesLeft -= 1;
    this.queue = this.queue.filter(({ pushesLeft }) => pushesLeft > 0);
    return batch.map(({ report }) => report);
  }
}
