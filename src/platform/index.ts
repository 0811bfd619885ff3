/**
 * Client of the platform's object API: objects with versions, watches, leases and the machine list.
 *
 * ```ts
 * const client = createPlatformClient({ baseUrl: 'http://127.0.0.1:9000', clock, random, events, caller: 'lb-1' });
 * const tree = await client.get<TreeDocument>('settings/tree');
 * ```
 */
export {
  createPlatformClient,
  trustedDurationMs,
  type ConnectedPlatformClient,
  type PlatformClientOptions,
} from './client.js';
export { CircuitBreaker, type CircuitState } from './circuit-breaker.js';
export { CALLER_HEADER, LEASE_MARGIN_MS, WATCH_HEARTBEAT_MS } from './constants.js';
export { PlatformError, type PlatformErrorKind } from './errors.js';
export { PLATFORM_EVENTS } from './events.js';
export { pause } from './watch.js';
export type { Lease, MachineEntry, PlatformClient, StoredObject } from './types.js';
