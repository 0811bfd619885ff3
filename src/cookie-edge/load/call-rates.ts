/**
 * Computes rates of calls from the counts that back ends write to the source about once a second. Owns the last count
 * and the moving average of each back end of one page; `busy-backends.ts` decides what the rates mean.
 */
import { isOtherIncarnation } from '../routing/index.js';
import { busyBackends } from './busy-backends.js';
import { RATE_SHARE } from './constants.js';
import type { BackendCallCount, BusyBackend } from './types.js';

const MS_A_SECOND = 1_000;

/** The last count of a back end, and its rate once there were two. */
interface KnownCount {
  readonly count: BackendCallCount;
  readonly readAtMs: number;
  /** Calls a second for each unit of capacity; undefined after one count. */
  readonly rate: number | undefined;
}

/** The rates of one page of back ends. */
export class CallRates {
  private known = new Map<string, KnownCount>();

  /** Records the page's counts, read at `nowMs` (monotonic ms); forgets back ends that it no longer lists. */
  record(counts: readonly BackendCallCount[], nowMs: number): void {
    const known = new Map<string, KnownCount>();
    for (const count of counts) {
      known.set(count.id, { count, readAtMs: nowMs, rate: this.rateOf(count, nowMs) });
    }
    this.known = known;
  }

  /**
   * Back ends above `BUSY_LEVEL` times the mean rate of their service, the busiest first, at most `MAX_REPORTED`.
   */
  busy(): BusyBackend[] {
    return busyBackends(
      [...this.known.values()].map(({ count, rate }) => ({ id: count.id, service: count.service, rate })),
    );
  }

  /** Undefined after one count, and when the back end restarted, so that its count began anew. */
  private rateOf(count: BackendCallCount, nowMs: number): number | undefined {
    const { id, calls, capacity } = count;
    const before = this.known.get(id);
    if (!before || nowMs <= before.readAtMs || calls < before.count.calls) return undefined;
    if (isOtherIncarnation(count, before.count)) return undefined;
    const seconds = (nowMs - before.readAtMs) / MS_A_SECOND;
    const newest = (calls - before.count.calls) / seconds / Math.max(1, capacity);
    return before.rate === undefined ? newest : before.rate + RATE_SHARE * (newest - before.rate);
  }
}
