import test from 'ava';
import { MAX_REPORTS_PER_BACKEND, REPORT_VALID_MS } from './constants.js';
import { OutlierRecord } from './outlier-record.js';

const countAll = (record: OutlierRecord, nowMs: number): number => record.countReportsAt(nowMs, () => false);

// Guards against a new report that is refused because a newer one than the oldest arrived first.
test('the oldest report by its time gives way to a new one, in whatever order the reports arrived', (t) => {
  const record = new OutlierRecord('alpha');
  const times = [2_000, 100, 200, 300];
  t.is(times.length, MAX_REPORTS_PER_BACKEND);
  times.forEach((atMs, observer) => t.true(record.addReport({ observer, atMs }, false, 2_000)));
  t.true(record.addReport({ observer: 10, atMs: 2_400 }, false, 2_400));
  t.is(countAll(record, 2_400), MAX_REPORTS_PER_BACKEND);
  t.is(countAll(record, 300 + REPORT_VALID_MS), 2, 'the reports made at 2,000 and 2,400 are left');
});
