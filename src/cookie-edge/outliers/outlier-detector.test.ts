import test from 'ava';
import { SILENT_EVENT_LOG, type EventDefinition } from '../../observability/event.js';
import {
  MIN_AVOIDANCE_MS,
  DEFAULT_OUTLIER_OPTIONS,
  MAX_REPORTS_PER_BACKEND,
  AVOIDANCE_RENEWAL_WINDOW_MS,
  REPORT_VALID_MS,
  STARTUP_GRACE_MS,
  OUTLIER_TRIAL_FLOW_DIVISOR,
  OUTLIER_TRIAL_MS,
} from './constants.js';
import { OUTLIER_EVENTS } from './events.js';
import { OutlierDetector } from './outlier-detector.js';
import type { BadAnswerReport } from './types.js';

const SELF = 1;
const BACKENDS = 12;
/** A time after `STARTUP_GRACE_MS`. */
const NOW_MS = 60_000;
const { quorum, maxAvoidedShare } = DEFAULT_OUTLIER_OPTIONS;

/** A detector for the service `alpha` with the back ends b0, b1, ... Collects what it logs and gossips. */
class DetectorHarness {
  readonly gossiped: BadAnswerReport[] = [];
  readonly loggedEvents: number[] = [];
  readonly detector: OutlierDetector;

  constructor(backendCount = BACKENDS, startedAtMs = 0, avoidedShare = maxAvoidedShare) {
    const emit = ({ number }: EventDefinition): void => void this.loggedEvents.push(number);
    const options = {
      ...DEFAULT_OUTLIER_OPTIONS,
      maxAvoidedShare: avoidedShare,
      ownObserverId: SELF,
      events: { ...SILENT_EVENT_LOG, emit },
      serviceOf: (id: string) => (id.startsWith('b') ? 'alpha' : undefined),
      countBackends: () => backendCount,
      onReport: (report: BadAnswerReport) => void this.gossiped.push(report),
    };
    this.detector = new OutlierDetector(options, startedAtMs);
  }

  /** Applies one report each of `count` other daemons. Their observer ids count up from `firstObserver`. */
  applyPeerReports(backendId: string, count: number, nowMs = NOW_MS, firstObserver = 100): boolean[] {
    return Array.from({ length: count }, (_unused, index) =>
      this.detector.applyReport({ backendId, observer: firstObserver + index, atMs: nowMs }, nowMs),
    );
  }

  recordOwnBadAnswer(backendId: string, atMs = NOW_MS): void {
    this.detector.recordOwnBadAnswer({ backendId, service: 'alpha', atMs });
  }

  phaseOf(backendId: string, nowMs = NOW_MS): string {
    return this.detector.phaseOf(backendId, nowMs);
  }
}

test('a back end is avoided once a quorum of daemons reported bad answers from it', (t) => {
  const harness = new DetectorHarness();
  harness.applyPeerReports('b1', quorum - 1);
  t.is(harness.phaseOf('b1'), 'normal');
  harness.applyPeerReports('b1', 1, NOW_MS, 500);
  t.is(harness.phaseOf('b1'), 'avoided');
  t.deepEqual(harness.loggedEvents, [OUTLIER_EVENTS.avoided.number]);
  t.deepEqual(harness.detector.avoidedAt(NOW_MS), ['b1']);
});

test('a daemon acts on its own repeated reports, but not on those of a single other daemon', (t) => {
  const singleReporter = new DetectorHarness();
  for (let second = 0; second < 20; second += 1)
    singleReporter.applyPeerReports('b1', 1, NOW_MS + second * 1_000);
  t.is(singleReporter.phaseOf('b1', NOW_MS + 20_000), 'normal');
  const ownReporter = new DetectorHarness();
  for (let count = 0; count < quorum; count += 1) ownReporter.recordOwnBadAnswer('b1', NOW_MS + count);
  t.is(ownReporter.phaseOf('b1', NOW_MS + quorum), 'avoided');
});

