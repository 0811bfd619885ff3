/**
 * Background task of a daemon that reads the source. Every `LOAD_READ_INTERVAL_MS`, it reads the next page of call
 * counts, which may be some seconds old, and makes a load report of that page. It logs a failed call and reads the same
 * page in the next interval. Owns the rates of each page and the position in the list; relies on `CallRates` to find
 * the busy back ends.
 */
import type { Clock } from '../../common/clock.js';
import { pause } from '../../common/pause.js';
import type { EventLog } from '../../observability/event.js';
import { CallRates } from './call-rates.js';
import { LOAD_READ_INTERVAL_MS, REPORT_LIFETIME_READS } from './constants.js';
import { LOAD_EVENTS } from './events.js';
import type { CallCountSource, LoadReport } from './types.js';

interface LoadReaderOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly source: CallCountSource;
  /** Called before each read; the read is skipped if it returns false. */
  readonly isReadingEnabled: () => boolean;
  /** Called with the report of each page that was read. */
  readonly onReport: (report: LoadReport) => void;
}

/** Reads call counts periodically and reports busy back ends. */
export class LoadReader {
  private readonly ratesByPage: CallRates[] = [];
  private pageNumber = 0;
  private nextPageCursor: string | undefined;
  private callCount = 0;

  constructor(private readonly options: LoadReaderOptions) {}

  /** Calls made to the source since start, including failed ones. */
  get sourceCallCount(): number {
    return this.callCount;
  }

  /** Reads pages until `signal` aborts. Never throws. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await pause(this.options.clock, LOAD_READ_INTERVAL_MS, signal);
      if (!signal.aborted && this.options.isReadingEnabled()) await this.readPage(signal);
    }
  }

  private async readPage(signal: AbortSignal): Promise<void> {
    const { clock, events, source, onReport } = this.options;
    this.callCount += 1;
    const response = await source.readCallCounts(this.nextPageCursor, signal);
    if (signal.aborted) return;
    if (response.isErr) {
      events.emit(LOAD_EVENTS.readingFailed, { kind: response.error.kind, error: response.error.problem });
      return;
    }
    const { counts, next } = response.value;
    const measuredAtMs = clock.now();
    const rates = (this.ratesByPage[this.pageNumber] ??= new CallRates());
    rates.updateCounts(counts, measuredAtMs);
    const busy = rates.findBusyBackends();
    events.emit(LOAD_EVENTS.pageRead, { page: this.pageNumber, backends: counts.length, busy: busy.length });
    onReport({ page: this.pageNumber, measuredAtMs, validMs: this.reportLifetimeMs(), busy });
    this.nextPageCursor = next;
    this.pageNumber = next === undefined ? 0 : this.pageNumber + 1;
  }

  /** Grows with the number of pages, because each page is read again only after all the others. */
  private reportLifetimeMs(): number {
    return this.ratesByPage.length * LOAD_READ_INTERVAL_MS * REPORT_LIFETIME_READS;
  }
}
