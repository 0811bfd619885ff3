import test from 'ava';
import type { BalanceSimulationOptions } from './balance-simulation-options.js';
import { runBalanceSimulation } from './balance-simulation.js';

interface BalanceCase {
  readonly name: string;
  readonly options: Partial<BalanceSimulationOptions>;
  readonly peakToMean: number;
  readonly exceptionShare: number;
}

const SHORT = {
  meanLifetimeMs: 10_000,
  reportIntervalMs: 330,
  reportLagMs: 170,
  durationMs: 40_000,
} as const;
const CASES: readonly BalanceCase[] = [
  { name: '3 keepers, 100 flows', options: { keepers: 3 }, peakToMean: 1.06, exceptionShare: 0.15 },
  { name: '12 keepers, 100 flows', options: { keepers: 12 }, peakToMean: 1.06, exceptionShare: 0.15 },
  {
    name: '3 keepers, 1,000 flows',
    options: { keepers: 3, flowsPerBackend: 1_000, ...SHORT },
    peakToMean: 1.02,
    exceptionShare: 0.15,
  },
  {
    name: '3 keepers, flows of 5 s, reports older than a fifth of that',
    options: { keepers: 3, meanLifetimeMs: 5_000, reportLagMs: 600, durationMs: 40_000 },
    peakToMean: 1.06,
    exceptionShare: 0.15,
  },
  {
    name: 'one back end reports no load',
    options: { keepers: 3, liar: { backend: 3, factor: 0 } },
    peakToMean: 1.3,
    exceptionShare: 0.2,
  },
  {
    name: 'one back end reports three times its load',
    options: { keepers: 3, liar: { backend: 3, factor: 3 } },
    peakToMean: 1.3,
    exceptionShare: 0.2,
  },
];
for (const { name, options, peakToMean, exceptionShare } of CASES) {
  test(`bounded load stays balanced: ${name}`, (t) => {
    for (const seed of [1, 2]) {
      const result = runBalanceSimulation({ ...options, seed });
      t.true(result.peakToMean <= peakToMean, `seed ${seed}: peak to mean ${result.peakToMean}`);
      t.true(result.exceptionShare <= exceptionShare, `seed ${seed}: exceptions ${result.exceptionShare}`);
    }
  });
}

for (const mode of ['random', 'rendezvous', 'least-reported-load'] as const) {
  test(`the simulation tells ${mode} from bounded load`, (t) => {
    t.true(runBalanceSimulation({ mode }).peakToMean > 1.08);
  });
}

test('equal seeds give equal runs, other seeds other ones', (t) => {
  const options = { durationMs: 20_000 };
  t.deepEqual(runBalanceSimulation({ ...options, seed: 4 }), runBalanceSimulation({ ...options, seed: 4 }));
  t.notDeepEqual(
    runBalanceSimulation({ ...options, seed: 4 }),
    runBalanceSimulation({ ...options, seed: 5 }),
  );
});

test('the share of exceptions follows its target', (t) => {
  const shares = [0.02, 0.06, 0.1].map((target) => {
    return runBalanceSimulation({ targetExceptionShare: target }).exceptionShare;
  });
  t.true(shares[0]! <= 0.04 && shares[1]! > shares[0]! && shares[2]! > shares[1]!, `${shares}`);
});

test('a joining back end fills up without an open flow being moved', (t) => {
  const join = { atMs: 20_000, slowStartMs: 10_000, rebaseAtMs: 25_000 };
  const result = runBalanceSimulation({ join, durationMs: 160_000 });
  t.true(
    result.millisecondsToEven !== null && result.millisecondsToEven < 120_000,
    `${result.millisecondsToEven}`,
  );
});

test('200 balancers that learn of one idle back end at once do not rush to it', (t) => {
  const join = { atMs: 20_000, slowStartMs: 10_000, rebaseAtMs: 25_000 };
  const options = { keepers: 200, flowsPerBackend: 1_000, meanLifetimeMs: 30_000, durationMs: 50_000, join };
  const bounded = runBalanceSimulation(options);
  const reported = runBalanceSimulation({ ...options, mode: 'least-reported-load' });
  // 333 openings a second over 11 back ends are 30 a second for each.
  t.true(bounded.peakOpeningsOfJoiner! <= 90, `${bounded.peakOpeningsOfJoiner}`);
  t.true(
    reported.peakOpeningsOfJoiner! > 2 * bounded.peakOpeningsOfJoiner!,
    `${reported.peakOpeningsOfJoiner}`,
  );
});
