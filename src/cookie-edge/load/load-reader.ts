/**
 * The task in which a reader of the source finds the busy back ends: it reads one page of call counts at a time, which
 * may be some seconds old, and reports that page. A failed call is logged and not retried, because the next one follows
 * after `LOAD_READ_INTERVAL_MS`. Owns the rates of each page and the position in the list; relies on `CallRates` to
 * judge them.
 */
import type { Clock } from '../../common/clock.js';
import { pause } from '../../common/pause.js';
import type { EventLog } from '../../observability/event.js';
import { CallRates } from './call-rates.js';
import { LOAD_READ_INTERVAL_MS, VALID_READINGS } from './constants.js';
import { LOAD_EVENTS } from './events.js';
import type { CallCountSource, LoadReport } from './types.js';

/** What a reader needs. */
interface LoadReaderOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly source: CallCountSource;
  /** Asked before each reading; false leaves it out. */
  readonly isWanted: () => boolean;
  /** Called with each page's report. */
  readonly onReport: (report: LoadReport) => void;
}

/** Reads call counts and reports busy back ends. */
export class LoadReader {
  private readonly pages: CallRates[] = [];
  private page = 0;
  private after: string | undefined;
  private readings = 0;

  constructor(private readonly options: LoadReaderOptions) {}

  /** Calls made since start. */
  get calls(): number {
    return this.readings;
  }

  /** Reads until `signal` aborts. Never throws. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await pause(this.options.clock, LOAD_READ_INTERVAL_MS, signal);
      if (!signal.aborted && this.options.isWanted()) await this.readPage(signal);
    }
  }

  private async readPage(signal: AbortSignal): Promise<void> {
    const { clock, events, source, onReport } = this.options;
    this.readings += 1;
    const response = await source.readCallCounts(this.after, signal);
    if (signal.aborted) return;
    if (response.isErr) {
      events.emit(LOAD_EVENTS.readingFailed, { kind: response.error.kind, error: response.error.problem });
      return;
    }
    const { counts, next } = response.value;
    const measuredAtMs = clock.now();
    const rates = (this.pages[this.page] ??= new CallRates());
    rates.record(counts, measuredAtMs);
    const busy = rates.busy();
    events.emit(LOAD_EVENTS.pageRead, { page: this.page, backends: counts.length, busy: busy.length });
    onReport({ page: this.page, measuredAtMs, validMs: this.validMs(), busy });
    this.after = next;
    this.page = next === undefined ? 0 : this.page + 1;
  }

  /** Lifetime of a report: a page is read again only after all the others. */
  private validMs(): number {
    return this.pages.length * LOAD_READ_INTERVAL_MS * VALID_READINGS;
  }
}
