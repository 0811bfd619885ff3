/**
 * Placement: chooses the back end of each opening, and limits openings.
 *
 * ```ts
 * const policy = createPlacementPolicy('bounded-load', { clock, random });
 * const decision = policy.choose({ fingerprint, service, baseBackends, exceptionsAllowed: true, load, health, zone });
 * if (decision.outcome === 'place') send(decision.backend);
 * ```
 */
export * from './types.js';
export {
  createPlacementPolicy,
  PLACEMENT_MODES,
  type CountingPolicy,
  type PlacementStatistics,
} from './create-policy.js';
export { ExceptionBudget } from './exception-budget.js';
export { DEFAULT_EXCEPTION_BYTES_PER_SECOND } from './constants.js';
export { exceptionShareForBudget, type PlacementOptions } from './policy-options.js';
export { firstChoice, rendezvousScore, weightedRendezvous } from './weighted-rendezvous.js';
export { OpeningLimiter } from './opening-limiter.js';
export { RetryBudget } from './retry-budget.js';
export { UnknownPlacementModeError } from './errors.js';
export { PLACEMENT_EVENTS } from './events.js';
export {
  runBalanceSimulation,
  type BalanceSimulationOptions,
  type BalanceSimulationResult,
} from './balance-simulation.js';
export { runBalanceTable, type BalanceTableRow } from './balance-table.js';
