import test from 'ava';
import { SILENT_EVENT_LOG, type EventDefinition } from '../../observability/event.js';
import {
  AVOID_MIN_MS,
  DEFAULT_OUTLIER_OPTIONS,
  MAX_REPORTS,
  RENEWAL_MS,
  REPORT_VALID_MS,
  SETTLE_MS,
  OUTLIER_TRIAL_ONE_IN,
  OUTLIER_TRIAL_MS,
} from './constants.js';
import { OUTLIER_EVENTS } from './events.js';
import { OutlierDetector } from './outlier-detector.js';
import type { BadAnswerReport } from './types.js';

const SELF = 1;
const BACKENDS = 12;
/** Some time after the daemon has settled. */
const NOW_MS = 60_000;
const { quorum, maxAvoidedShare } = DEFAULT_OUTLIER_OPTIONS;

/** A detector for `alpha` with the back ends b0, b1, ... and what it logs and gossips. */
class DetectorHarness {
  readonly told: BadAnswerReport[] = [];
  readonly logged: number[] = [];
  readonly detector: OutlierDetector;

  constructor(backends = BACKENDS, startedAtMs = 0, share = maxAvoidedShare) {
    const emit = ({ number }: EventDefinition): void => void this.logged.push(number);
    const options = {
      ...DEFAULT_OUTLIER_OPTIONS,
      maxAvoidedShare: share,
      self: SELF,
      events: { ...SILENT_EVENT_LOG, emit },
      serviceOf: (id: string) => (id.startsWith('b') ? 'alpha' : undefined),
      countBackends: () => backends,
      onReport: (report: BadAnswerReport) => void this.told.push(report),
    };
    this.detector = new OutlierDetector(options, startedAtMs);
  }

  /** Reports of `count` other daemons, from the observer `first` on. */
  hear(backendId: string, count: number, nowMs = NOW_MS, first = 100): boolean[] {
    return Array.from({ length: count }, (_unused, index) =>
      this.detector.applyReport({ backendId, observer: first + index, atMs: nowMs }, nowMs),
    );
  }

  notice(backendId: string, atMs = NOW_MS): void {
    this.detector.recordOwn({ backendId, service: 'alpha', atMs });
  }

  phase(backendId: string, nowMs = NOW_MS): string {
    return this.detector.phaseOf(backendId, nowMs);
  }
}

test('a back end is avoided once as many daemons as the quorum noticed bad answers there', (t) => {
  const harness = new DetectorHarness();
  harness.hear('b1', quorum - 1);
  t.is(harness.phase('b1'), 'normal');
  harness.hear('b1', 1, NOW_MS, 500);
  t.is(harness.phase('b1'), 'avoided');
  t.deepEqual(harness.logged, [OUTLIER_EVENTS.avoided.number]);
  t.deepEqual(harness.detector.avoidedAt(NOW_MS), ['b1']);
});

test('one daemon alone convinces itself but nobody else, however often it speaks', (t) => {
  const liar = new DetectorHarness();
  for (let second = 0; second < 20; second += 1) liar.hear('b1', 1, NOW_MS + second * 1_000);
  t.is(liar.phase('b1', NOW_MS + 20_000), 'normal');
  const own = new DetectorHarness();
  for (let count = 0; count < quorum; count += 1) own.notice('b1', NOW_MS + count);
  t.is(own.phase('b1', NOW_MS + quorum), 'avoided');
});

test('a report that is known is not told on, and one of an unknown back end neither', (t) => {
  const harness = new DetectorHarness();
  t.deepEqual(harness.hear('b1', 1), [true]);
  t.deepEqual(harness.hear('b1', 1), [false]);
  t.deepEqual(harness.hear('x1', 1), [false]);
  t.false(harness.detector.applyReport({ backendId: 'b1', observer: SELF, atMs: NOW_MS }, NOW_MS));
  const accepted = harness.hear('b2', 3 * MAX_REPORTS).filter(Boolean).length;
  t.is(accepted, quorum, 'then it is avoided, and more would change nothing');
  const undecided = new DetectorHarness(2);
  t.is(undecided.hear('b2', 3 * MAX_REPORTS).filter(Boolean).length, MAX_REPORTS);
});

test('while a back end is avoided for some time to come nothing is told on; then one report prolongs it', (t) => {
  const harness = new DetectorHarness();
  harness.hear('b1', quorum);
  const renewalMs = NOW_MS + AVOID_MIN_MS - RENEWAL_MS;
  t.deepEqual(harness.hear('b1', 1, renewalMs - 1, 600), [false]);
  t.deepEqual(harness.hear('b1', 1, renewalMs, 700), [true]);
  t.is(harness.phase('b1', renewalMs + AVOID_MIN_MS - 1), 'avoided');
  t.is(harness.phase('b1', renewalMs + AVOID_MIN_MS), 'trial');
});

