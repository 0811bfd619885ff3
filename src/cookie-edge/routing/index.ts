/**
 * Routes, back ends and cordons of a cookie edge: the data model, the calls that follow the source, and the
 * freshness of the data. Owns this daemon's routing state; relies on a deployment's `RoutingSource` and on gossip
 * (`spreading`) for updates.
 *
 * ```ts
 * const knowledge = new RoutingKnowledge({ clock, events, retentionMs: 60_000 });
 * const timings = freshnessTimings(3_000);
 * const availability = new SourceAvailability(clock, random, events);
 * const problems = new ProblemLog(events);
 * const history = new SourceHistoryLog(events);
 * const options = { clock, source, knowledge, availability, timings, problems, history };
 * void new SourceFollower('routes', options).run(signal);
 * ```
 */
export type * from './types.js';
export { BackendSettlement } from './backend-settlement.js';
export { BackendRegistry } from './backend-registry.js';
export type { KnownBackend } from './known-backend.js';
export { isOtherIncarnation } from './incarnation-rule.js';
export { RoutingSourceError, type RoutingSourceErrorKind } from './errors.js';
export { ROUTING_EVENTS } from './events.js';
export { DEFAULT_FRESHNESS_BOUND_MS, freshnessTimings, type FreshnessTimings } from './freshness.js';
export { RoutingKnowledge, type AppliedUpdate, type UpdateOrigin } from './knowledge.js';
export { ProblemLog } from './problem-log.js';
export { addressKey, RouteIndex, splitAddressKey } from './route-index.js';
export { isConsecutiveChange, mergeTableChanges } from './route-table-change.js';
export { SourceAvailability } from './source-availability.js';
export { compareEpochs, isBefore, type SourcePosition } from './source-epoch.js';
export { SourceFollower, type SourceFollowerOptions } from './source-follower.js';
export { SourceHistoryLog } from './source-history-log.js';
export type { BackendListState } from './settlement-rule.js';
export { ZoneCordons } from './zone-cordons.js';
