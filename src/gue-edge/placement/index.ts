/**
 * Placement: chooses the back end of each opening, and limits openings.
 *
 * Owns the load balance and opening rates of each service as this balancer sees them; nothing is stored or sent.
 * Relies on health for eligibility and reported loads and on the flow keeper for the count of open flows.
 *
 * ```ts
 * const policy = createPlacementPolicy('bounded-load', { clock, random });
 * const decision = policy.choose({ fingerprint, service, baseBackends, exceptionsAllowed: true, load, health, zone });
 * if (decision.outcome === 'place') send(decision.backend);
 * ```
 */
export { createPlacementPolicy, type CountingPolicy, type PlacementStatistics } from './create-policy.js';
export { ExceptionBudget } from './exception-budget.js';
export { DEFAULT_EXCEPTION_BYTES_PER_SECOND } from './constants.js';
export { OpeningLimiter } from './opening-limiter.js';
