/** Which ejection reports of other daemons are accepted, and how long they make a back end suspect. */
import test from 'ava';
import { SHARED_SUSPECT_MS, SUSPECT_MS } from './constants.js';
import { EjectionReport, type ReportOutcome } from './ejection-report.js';

const FIRST_MS = 5_000;
const NEVER = Number.NEGATIVE_INFINITY;

/** Title, time of a second report after one at `FIRST_MS`, last sign of life, result of the second report. */
const REPORTS: readonly (readonly [string, number, number, ReportOutcome])[] = [
  ['a sign of life came after it', FIRST_MS + 1_500, FIRST_MS + 1_600, 'disproved'],
  ['a sign of life came at the same time', FIRST_MS + 1_500, FIRST_MS + 1_500, 'disproved'],
  ['at the same time as the first', FIRST_MS, NEVER, 'known'],
  ['older than the first', FIRST_MS - 100, NEVER, 'known'],
  ['just before the interval has passed', FIRST_MS + SUSPECT_MS - 1, NEVER, 'known'],
  ['when the interval has passed', FIRST_MS + SUSPECT_MS, NEVER, 'new'],
  ['a sign of life came before it', FIRST_MS + SUSPECT_MS, FIRST_MS, 'new'],
];

for (const [name, atMs, lastSignOfLifeMs, expected] of REPORTS) {
  test(`report: ${name}`, (t) => {
    const report = new EjectionReport();
    t.is(report.apply(FIRST_MS, NEVER), 'new');
    t.is(report.apply(atMs, lastSignOfLifeMs), expected);
  });
}

/** Title, now, last sign of life, and whether a report at `FIRST_MS` makes the back end suspect. */
const EFFECTS: readonly (readonly [string, number, number, boolean])[] = [
  ['just before it expires', FIRST_MS + SHARED_SUSPECT_MS - 1, NEVER, true],
  ['expired', FIRST_MS + SHARED_SUSPECT_MS, NEVER, false],
  ['a sign of life at the time of the report', FIRST_MS + 100, FIRST_MS, false],
];

for (const [name, nowMs, lastSignOfLifeMs, expected] of EFFECTS) {
  test(`suspect by a report: ${name}`, (t) => {
    const report = new EjectionReport();
    t.false(report.makesSuspect(nowMs, lastSignOfLifeMs), 'without a report');
    report.apply(FIRST_MS, NEVER);
    t.is(report.makesSuspect(nowMs, lastSignOfLifeMs), expected);
  });
}
