/** The table of policies beside each other: the balance simulation over modes, sizes and seeds. */
import type { BalanceSimulationOptions } from './balance-simulation-options.js';
import { runBalanceSimulation } from './balance-simulation.js';
import { PLACEMENT_MODES } from './create-policy.js';
import type { PlacementMode } from './types.js';

/** Size of one column. */
interface BalanceTableSize {
  readonly keepers: number;
  readonly flowsPerBackend: number;
}

/** What the table covers; everything left out has a default. */
interface BalanceTableOptions {
  readonly seeds?: readonly number[];
  readonly modes?: readonly PlacementMode[];
  readonly sizes?: readonly BalanceTableSize[];
  /** Passed on to every run. */
  readonly simulation?: Partial<BalanceSimulationOptions>;
}

/** Median, least and largest value over the seeds. */
export interface Spread {
  readonly median: number;
  readonly least: number;
  readonly largest: number;
}

/** One cell of the table. */
export interface BalanceTableRow extends BalanceTableSize {
  readonly mode: PlacementMode;
  readonly seeds: readonly number[];
  readonly peakToMean: Spread;
  readonly exceptionShare: Spread;
}

/** The sizes of the goals: 3 and 12 keepers, 100 and 1,000 flows a back end. */
const BALANCE_TABLE_SIZES: readonly BalanceTableSize[] = [
  { keepers: 3, flowsPerBackend: 100 },
  { keepers: 12, flowsPerBackend: 100 },
  { keepers: 3, flowsPerBackend: 1_000 },
  { keepers: 12, flowsPerBackend: 1_000 },
];

const DEFAULT_SEEDS = [1, 2, 3] as const;

/** Runs every mode at every size with every seed; equal options give equal tables. */
export function runBalanceTable(options: BalanceTableOptions = {}): BalanceTableRow[] {
  const { seeds = DEFAULT_SEEDS, modes = PLACEMENT_MODES, sizes = BALANCE_TABLE_SIZES } = options;
  return modes.flatMap((mode) =>
    sizes.map((size) => {
      const results = seeds.map((seed) =>
        runBalanceSimulation({ ...options.simulation, ...size, mode, seed }),
      );
      return {
        ...size,
        mode,
        seeds,
        peakToMean: spread(results.map((result) => result.peakToMean)),
        exceptionShare: spread(results.map((result) => result.exceptionShare)),
      };
    }),
  );
}

function spread(values: readonly number[]): Spread {
  const sorted = [...values].sort((left, right) => left - right);
  const median = sorted[Math.floor((sorted.length - 1) / 2)]!;
  return { median, least: sorted[0]!, largest: sorted[sorted.length - 1]! };
}
