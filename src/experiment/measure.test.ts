import test from 'ava';
import type { DaemonHistory, UsageSample } from './fleet-monitor.js';
import { figureAt, judge } from './goals.js';
import * as measure from './measure.js';
import type { OperatorEdit } from './operator.js';
import type { BackendSample } from './backend-sampler.js';

function sample(atMs: number, flows: Readonly<Record<string, number>>, opened = 0): BackendSample {
  const backends = Object.entries(flows).map(([name, openFlows]) => ({
    name,
    service: name.slice(0, name.lastIndexOf('/')),
    openFlows,
    busySlots: openFlows / 10,
    opened,
  }));
  return { atMs, backends };
}

test('imbalance is by service, the mean over samples, without back ends out of service', (t) => {
  const samples = [
    sample(0, { 's/a/1': 10, 's/a/2': 30, 's/a/3': 99, 's/b/1': 4 }),
    sample(100, { 's/a/1': 5, 's/a/2': 5, 's/a/3': 99, 's/b/1': 4 }),
  ];
  const figures = measure.imbalance(samples, (backend) => backend !== 's/a/3');
  t.deepEqual(figures.peakToMean, { a: 1.25, b: 1 });
  t.deepEqual(figures.coefficientOfVariation, { a: 0.25, b: 0 });
  t.deepEqual(figures.busySlots.peakToMean, { a: 1.25, b: 1 });
  t.deepEqual(figures.busySlots.mean, { a: 1.25, b: 0.4 });
  const idle = measure.imbalance([sample(0, { 's/a/1': 0, 's/a/2': 0 })], () => true);
  t.deepEqual([idle.busySlots.peakToMean, idle.busySlots.mean], [{ a: null }, { a: 0 }]);
});

test('the last new flow after a drain: 0 when none came, null without a drain', (t) => {
  const drain = { backend: 's/a/1', atMs: 1_000, cause: 'drain' as const };
  const quiet = [sample(900, { 's/a/1': 1 }, 5), sample(1_100, { 's/a/1': 1 }, 5)];
  const late = [...quiet, sample(1_700, { 's/a/1': 2 }, 6), sample(1_900, { 's/a/1': 2 }, 6)];
  t.is(measure.secondsToLastNewFlow(late, []), null);
  t.is(measure.secondsToLastNewFlow(quiet, [drain]), 0);
  t.is(measure.secondsToLastNewFlow(late, [drain]), 0.7);
  t.is(measure.secondsToLastNewFlow([], [drain]), null);
});

const USAGE = { atMs: 0, cpuSeconds: 0, residentBytes: 0, controlBytesSent: 0, opened: 0, exceptions: 0 };
const KINDS = { membership: 0, dissemination: 0, replication: 0, handover: 0, health: 0, status: 0 };

function history(
  name: string,
  versions: [number, number][],
  usage: Partial<UsageSample>[] = [{}],
): DaemonHistory {
  return {
    name,
    versions: versions.map(([version, sinceMs]) => ({ version, sinceMs })),
    usage: usage.map((entry) => ({ ...USAGE, controlBytes: KINDS, ...entry })),
    reverts: 0,
    lastSeenMs: 0,
    lastStatus: undefined,
  };
}

const EDIT: OperatorEdit = {
  operator: 'o',
  summary: 's',
  token: 't',
  outcome: 'accepted',
  acceptedAtMs: 1_000,
  version: 7,
  message: 'applied',
};

test('an edit is in force when its version or a later one is, at every balancer that was there', (t) => {
  const spread = (histories: DaemonHistory[], absences: Parameters<typeof measure.editSpread>[2] = []) =>
    measure.editSpread(EDIT, histories, absences, 9_000);
  t.deepEqual(spread([history('a', [[7, 1_200]]), history('b', [[9, 1_500]])]), {
    seconds: 0.5,
    missing: [],
  });
  t.deepEqual(spread([history('a', [[7, 900]])]), { seconds: 0, missing: [] });
  t.deepEqual(spread([history('a', [[6, 900]])]), { seconds: 8, missing: ['a'] });
  t.deepEqual(spread([history('a', [[6, 900]])], [{ name: 'a', fromMs: 2_000, untilMs: undefined }]), {
    seconds: null,
    missing: [],
  });
  t.deepEqual(spread([history('late', [[7, 5_000]], [{ atMs: 4_000 }])]), { seconds: null, missing: [] });
});

test('control figures are rates between the first and last poll; too short a span gives null', (t) => {
  const usage = [
    { atMs: 0 },
    { atMs: 10_000, cpuSeconds: 2, residentBytes: 50e6, controlBytes: { ...KINDS, health: 5_000 } },
  ];
  const figures = measure.controlFigures([history('a', [], usage)], 0);
  t.is(figures.bytesPerSecondPerDaemon.max, 500);
  t.is(figures.bytesPerSecondByKind.health.median, 500);
  t.is(figures.cpuFraction.median, 0.2);
  t.is(figures.residentMegabytes.max, 50);
  t.is(measure.controlFigures([history('a', [], [{ atMs: 0 }, { atMs: 500 }])], 0).cpuFraction.max, null);
});

test('goals: the worst service counts, null is not measured, bounds are inclusive', (t) => {
  const document = {
    imbalance: { peakToMean: { a: 1.05, b: null, c: 1.2 } },
    drain: { seconds: null },
    flows: { broken: 0 },
  };
  t.is(figureAt(document, 'imbalance.peakToMean'), 1.2);
  t.is(figureAt(document, 'imbalance.peakToMean.a'), 1.05);
  t.is(judge(document, { figure: 'imbalance.peakToMean', max: 1.06 }).verdict, 'fail');
  t.is(judge(document, { figure: 'drain.seconds', max: 2 }).verdict, 'not-measured');
  t.is(judge(document, { figure: 'no.such', max: 2 }).verdict, 'not-measured');
  t.is(judge(document, { figure: 'flows.broken', max: 0 }).verdict, 'pass');
  t.is(judge(document, { figure: 'flows.broken', min: 1 }).verdict, 'fail');
});
