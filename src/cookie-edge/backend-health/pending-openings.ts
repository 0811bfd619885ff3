/**
 * Openings that their callers have not gone on with yet. A back end that refuses openings, which this balancer does not see,
 * must not attract the next try of the same caller; so it is avoided while an opening there waits longer than usual.
 */
import {
  SLOW_HANDSHAKE_FACTOR,
  SLOW_HANDSHAKE_MARGIN_MS,
  HANDSHAKE_AVERAGE_WEIGHT,
  HANDSHAKE_AVERAGE_START_MS,
} from './constants.js';
import type { Flow } from '../forwarding/flow-cache.js';

/** Openings in the order in which they were placed. */
export class PendingOpenings {
  private queue: Flow[] = [];
  private averageMs = HANDSHAKE_AVERAGE_START_MS;

  /** An opening that waits longer than this waits unusually long, in ms. */
  get usualMs(): number {
    return SLOW_HANDSHAKE_MARGIN_MS + this.averageMs * SLOW_HANDSHAKE_FACTOR;
  }

  /** Notes how long an answered opening took. */
  noteAnswer(tookMs: number): void {
    this.averageMs += (tookMs - this.averageMs) * HANDSHAKE_AVERAGE_WEIGHT;
  }

  /** Notes that a flow's SYN was just sent to its back end. */
  add(flow: Flow): void {
    flow.awaitsAnswer = true;
    if (flow.state.pendingOpenings === 0) flow.state.pendingSinceMs = flow.openedAtMs;
    flow.state.pendingOpenings += 1;
    this.queue.push(flow);
  }

  /** Notes that nothing more is expected of an opening, because it was answered or counts as failed. */
  settle(flow: Flow): void {
    if (!flow.awaitsAnswer) return;
    flow.awaitsAnswer = false;
    flow.state.pendingOpenings -= 1;
  }

  /** Removes the openings placed before `beforeMs` and returns those without an answer. */
  takeOlder(beforeMs: number): Flow[] {
    const end = this.queue.findIndex(({ openedAtMs }) => openedAtMs > beforeMs);
    const older = end < 0 ? this.queue : this.queue.slice(0, end);
    this.queue = end < 0 ? [] : this.queue.slice(end);
    return older.filter(({ awaitsAnswer }) => awaitsAnswer);
  }

  /** Expects nothing of any opening any more. */
  clear(): void {
    this.queue.forEach((flow) => this.settle(flow));
    this.queue = [];
  }
}
