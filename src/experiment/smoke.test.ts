import test from 'ava';
import { runScenario } from './experiment-run.js';
import { scenarioSchema } from './scenario.js';

const SMOKE = scenarioSchema.parse({
  name: 'smoke',
  description: 'one edit and one drain under a few flows',
  durationSeconds: 5,
  load: [
    { service: 'main', longFlows: 60, longFlowsPerSecond: 60 },
    { service: 'second', openingsPerSecond: 5, lifetimeSeconds: 1 },
  ],
  actions: [
    { do: 'tree-edit', at: 2, operations: [{ node: 'main', field: 'idleTimeoutMs', value: 3_600_000 }] },
    { do: 'backend-drain', at: 3, backend: 'main-02' },
  ],
});

test('a short run through real processes breaks, misdelivers and repeats nothing', async (t) => {
  t.timeout(220_000);
  const { signal } = new AbortController();
  const document = await runScenario({
    scenario: SMOKE,
    seed: 1,
    mode: 'bounded-load',
    signal,
    progress: () => undefined,
  });
  t.deepEqual(
    document.problems.filter((problem) => !problem.includes('samples')),
    [],
  );
  t.deepEqual(
    document.events.filter((event) => event.failed),
    [],
  );
  t.true((document.flows.opened ?? 0) > 60);
  t.is(document.requests.answered, document.requests.sent);
  const { broken, misdelivered } = document.flows;
  const { foreignOrPartialAnswers, refusedButRun, unrepeatableRunTwice } = document.requests;
  const counts = [broken, misdelivered, foreignOrPartialAnswers, refusedButRun, unrepeatableRunTwice];
  t.deepEqual(counts, [0, 0, 0, 0, 0]);
  t.is(document.config.reverts, 0);
  t.deepEqual(
    document.config.edits.map((edit) => edit.outcome),
    ['accepted', 'accepted'],
  );
  t.is(document.control.bytesPerSecondPerDaemon.max === null, false);
});
