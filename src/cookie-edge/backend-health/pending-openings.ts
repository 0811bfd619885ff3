/**
 * Tracks openings that their callers have not continued yet, to find the unanswered ones and to measure handshake
 * times. Owns the pending counts of `LocalBackendState`. Relies on forwarding to report each placement and answer, and
 * on housekeeping to collect the unanswered openings once a tick.
 */
import type { Flow } from '../forwarding/index.js';
import { OPENING_ANSWER_TIMEOUT_MS } from './constants.js';
import { HandshakeTimes } from './slow-handshake.js';

/** Queue of openings in the order of their placement. Times are monotonic ms. */
export class PendingOpenings {
  private queue: Flow[] = [];
  private readonly handshakeTimes = new HandshakeTimes();

  /** A handshake that waits longer than this, in ms, is slow. */
  get slowHandshakeMs(): number {
    return this.handshakeTimes.slowHandshakeMs;
  }

  /** Records how long an answered opening took, in ms. */
  recordAnswer(tookMs: number): void {
    this.handshakeTimes.record(tookMs);
  }

  /** Adds an opening whose SYN was just sent to its back end. */
  add(flow: Flow): void {
    flow.isAwaitingAnswer = true;
    if (flow.backendState.pendingOpenings === 0) flow.backendState.pendingSinceMs = flow.openedAtMs;
    flow.backendState.pendingOpenings += 1;
    this.queue.push(flow);
  }

  /** Records that an opening is no longer pending, because it was answered or counts as failed. */
  stopAwaiting(flow: Flow): void {
    if (!flow.isAwaitingAnswer) return;
    flow.isAwaitingAnswer = false;
    flow.backendState.pendingOpenings -= 1;
  }

  /**
   * Removes the openings that were placed `OPENING_ANSWER_TIMEOUT_MS` ago or earlier, and returns those without an
   * answer.
   */
  removeUnanswered(nowMs: number): Flow[] {
    const cutoffMs = nowMs - OPENING_ANSWER_TIMEOUT_MS;
    const firstNewerIndex = this.queue.findIndex(({ openedAtMs }) => openedAtMs > cutoffMs);
    const expired = firstNewerIndex < 0 ? this.queue : this.queue.slice(0, firstNewerIndex);
    this.queue = firstNewerIndex < 0 ? [] : this.queue.slice(firstNewerIndex);
    return expired.filter(({ isAwaitingAnswer }) => isAwaitingAnswer);
  }

  /** Settles all openings. Needed after a pause of this process, which cannot know which were answered meanwhile. */
  clear(): void {
    this.queue.forEach((flow) => this.stopAwaiting(flow));
    this.queue = [];
  }
}