test('reports that are known, redundant, own or on an unknown back end are not gossiped further', (t) => {
  const harness = new DetectorHarness();
  t.deepEqual(harness.applyPeerReports('b1', 1), [true]);
  t.deepEqual(harness.applyPeerReports('b1', 1), [false]);
  t.deepEqual(harness.applyPeerReports('x1', 1), [false]);
  t.false(harness.detector.applyReport({ backendId: 'b1', observer: SELF, atMs: NOW_MS }, NOW_MS));
  const accepted = harness.applyPeerReports('b2', 3 * MAX_REPORTS_PER_BACKEND).filter(Boolean).length;
  t.is(accepted, quorum, 'once the back end is avoided, further reports are not accepted');
  const undecided = new DetectorHarness(2);
  t.is(
    undecided.applyPeerReports('b2', 3 * MAX_REPORTS_PER_BACKEND).filter(Boolean).length,
    MAX_REPORTS_PER_BACKEND,
  );
});

test('reports on an avoided back end are ignored until shortly before the end, then one extends the avoidance', (t) => {
  const harness = new DetectorHarness();
  harness.applyPeerReports('b1', quorum);
  const renewalMs = NOW_MS + MIN_AVOIDANCE_MS - AVOIDANCE_RENEWAL_WINDOW_MS;
  t.deepEqual(harness.applyPeerReports('b1', 1, renewalMs - 1, 600), [false]);
  t.deepEqual(harness.applyPeerReports('b1', 1, renewalMs, 700), [true]);
  t.is(harness.phaseOf('b1', renewalMs + MIN_AVOIDANCE_MS - 1), 'avoided');
  t.is(harness.phaseOf('b1', renewalMs + MIN_AVOIDANCE_MS), 'trial');
});

test('reports do not count once they have expired, whether before or after this daemon receives them', (t) => {
  const harness = new DetectorHarness();
  harness.applyPeerReports('b1', quorum - 1, NOW_MS - REPORT_VALID_MS);
  harness.applyPeerReports('b1', 1, NOW_MS, 500);
  t.is(harness.phaseOf('b1'), 'normal');
  const report = { backendId: 'b1', observer: 7, atMs: NOW_MS - REPORT_VALID_MS };
  t.false(harness.detector.applyReport(report, NOW_MS));
});

test('a daemon that detects bad answers at most back ends stops gossiping, and its reports do not count', (t) => {
  const slowDaemon = new DetectorHarness();
  for (let index = 0; index < BACKENDS; index += 1) slowDaemon.recordOwnBadAnswer(`b${index}`);
  t.true(slowDaemon.gossiped.length < BACKENDS / 2, `${slowDaemon.gossiped.length} reports gossiped`);
  const otherDaemon = new DetectorHarness();
  for (let index = 0; index < BACKENDS; index += 1) otherDaemon.applyPeerReports(`b${index}`, 1);
  otherDaemon.applyPeerReports('b1', quorum - 1, NOW_MS, 500);
  t.is(otherDaemon.phaseOf('b1'), 'normal', 'without the report of the slow daemon, one is missing');
  otherDaemon.applyPeerReports('b1', 1, NOW_MS, 900);
  t.is(otherDaemon.phaseOf('b1'), 'avoided');
});

test('a service that is slow as a whole has no outliers', (t) => {
  const harness = new DetectorHarness();
  for (let observer = 0; observer < MAX_REPORTS_PER_BACKEND; observer += 1) {
    for (let index = 0; index < BACKENDS; index += 1) {
      const firstObserver = 1_000 + observer * BACKENDS + index;
      harness.applyPeerReports(`b${index}`, 1, NOW_MS, firstObserver);
    }
  }
  t.true(harness.detector.avoidedAt(NOW_MS).length <= BACKENDS * maxAvoidedShare);
  const evenlySlow = new DetectorHarness();
  const indices = Array.from({ length: BACKENDS }, (_unused, index) => index);
  for (const index of indices)
    evenlySlow.applyPeerReports(`b${index}`, quorum - 1, NOW_MS, 1_000 + index * 10);
  for (const index of indices) evenlySlow.applyPeerReports(`b${index}`, 1, NOW_MS, 5_000 + index);
  t.deepEqual(evenlySlow.detector.avoidedAt(NOW_MS), [], 'all have the same number of reports');
});

