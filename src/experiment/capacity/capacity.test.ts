import test from 'ava';
import { ExperimentError } from '../errors.js';
import { replaceSections } from './capacity-page.js';
import {
  contributions,
  cpuContributions,
  missingDimensions,
  total,
  totalResidual,
  type RecordedStep,
} from './capacity-model.js';
import { DAEMON_SHARE } from './design-size.js';

const EMPTY: RecordedStep = {
  dimensions: [],
  members: 12,
  regions: 1,
  backends: 150,
  services: 100,
  flowsPerDaemon: 0,
  openingsPerSecond: 0,
  changesPerSecond: 0,
  seconds: 15,
  bytesOutPerSecond: 0,
  bytesOutPerSecondMax: 0,
  bytesInPerSecond: 0,
  bytesOutByKind: {},
  cpuFraction: 0,
  residentMegabytes: 0,
  secondsToEverywhereMax: null,
  secondsToEverywhereMedian: null,
  storeReaders: 2,
  storeRequestsPerSecond: 1,
  falseSuspicions: 0,
  falseRemovals: 0,
  settleSeconds: 1,
  settleBytesPerDaemon: 1,
  settleHandoverBytesPerDaemon: 1,
  exceptionsShare: null,
  flowTableBytesPerFlow: null,
  probesPerSecond: 0,
};

/** A fleet whose bytes a second follow a known formula. */
function step(dimensions: readonly string[], change: Partial<RecordedStep>): RecordedStep {
  const each = { ...EMPTY, ...change, dimensions };
  const bytesOutPerSecond = 100 + 2 * each.members + 0.5 * each.backends + 7 * each.openingsPerSecond;
  return { ...each, bytesOutPerSecond };
}

const STEPS: readonly RecordedStep[] = [
  step(['backends', 'openings'], {}),
  step(['members'], {}),
  step(['members'], { members: 50 }),
  step(['members'], { members: 200 }),
  step(['backends'], { backends: 6_300 }),
  step(['openings'], { openingsPerSecond: 300 }),
];

test('the sum of the parts is the formula at the size to design for', (t) => {
  const parts = contributions(STEPS, (each) => each.bytesOutPerSecond);
  const { membersPerRegion, backends, openingsPerSecond } = DAEMON_SHARE;
  const expected = 100 + 2 * membersPerRegion + 0.5 * backends + 7 * openingsPerSecond;
  t.true(Math.abs(total(parts) - expected) < 1e-6);
  t.true(totalResidual(parts) < 1e-6);
  const members = parts.find(({ dimension }) => dimension === 'members');
  t.is(members?.largestMeasured, 200);
  t.deepEqual(missingDimensions(STEPS), ['flows', 'full-tree-changes']);
});

test('the stub probes are taken off and the HTTP probes of the full size added', (t) => {
  const steps = [
    { ...EMPTY, dimensions: ['backends'], cpuFraction: 0.01 + 0.0001 * 10, probesPerSecond: 10 },
    {
      ...EMPTY,
      dimensions: ['backends'],
      backends: 6_300,
      cpuFraction: 0.03 + 0.0001 * 40,
      probesPerSecond: 40,
    },
  ];
  const probes = [10, 100].map((rate) => ({
    backends: 1,
    seconds: 1,
    httpProbesPerSecond: rate,
    httpCpuFraction: 0.002 + 0.0005 * rate,
    stubCpuFraction: 0.0001 * rate,
  }));
  const parts = cpuContributions(steps, probes);
  const value = (name: string): number =>
    parts.find(({ dimension }) => dimension === name)?.value ?? Number.NaN;
  t.true(Math.abs(value('base') - 0.01) < 1e-9);
  t.true(Math.abs(value('backends') - 0.02) < 1e-9);
  const real = parts.find(({ dimension }) => dimension === 'probes');
  // 6,300 back ends, a third of them with 3 probers in the region, the rest with 2 at half the rate, each 0.9 s.
  const rate = (6_300 * (1 + 2 / 3)) / 0.9 / (1_100 / 3);
  t.true(Math.abs((real?.target ?? 0) - rate) < 1e-9);
  t.true(Math.abs(value('probes') - 0.0005 * rate) < 1e-9);
});

test('a part that falls with the size is counted as nothing', (t) => {
  const parts = contributions(STEPS, (each) => 1_000 - each.backends / 10);
  t.is(parts.find(({ dimension }) => dimension === 'backends')?.value, 0);
  t.is(total(parts), 985);
});

test('nothing measured gives no parts rather than zeros', (t) => {
  t.deepEqual(
    contributions([], (each) => each.cpuFraction),
    [],
  );
});

test('sections are replaced between their markers, and a second time to the same text', (t) => {
  const page = 'a\n<!-- capacity:x -->\nold\n<!-- /capacity:x -->\nb\n';
  const once = replaceSections(page, { x: 'new' });
  t.is(once, 'a\n<!-- capacity:x -->\n\nnew\n\n<!-- /capacity:x -->\nb\n');
  t.is(replaceSections(once, { x: 'new' }), once);
  t.throws(() => replaceSections(page, { y: 'new' }), { instanceOf: ExperimentError });
});
