/** Load reports: rates computed from counts, the task that reads counts, and the levels that placement reads. */
import test from 'ava';
import Result from 'true-myth/result';
import { VirtualClock } from '../../common/clock.js';
import { hashString } from '../../common/hash.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { RoutingSourceError } from '../routing/index.js';
import { CallRates } from './call-rates.js';
import {
  LOAD_READ_INTERVAL_MS,
  MAX_BUSY_BACKENDS_PER_REPORT,
  MIN_REPORT_SPACING_MS,
  TAG_MASK,
} from './constants.js';
import { LoadReader } from './load-reader.js';
import { LoadView } from './load-view.js';
import type { BackendCallCount, CallCountPage, LoadReport } from './types.js';

const SERVICE = 'alpha';

function callCountOf(id: string, calls: number, overrides: Partial<BackendCallCount> = {}): BackendCallCount {
  return { id, service: SERVICE, capacity: 2, calls, ...overrides };
}

function tagOf(id: string): number {
  return hashString(id) & TAG_MASK;
}

function reportOf(overrides: Partial<LoadReport> = {}): LoadReport {
  return { page: 0, measuredAtMs: 0, validMs: 6_000, busy: [], ...overrides };
}

test('a back end with more calls than the mean of its service is busy', (t) => {
  const rates = new CallRates();
  rates.updateCounts([callCountOf('a', 0), callCountOf('b', 100), callCountOf('c', 7)], 0);
  t.deepEqual(rates.findBusyBackends(), []);
  rates.updateCounts([callCountOf('a', 30), callCountOf('b', 110), callCountOf('c', 27)], 2_000);
  t.deepEqual(rates.findBusyBackends(), [{ tag: tagOf('a'), level: 1.5 }]);
});

test('rates are per unit of capacity and compared within one service', (t) => {
  const rates = new CallRates();
  const countsAt = (calls: number): BackendCallCount[] => [
    callCountOf('a', calls, { capacity: 4 }),
    callCountOf('b', calls / 2),
    callCountOf('c', calls * 10, { service: 'beta' }),
  ];
  rates.updateCounts(countsAt(0), 0);
  rates.updateCounts(countsAt(40), 2_000);
  t.deepEqual(rates.findBusyBackends(), []);
});

test('a back end has no rate after its count decreased or when it is listed for the first time', (t) => {
  const rates = new CallRates();
  rates.updateCounts([callCountOf('a', 50), callCountOf('b', 0)], 0);
  rates.updateCounts([callCountOf('a', 10), callCountOf('b', 10), callCountOf('new', 900)], 2_000);
  t.deepEqual(rates.findBusyBackends(), []);
});

test('a report of a full page lists only the busiest back ends', (t) => {
  const rates = new CallRates();
  const ids = Array.from({ length: 500 }, (_, index) => `i-${index}`);
  for (const round of [0, 1]) {
    rates.updateCounts(
      ids.map((id, index) => callCountOf(id, index * round)),
      round * 2_000,
    );
  }
  const busy = rates.findBusyBackends();
  t.is(busy.length, MAX_BUSY_BACKENDS_PER_REPORT);
  t.is(busy[0]?.tag, tagOf('i-499'));
});

test('a report is valid until it expires, and only one newer by `MIN_REPORT_SPACING_MS` replaces it', (t) => {
  const view = new LoadView();
  t.false(view.hasValidReport(0));
  t.true(view.applyReport(reportOf({ busy: [{ tag: tagOf('a'), level: 2 }] })));
  t.is(view.levelOf(hashString('a'), 0), 2);
  t.is(view.levelOf(hashString('b'), 0), 1);
  t.false(view.applyReport(reportOf({ measuredAtMs: MIN_REPORT_SPACING_MS - 1 })));
  t.true(view.applyReport(reportOf({ measuredAtMs: MIN_REPORT_SPACING_MS })));
  t.is(view.levelOf(hashString('a'), MIN_REPORT_SPACING_MS), 1);
  t.true(view.hasValidReport(MIN_REPORT_SPACING_MS + 5_999));
  t.false(view.hasValidReport(MIN_REPORT_SPACING_MS + 6_000));
});

test('an expired report has no effect, and reports of different pages are valid together', (t) => {
  const view = new LoadView();
  view.applyReport(reportOf({ busy: [{ tag: tagOf('a'), level: 2 }] }));
  view.applyReport(reportOf({ page: 1, measuredAtMs: 3_000, busy: [{ tag: tagOf('b'), level: 3 }] }));
  t.is(view.levelOf(hashString('a'), 5_000), 2);
  t.is(view.levelOf(hashString('b'), 5_000), 3);
  t.is(view.levelOf(hashString('a'), 6_000), 1);
});

/** Starts a reader of the pages that `readPage` returns; undefined makes the read fail. Collects its reports. */
function startReader(
  readPage: (cursor: string | undefined) => CallCountPage | undefined,
  isReadingEnabled: () => boolean = () => true,
): { readonly clock: VirtualClock; readonly reports: LoadReport[]; readonly reader: LoadReader } {
  const clock = new VirtualClock();
  const reports: LoadReport[] = [];
  const reader = new LoadReader({
    clock,
    events: SILENT_EVENT_LOG,
    isReadingEnabled,
    onReport: (report) => reports.push(report),
    source: {
      readCallCounts: (cursor) => {
        const page = readPage(cursor);
        const error = new RoutingSourceError('routing.throttled', 'scripted');
        return Promise.resolve(page ? Result.ok(page) : Result.err(error));
      },
    },
  });
  void reader.run(new AbortController().signal);
  return { clock, reports, reader };
}

test('a reader reads one page per interval, and reports stay valid for three rounds of all pages', async (t) => {
  let calls = 0;
  const { clock, reports } = startReader((cursor) => {
    calls += 10;
    return cursor === undefined
      ? { counts: [callCountOf('a', calls), callCountOf('b', 0)], next: 'b' }
      : { counts: [callCountOf('c', calls)], next: undefined };
  });
  await clock.advanceAsync(LOAD_READ_INTERVAL_MS * 4 + 10, 10);
  t.deepEqual(
    reports.map(({ page }) => page),
    [0, 1, 0, 1],
  );
  t.deepEqual(reports[2]?.busy, [{ tag: tagOf('a'), level: 2 }]);
  t.is(reports[2]?.validMs, 12_000);
});

test('a failed read makes no report, and no page is read while reading is disabled', async (t) => {
  let isReadingEnabled = true;
  const { clock, reports, reader } = startReader(
    () => undefined,
    () => isReadingEnabled,
  );
  await clock.advanceAsync(LOAD_READ_INTERVAL_MS * 2 + 10, 10);
  t.is(reader.sourceCallCount, 2);
  isReadingEnabled = false;
  await clock.advanceAsync(LOAD_READ_INTERVAL_MS * 4, 10);
  t.is(reader.sourceCallCount, 2);
  t.deepEqual(reports, []);
});

test('a back end has no rate after a restart, even if its new count is higher than the last one', (t) => {
  const rates = new CallRates();
  rates.updateCounts(
    [callCountOf('a', 10, { incarnation: 1 }), callCountOf('b', 10), callCountOf('c', 10)],
    0,
  );
  rates.updateCounts(
    [callCountOf('a', 900, { incarnation: 2 }), callCountOf('b', 20), callCountOf('c', 20)],
    2_000,
  );
  t.deepEqual(rates.findBusyBackends(), []);
});
