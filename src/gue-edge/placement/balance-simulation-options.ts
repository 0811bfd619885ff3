/** What the balance simulation is run with, and what it gives. */
import type { Imbalance } from './balance-recorder.js';
import type { PlacementMode } from './types.js';

/** What is simulated; times in virtual ms. Everything left out has the value of `BALANCE_SIMULATION_DEFAULTS`. */
export interface BalanceSimulationOptions {
  readonly mode: PlacementMode;
  readonly seed: number;
  readonly keepers: number;
  readonly backends: number;
  /** Mean open flows of a back end when the service is steady. */
  readonly flowsPerBackend: number;
  /** Mean lifetime of a flow; lifetimes are exponential. */
  readonly meanLifetimeMs: number;
  /** Length of the run; the second half is measured. */
  readonly durationMs: number;
  /** Time between two reports of a back end, and how long one takes until all keepers have it. */
  readonly reportIntervalMs: number;
  readonly reportLagMs: number;
  /** Index of a back end that reports the given share of its real load; undefined: all are honest. */
  readonly liar: { readonly backend: number; readonly factor: number } | undefined;
  /** A back end that joins cold and empty at the given time; undefined: none. */
  readonly join:
    { readonly atMs: number; readonly slowStartMs: number; readonly rebaseAtMs: number } | undefined;
  readonly targetExceptionShare: number | undefined;
  readonly zonePreference: number;
}

/** Defaults; the size is that of a service of ten back ends with 100 flows each. */
export const BALANCE_SIMULATION_DEFAULTS: BalanceSimulationOptions = {
  mode: 'bounded-load',
  seed: 1,
  keepers: 3,
  backends: 10,
  flowsPerBackend: 100,
  meanLifetimeMs: 30_000,
  durationMs: 120_000,
  reportIntervalMs: 1_000,
  reportLagMs: 500,
  liar: undefined,
  join: undefined,
  targetExceptionShare: undefined,
  zonePreference: 0,
};

/** What one run gave. */
export interface BalanceSimulationResult extends Imbalance {
  readonly mode: PlacementMode;
  readonly seed: number;
  readonly keepers: number;
  readonly flowsPerBackend: number;
  readonly openings: number;
  /** Exceptions over openings in the measured half, 0–1. */
  readonly exceptionShare: number;
  /** Openings in the measured half that stayed in their keeper's zone, 0–1. */
  readonly sameZoneShare: number;
  /** Most openings that the joining back end got in any second; null without a join. */
  readonly peakOpeningsOfJoiner: number | null;
  /** Time from the join until the joiner first held 95% of the mean; null without a join or when it never did. */
  readonly millisecondsToEven: number | null;
}
