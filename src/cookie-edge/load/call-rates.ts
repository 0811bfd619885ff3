/** Rates of calls, from counts that back ends write to the source about once a second. */
import { hashString } from '../../common/hash.js';
import { BUSY_LEVEL, MAX_REPORTED, RATE_SHARE, TAG_MASK } from './constants.js';
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

  /** Takes the page's counts as read at `nowMs`; back ends that it no longer lists are forgotten. */
  note(counts: readonly BackendCallCount[], nowMs: number): void {
    const known = new Map<string, KnownCount>();
    for (const count of counts) {
      known.set(count.id, { count, readAtMs: nowMs, rate: this.rateOf(count, nowMs) });
    }
    this.known = known;
  }

  /** Back ends above `BUSY_LEVEL` times the mean rate of their service, the busiest first, `MAX_REPORTED` at the most. */
  busy(): BusyBackend[] {
    const means = this.meanRates();
    const busy: BusyBackend[] = [];
    for (const { count, rate } of this.known.values()) {
      const mean = means.get(count.service) ?? 0;
      if (rate === undefined || mean === 0 || rate <= mean * BUSY_LEVEL) continue;
      busy.push({ tag: hashString(count.id) & TAG_MASK, level: rate / mean });
    }
    return busy.sort((left, right) => right.level - left.level).slice(0, MAX_REPORTED);
  }

  private rateOf({ id, calls, capacity }: BackendCallCount, nowMs: number): number | undefined {
    const before = this.known.get(id);
    if (!before || nowMs <= before.readAtMs || calls < before.count.calls) return undefined;
    const seconds = (nowMs - before.readAtMs) / MS_A_SECOND;
    const newest = (calls - before.count.calls) / seconds / Math.max(1, capacity);
    return before.rate === undefined ? newest : before.rate + RATE_SHARE * (newest - before.rate);
  }

  private meanRates(): ReadonlyMap<string, number> {
    const sums = new Map<string, { total: number; backends: number }>();
    for (const { count, rate } of this.known.values()) {
      if (rate === undefined) continue;
      const sum = sums.get(count.service) ?? { total: 0, backends: 0 };
      sum.total += rate;
      sum.backends += 1;
      sums.set(count.service, sum);
    }
    return new Map([...sums].map(([service, { total, backends }]) => [service, total / backends]));
  }
}
