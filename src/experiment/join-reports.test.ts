import test from 'ava';
import type { BackendStandinReport } from '../standin/backend/types.js';
import type { BrokenFlow, CallerReport } from '../standin/caller/types.js';
import { FAULT_ATTRIBUTION_MS } from './constants.js';
import { flowFigures, requestFigures } from './join-reports.js';

const NO_CAUSES = { faults: [], crashed: new Set<string>() };

function caller(overrides: { broken?: number; brokenFlows?: BrokenFlow[]; opened?: number }): CallerReport {
  const { broken = 0, brokenFlows = [], opened = 10 } = overrides;
  const flows = { attempted: opened, opened, refused: 1, openTimeouts: 0, broken, closed: 0, open: 0 };
  const latency = { count: 0, meanMs: 0, p50Ms: 0, p99Ms: 0, maxMs: 0 };
  return {
    flows,
    flowsByService: {},
    requests: { sent: 5, answered: 4, retried: 0, notRun: 1, unknown: 0, foreignOrPartial: 0 },
    requestLatency: latency,
    openingLatency: latency,
    brokenFlows,
    notRunIds: ['refused-1'],
    stopped: true,
  };
}

function broken(brokenAtMs: number, backend: string | undefined = 's/b/1'): BrokenFlow {
  return { flow: 'f', service: 's/b', reason: 'reset', backend, openedAtMs: 0, brokenAtMs };
}

function backends(unrepeatableRunTwice: string[] = [], misdelivered = 0): BackendStandinReport {
  return { backends: [], unrepeatableRunTwice, misdelivered, strays: 0 };
}

test('nothing reported is null, never 0', (t) => {
  const flows = flowFigures([], undefined, NO_CAUSES);
  t.deepEqual([...new Set(Object.values(flows))], [null]);
  const requests = requestFigures([], undefined, { ofNotRun: undefined, unrepeatable: undefined });
  t.deepEqual([...new Set(Object.values(requests))], [null]);
});

test('counts of several callers and back-end processes add up; true zeros stay 0', (t) => {
  const figures = flowFigures(
    [caller({}), caller({ opened: 7 })],
    [backends([], 2), backends([], 1)],
    NO_CAUSES,
  );
  t.is(figures.opened, 17);
  t.is(figures.refused, 2);
  t.is(figures.broken, 0);
  t.is(figures.misdelivered, 3);
});

const RUN_TWICE: readonly {
  title: string;
  reports: BackendStandinReport[];
  ids: string[][];
  twice: number;
}[] = [
  { title: 'each once', reports: [backends(), backends()], ids: [['a'], ['b']], twice: 0 },
  { title: 'twice on two back ends', reports: [backends(), backends()], ids: [['a', 'b'], ['b']], twice: 1 },
  { title: 'twice on one back end', reports: [backends(['a']), backends()], ids: [['a'], []], twice: 1 },
  { title: 'both at once', reports: [backends(['a']), backends()], ids: [['a'], ['a']], twice: 1 },
];

for (const { title, reports, ids, twice } of RUN_TWICE) {
  test(`requests that must not run twice: ${title}`, (t) => {
    const executions = { ofNotRun: [[], []], unrepeatable: ids };
    t.is(requestFigures([caller({})], reports, executions).unrepeatableRunTwice, twice);
  });
}

test('a request refused as not run that ran is seen, once however often it ran', (t) => {
  const figures = (ofNotRun: string[][]) =>
    requestFigures([caller({})], [backends()], { ofNotRun, unrepeatable: [] }).refusedButRun;
  t.is(figures([[], []]), 0);
  t.is(figures([['refused-1'], ['refused-1']]), 1);
});

const FAULT = { fromMs: 1_000, untilMs: 2_000 };
const CRASHED = new Set(['s/b/1']);
const BREAKS: readonly { title: string; flow: BrokenFlow; crashed?: Set<string>; planned: number }[] = [
  { title: 'no fault at all', flow: broken(500), planned: 1 },
  { title: 'during a fault', flow: broken(1_500), planned: 0 },
  { title: 'soon after a fault', flow: broken(2_000 + FAULT_ATTRIBUTION_MS), planned: 0 },
  { title: 'long after a fault', flow: broken(2_001 + FAULT_ATTRIBUTION_MS), planned: 1 },
  { title: 'back end crashed', flow: broken(500), crashed: CRASHED, planned: 0 },
  { title: 'another back end crashed', flow: broken(500, 's/b/2'), crashed: CRASHED, planned: 1 },
];

for (const { title, flow, crashed = new Set<string>(), planned } of BREAKS) {
  test(`a break counts against planned changes unless explained: ${title}`, (t) => {
    const figures = flowFigures([caller({ broken: 1, brokenFlows: [flow] })], undefined, {
      faults: [FAULT],
      crashed,
    });
    t.is(figures.broken, 1);
    t.is(figures.brokenByPlannedChange, planned);
    t.is(figures.brokenByBackendCrash, crashed.has(flow.backend ?? '') ? 1 : 0);
  });
}

test('breaks beyond those that callers name count as planned when no fault happened', (t) => {
  const report = caller({ broken: 5, brokenFlows: [broken(500)] });
  t.is(flowFigures([report], undefined, NO_CAUSES).brokenByPlannedChange, 5);
});