test('no more than `maxAvoidedShare` of a service is avoided at once', (t) => {
  const share = 2 / BACKENDS;
  const harness = new DetectorHarness(BACKENDS, 0, share);
  for (const id of ['b1', 'b2', 'b3']) harness.applyPeerReports(id, quorum);
  t.deepEqual(harness.detector.avoidedAt(NOW_MS), ['b1', 'b2']);
  t.is(harness.loggedEvents.at(-1), OUTLIER_EVENTS.tooMany.number);
});

test('a service with two back ends has no outliers', (t) => {
  const harness = new DetectorHarness(2);
  harness.applyPeerReports('b1', MAX_REPORTS_PER_BACKEND);
  t.is(harness.phaseOf('b1'), 'normal');
});

test('an avoided back end without further reports gets a few trial flows, then new flows as usual', (t) => {
  const harness = new DetectorHarness();
  harness.applyPeerReports('b1', quorum);
  const trialMs = NOW_MS + MIN_AVOIDANCE_MS;
  t.is(harness.phaseOf('b1', trialMs), 'trial');
  const flows = Array.from({ length: 4_000 }, (_unused, flow) => flow * 7_919);
  const admitted = flows.filter((flow) => !harness.detector.isAvoided('b1', 99, flow, trialMs)).length;
  t.true(Math.abs(admitted - 4_000 / OUTLIER_TRIAL_FLOW_DIVISOR) < 100, `${admitted} of 4,000 flows`);
  t.is(harness.phaseOf('b1', trialMs + OUTLIER_TRIAL_MS), 'normal');
  harness.detector.removeExpiredRecords(trialMs);
  harness.detector.removeExpiredRecords(trialMs + OUTLIER_TRIAL_MS);
  t.deepEqual(harness.loggedEvents.slice(1), [OUTLIER_EVENTS.trial.number, OUTLIER_EVENTS.normal.number]);
});

test('one bad answer during a trial ends it and doubles the length of the avoidance', (t) => {
  const harness = new DetectorHarness();
  harness.applyPeerReports('b1', quorum);
  const trialMs = NOW_MS + MIN_AVOIDANCE_MS + OUTLIER_TRIAL_MS / 2;
  harness.applyPeerReports('b1', 1, trialMs, 900);
  t.is(harness.phaseOf('b1', trialMs + 2 * MIN_AVOIDANCE_MS - 1), 'avoided');
  t.is(harness.phaseOf('b1', trialMs + 2 * MIN_AVOIDANCE_MS), 'trial');
});

test('reports do not outlive the removal of a back end or a restart of the daemon', (t) => {
  const harness = new DetectorHarness();
  harness.applyPeerReports('b1', quorum);
  harness.detector.removeBackend('b1');
  t.is(harness.phaseOf('b1'), 'normal');
  t.is(new DetectorHarness().phaseOf('b1'), 'normal');
});

test('a daemon that just started ignores its own bad answers, but applies the reports of others', (t) => {
  const harness = new DetectorHarness(BACKENDS, NOW_MS);
  for (let count = 0; count < quorum; count += 1)
    harness.recordOwnBadAnswer('b1', NOW_MS + STARTUP_GRACE_MS - 10 + count);
  t.is(harness.phaseOf('b1'), 'normal');
  t.deepEqual(harness.gossiped, []);
  harness.applyPeerReports('b1', quorum);
  t.is(harness.phaseOf('b1'), 'avoided');
});
