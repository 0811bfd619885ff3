/**
 * Client of the platform's object API: objects with versions, watches, leases and the machine list.
 *
 * Owns the connections to one platform, what is tried again, and how long a lease is trusted. Relies on the
 * platform alone for versions and fencing tokens, and on a monotonic clock.
 *
 * ```ts
 * const client = createStoreClient({ baseUrl: 'http://127.0.0.1:9000', clock, random, events, caller: 'lb-1' });
 * const tree = await client.get<TreeDocument>('settings/tree');
 * ```
 */
export { createStoreClient, type ConnectedStoreClient, type StoreClientOptions } from './client.js';
export { CircuitBreaker, type CircuitState } from './circuit-breaker.js';
export { CALLER_HEADER, LEASE_MARGIN_MS, WATCH_HEARTBEAT_MS } from './constants.js';
export { StoreError, type StoreErrorKind } from './errors.js';
export { STORE_EVENTS } from './events.js';
export { trustedDurationMs } from './lease-trust.js';
export type { Lease, MachineEntry, StoreClient, StoredObject } from './types.js';
