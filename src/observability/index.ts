/**
 * Logs, metrics pages and the admin server of a daemon.
 *
 * Owns the ranges of event numbers, the limit on repeated events, and the HTTP server of the admin address. Relies
 * on the other folders for events (their `events.ts`) and for the values of metrics; decides nothing about flows.
 *
 * ```ts
 * const events = new ConsolaEventLog({ format: 'json', level: 'info', memberId: 'balancer-1', clock });
 * const admin = await AdminServer.listen({ host: '127.0.0.1', port: 0 }, source);
 * ```
 */
export { AdminServer, type AdminSource, type Readiness, type StatusView } from './admin-server.js';
export { ObservabilityError } from './errors.js';
export {
  defineEvents,
  EVENT_RANGES,
  SILENT_EVENT_LOG,
  type EventDefinition,
  type EventFields,
  type EventLevel,
  type EventLog,
} from './event.js';
export { ConsolaEventLog, type EventLogOptions, type LogFormat } from './event-log.js';
export type { CountsByLabel } from './metrics-page.js';
