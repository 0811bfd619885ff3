/** What becomes of another daemon's ejection. */
import test from 'ava';
import { SHARED_SUSPECT_MS, SUSPECT_MS } from './constants.js';
import { EjectionReport, type ReportOutcome } from './ejection-report.js';

const FIRST_MS = 5_000;
const NEVER = Number.NEGATIVE_INFINITY;

/** Time of a report after a first one at `FIRST_MS`, and of the last sign of life. */
const REPORTS: readonly (readonly [string, number, number, ReportOutcome])[] = [
  ['a sign of life came since', FIRST_MS + 1_500, FIRST_MS + 1_600, 'disproved'],
  ['a sign of life came at once', FIRST_MS + 1_500, FIRST_MS + 1_500, 'disproved'],
  ['the same again', FIRST_MS, NEVER, 'known'],
  ['an older one', FIRST_MS - 100, NEVER, 'known'],
  ['a little later', FIRST_MS + SUSPECT_MS - 1, NEVER, 'known'],
  ['clearly later', FIRST_MS + SUSPECT_MS, NEVER, 'new'],
  ['a sign of life came before', FIRST_MS + SUSPECT_MS, FIRST_MS, 'new'],
];

for (const [name, atMs, lastSignOfLifeMs, expected] of REPORTS) {
  test(`report: ${name}`, (t) => {
    const report = new EjectionReport();
    t.is(report.apply(FIRST_MS, NEVER), 'new');
    t.is(report.apply(atMs, lastSignOfLifeMs), expected);
  });
}

/** Now, the last sign of life, and whether a report at `FIRST_MS` makes suspect. */
const EFFECTS: readonly (readonly [string, number, number, boolean])[] = [
  ['fresh', FIRST_MS + SHARED_SUSPECT_MS - 1, NEVER, true],
  ['too old', FIRST_MS + SHARED_SUSPECT_MS, NEVER, false],
  ['disproved later', FIRST_MS + 100, FIRST_MS, false],
];

for (const [name, nowMs, lastSignOfLifeMs, expected] of EFFECTS) {
  test(`effect: ${name}`, (t) => {
    const report = new EjectionReport();
    t.false(report.makesSuspect(nowMs, lastSignOfLifeMs), 'without a report');
    report.apply(FIRST_MS, NEVER);
    t.is(report.makesSuspect(nowMs, lastSignOfLifeMs), expected);
  });
}
