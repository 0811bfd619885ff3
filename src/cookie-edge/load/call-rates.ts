/**
 * Computes call rates from the counts that back ends write to the source about once a second. Owns the last count and
 * the moving average of each back end of one page; `busy-backends.ts` decides which rates are busy.
 */
import { isOtherIncarnation } from '../routing/index.js';
import { findBusyBackends } from './busy-backends.js';
import { NEWEST_RATE_WEIGHT } from './constants.js';
import type { BackendCallCount, BusyBackend } from './types.js';

const MS_PER_SECOND = 1_000;

/** The last call count of a back end, and its average rate. */
interface RatedCount {
  readonly count: BackendCallCount;
  readonly readAtMs: number;
  /** Calls a second per unit of capacity; undefined until two counts of the same process were read. */
  readonly rate: number | undefined;
}

/** The call rates of the back ends of one page. */
export class CallRates {
  private ratedCounts = new Map<string, RatedCount>();

  /** Records the page's counts, read at `nowMs` (monotonic ms). Discards back ends that the page no longer lists. */
  updateCounts(counts: readonly BackendCallCount[], nowMs: number): void {
    const updated = new Map<string, RatedCount>();
    for (const count of counts) {
      updated.set(count.id, { count, readAtMs: nowMs, rate: this.updatedRate(count, nowMs) });
    }
    this.ratedCounts = updated;
  }

  /** Returns the busy back ends of the page; see `findBusyBackends`. */
  findBusyBackends(): BusyBackend[] {
    return findBusyBackends(
      [...this.ratedCounts.values()].map(({ count, rate }) => ({
        id: count.id,
        service: count.service,
        rate,
      })),
    );
  }

  /**
   * Moving average of a back end's call rate. Undefined for the first count of the back end, and for the first one
   * after a restart, which resets the count.
   */
  private updatedRate(count: BackendCallCount, nowMs: number): number | undefined {
    const { id, calls, capacity } = count;
    const previous = this.ratedCounts.get(id);
    if (!previous || nowMs <= previous.readAtMs || calls < previous.count.calls) return undefined;
    if (isOtherIncarnation(count, previous.count)) return undefined;
    const seconds = (nowMs - previous.readAtMs) / MS_PER_SECOND;
    const newestRate = (calls - previous.count.calls) / seconds / Math.max(1, capacity);
    return previous.rate === undefined
      ? newestRate
      : previous.rate + NEWEST_RATE_WEIGHT * (newestRate - previous.rate);
  }
}
