/**
 * Logs, metrics pages and the admin server of a daemon.
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
