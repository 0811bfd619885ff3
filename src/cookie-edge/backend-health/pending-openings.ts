/**
 * Tracks openings that their callers have not continued yet: finds the unanswered ones and measures handshake times.
 * Owns the pending counts of `LocalBackendState`. Relies on forwarding to report each placement and answer, and on
 * housekeeping to collect the unanswered ones once a tick.
 */
import type { Flow } from '../forwarding/index.js';
import { OPENING_ANSWER_MS } from './constants.js';
import { HandshakeTimes } from './slow-handshake.js';

/** Openings in the order in which they were placed. Times are monotonic ms. */
export class PendingOpenings {
  private queue: Flow[] = [];
  private readonly times = new HandshakeTimes();

  /** A handshake that waits longer than this, in ms, is slow. */
  get slowHandshakeMs(): number {
    return this.times.slowHandshakeMs;
  }

  /** Records how long an answered opening took, in ms. */
  recordAnswer(tookMs: number): void {
    this.times.record(tookMs);
  }

  /** Records that a flow's SYN was just sent to its back end. */
  add(flow: Flow): void {
    flow.awaitsAnswer = true;
    if (flow.state.pendingOpenings === 0) flow.state.pendingSinceMs = flow.openedAtMs;
    flow.state.pendingOpenings += 1;
    this.queue.push(flow);
  }

  /** Records that an opening was answered, or counts as failed. */
  settle(flow: Flow): void {
    if (!flow.awaitsAnswer) return;
    flow.awaitsAnswer = false;
    flow.state.pendingOpenings -= 1;
  }

  /** Removes the openings that were placed `OPENING_ANSWER_MS` ago or earlier, and returns those without an answer. */
  takeUnanswered(nowMs: number): Flow[] {
    const beforeMs = nowMs - OPENING_ANSWER_MS;
    const end = this.queue.findIndex(({ openedAtMs }) => openedAtMs > beforeMs);
    const older = end < 0 ? this.queue : this.queue.slice(0, end);
    this.queue = end < 0 ? [] : this.queue.slice(end);
    return older.filter(({ awaitsAnswer }) => awaitsAnswer);
  }

  /** Settles all openings: after a pause of this process it is not known which were answered. */
  clear(): void {
    this.queue.forEach((flow) => this.settle(flow));
    this.queue = [];
  }
}