test('reports that are old, or arrive late, speak against nobody', (t) => {
  const harness = new DetectorHarness();
  harness.hear('b1', quorum - 1, NOW_MS - REPORT_VALID_MS);
  harness.hear('b1', 1, NOW_MS, 500);
  t.is(harness.phase('b1'), 'normal');
  const report = { backendId: 'b1', observer: 7, atMs: NOW_MS - REPORT_VALID_MS };
  t.false(harness.detector.applyReport(report, NOW_MS));
});

test('a daemon that finds most back ends slow tells of itself: neither it nor others act on that', (t) => {
  const slow = new DetectorHarness();
  for (let index = 0; index < BACKENDS; index += 1) slow.notice(`b${index}`);
  t.true(slow.told.length < BACKENDS / 2, `${slow.told.length} reports told`);
  const other = new DetectorHarness();
  for (let index = 0; index < BACKENDS; index += 1) other.hear(`b${index}`, 1);
  other.hear('b1', quorum - 1, NOW_MS, 500);
  t.is(other.phase('b1'), 'normal', 'without the slow daemon one report is missing');
  other.hear('b1', 1, NOW_MS, 900);
  t.is(other.phase('b1'), 'avoided');
});

test('a service that is slow as a whole has no outliers', (t) => {
  const harness = new DetectorHarness();
  for (let observer = 0; observer < MAX_REPORTS; observer += 1) {
    for (let index = 0; index < BACKENDS; index += 1) {
      const first = 1_000 + observer * BACKENDS + index;
      harness.hear(`b${index}`, 1, NOW_MS, first);
    }
  }
  t.true(harness.detector.avoidedAt(NOW_MS).length <= BACKENDS * maxAvoidedShare);
  const all = new DetectorHarness();
  const rounds = Array.from({ length: BACKENDS }, (_unused, index) => index);
  for (const index of rounds) all.hear(`b${index}`, quorum - 1, NOW_MS, 1_000 + index * 10);
  for (const index of rounds) all.hear(`b${index}`, 1, NOW_MS, 5_000 + index);
  t.deepEqual(all.detector.avoidedAt(NOW_MS), [], 'each has as much against it as the others');
});

test('no more than the share of a service is avoided at once', (t) => {
  const share = 2 / BACKENDS;
  const harness = new DetectorHarness(BACKENDS, 0, share);
  for (const id of ['b1', 'b2', 'b3']) harness.hear(id, quorum);
  t.deepEqual(harness.detector.avoidedAt(NOW_MS), ['b1', 'b2']);
  t.is(harness.logged.at(-1), OUTLIER_EVENTS.tooMany.number);
});

test('of two back ends none can be told to be the outlier', (t) => {
  const harness = new DetectorHarness(2);
  harness.hear('b1', MAX_REPORTS);
  t.is(harness.phase('b1'), 'normal');
});

test('after a time without reports a few flows try the back end, then it is as the others', (t) => {
  const harness = new DetectorHarness();
  harness.hear('b1', quorum);
  const trialMs = NOW_MS + AVOID_MIN_MS;
  t.is(harness.phase('b1', trialMs), 'trial');
  const flows = Array.from({ length: 4_000 }, (_unused, flow) => flow * 7_919);
  const admitted = flows.filter((flow) => !harness.detector.isAvoided('b1', 99, flow, trialMs)).length;
  t.true(Math.abs(admitted - 4_000 / OUTLIER_TRIAL_ONE_IN) < 100, `${admitted} of 4,000 flows`);
  t.is(harness.phase('b1', trialMs + OUTLIER_TRIAL_MS), 'normal');
  harness.detector.check(trialMs);
  harness.detector.check(trialMs + OUTLIER_TRIAL_MS);
  t.deepEqual(harness.logged.slice(1), [OUTLIER_EVENTS.trial.number, OUTLIER_EVENTS.normal.number]);
});

test('one bad answer ends a trial, and the back end is avoided twice as long', (t) => {
  const harness = new DetectorHarness();
  harness.hear('b1', quorum);
  const trialMs = NOW_MS + AVOID_MIN_MS + OUTLIER_TRIAL_MS / 2;
  harness.hear('b1', 1, trialMs, 900);
  t.is(harness.phase('b1', trialMs + 2 * AVOID_MIN_MS - 1), 'avoided');
  t.is(harness.phase('b1', trialMs + 2 * AVOID_MIN_MS), 'trial');
});

test('another back end at the same address, or after a restart of the daemon, starts without any reports', (t) => {
  const harness = new DetectorHarness();
  harness.hear('b1', quorum);
  harness.detector.forget('b1');
  t.is(harness.phase('b1'), 'normal');
  t.is(new DetectorHarness().phase('b1'), 'normal');
});

test('a daemon that has just started says nothing, but hears the others', (t) => {
  const harness = new DetectorHarness(BACKENDS, NOW_MS);
  for (let count = 0; count < quorum; count += 1) harness.notice('b1', NOW_MS + SETTLE_MS - 10 + count);
  t.is(harness.phase('b1'), 'normal');
  t.deepEqual(harness.told, []);
  harness.hear('b1', quorum);
  t.is(harness.phase('b1'), 'avoided');
});
