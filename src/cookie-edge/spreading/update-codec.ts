/**
 * Encodes and decodes the updates in messages: routes, back ends and cordons. Does no input or output. A missing field
 * decodes to the default of its type, since the sender may run an older version.
 */
import type {
  Route,
  RoutedBackend,
  RoutedService,
  RouteTable,
  RouteTableChange,
  RoutingUpdate,
  ZoneCordon,
} from '../routing/index.js';
import type { sailquay } from './pb/spreading.js';
import type { TopicUpdate } from './types.js';
import {
  ageOf,
  decodeEndpoint,
  decodeEpoch,
  encodeEndpoint,
  encodeEpoch,
  findKeyByNumber,
  timeOfAge,
  TOPIC_NUMBERS,
} from './wire-values.js';

/** Encodes an update that is sent at `nowMs`. */
export function encodeUpdate(
  { topic, since, update }: TopicUpdate,
  nowMs: number,
): sailquay.spreading.IUpdate {
  const table = update.routes.at(-1);
  const departed = update.departed ?? [];
  return {
    topic: TOPIC_NUMBERS[topic],
    complete: update.complete,
    since,
    revision: update.revision,
    epoch: encodeEpoch(update.epoch),
    routes: table && encodeTable(table),
    routeChange: update.routeChange && encodeTableChange(update.routeChange),
    backends: [
      ...update.backends.map(encodeBackend),
      ...departed.map(({ record, departedAtMs, lapsed }) => ({
        ...encodeBackend(record),
        departed: true,
        departedAgeMs: ageOf(nowMs, departedAtMs),
        ...(lapsed && { lapsed }),
      })),
    ],
    removals: update.removals.map(({ id, revision }) => ({ id, revision })),
    cordons: update.cordons?.map(({ zone, revision }) => ({ zone, revision })),
    cordonRemovals: update.cordonRemovals?.map(({ zone, revision }) => ({ zone, revision })),
  };
}

/** Decodes an update that was sent at `sentMs`; undefined for a topic that this version does not know. */
export function decodeUpdate(update: sailquay.spreading.IUpdate, sentMs: number): TopicUpdate | undefined {
  const topic = findKeyByNumber(TOPIC_NUMBERS, update.topic);
  return topic && { topic, since: update.since ?? 0, update: decodeRoutingUpdate(update, sentMs) };
}

function decodeRoutingUpdate(update: sailquay.spreading.IUpdate, sentMs: number): RoutingUpdate {
  const backends = update.backends ?? [];
  return {
    ...decodeEpoch(update.epoch),
    revision: update.revision ?? 0,
    complete: update.complete ?? false,
    routes: update.routes ? [decodeTable(update.routes)] : [],
    routeChange: update.routeChange ? decodeTableChange(update.routeChange) : undefined,
    backends: backends.filter(({ departed }) => !departed).map(decodeBackend),
    departed: backends
      .filter(({ departed }) => departed)
      .map((backend) => ({
        record: decodeBackend(backend),
        departedAtMs: timeOfAge(backend.departedAgeMs, sentMs),
        ...(backend.lapsed && { lapsed: true }),
      })),
    removals: (update.removals ?? []).map(({ id, revision }) => ({ id: id ?? '', revision: revision ?? 0 })),
    cordons: (update.cordons ?? []).map(decodeCordon),
    cordonRemovals: (update.cordonRemovals ?? []).map(decodeCordon),
  };
}

function encodeTable(table: RouteTable): sailquay.spreading.IRouteTable {
  const { version, epoch, revision, idleTimeoutMs, routes, services } = table;
  return {
    version,
    revision,
    epoch: encodeEpoch(epoch),
    idleTimeoutMs,
    routes: routes.map(encodeRoute),
    services: services.map(encodeService),
  };
}

function decodeTable(table: sailquay.spreading.IRouteTable): RouteTable {
  return {
    ...decodeEpoch(table.epoch),
    version: table.version ?? 0,
    revision: table.revision ?? 0,
    idleTimeoutMs: table.idleTimeoutMs ?? 0,
    routes: (table.routes ?? []).map(decodeRoute),
    services: (table.services ?? []).map(decodeService),
  };
}

function encodeTableChange(change: RouteTableChange): sailquay.spreading.IRouteTableChange {
  const { fromRevisions, version, revision, idleTimeoutMs, routes, removedRoutes, services } = change;
  return {
    fromRevisions: [...fromRevisions],
    version,
    revision,
    idleTimeoutMs,
    digest: change.digest,
    requirementDigest: change.requirementDigest,
    routes: routes.map(encodeRoute),
    removedRoutes: [...removedRoutes],
    services: services.map(encodeService),
  };
}

function decodeTableChange(change: sailquay.spreading.IRouteTableChange): RouteTableChange {
  return {
    fromRevisions: change.fromRevisions ?? [],
    version: change.version ?? 0,
    digest: change.digest ?? 0,
    ...(typeof change.requirementDigest === 'number' && { requirementDigest: change.requirementDigest }),
    revision: change.revision ?? 0,
    idleTimeoutMs: change.idleTimeoutMs ?? 0,
    routes: (change.routes ?? []).map(decodeRoute),
    removedRoutes: change.removedRoutes ?? [],
    services: (change.services ?? []).map(decodeService),
  };
}

function decodeCordon({ zone, revision }: sailquay.spreading.ICordon): ZoneCordon {
  return { zone: zone ?? '', revision: revision ?? 0 };
}

function encodeRoute(route: Route): sailquay.spreading.IRoute {
  const { name, address, port, targets, allowedRegions, priority, targetLatencyMs } = route;
  return {
    name,
    address,
    port,
    targets: targets.map(({ service, weight }) => ({ service, weight })),
    allowedRegions: allowedRegions && [...allowedRegions],
    ...(priority !== undefined && { priority }),
    ...(targetLatencyMs !== undefined && { targetLatencyMs }),
  };
}

function decodeRoute(route: sailquay.spreading.IRoute): Route {
  const { name, address, port, targets, allowedRegions, priority, targetLatencyMs } = route;
  return {
    name: name ?? '',
    address: address ?? 0,
    port: port ?? 0,
    ...(allowedRegions && allowedRegions.length > 0 ? { allowedRegions } : {}),
    ...(typeof priority === 'number' && { priority }),
    ...(targetLatencyMs ? { targetLatencyMs } : {}),
    targets: (targets ?? []).map(({ service, weight }) => ({
      service: service ?? '',
      weight: weight ?? 0,
    })),
  };
}

function encodeService(service: RoutedService): sailquay.spreading.IService {
  const { name, maxConnections, coldRequestsPerSecond } = service;
  return {
    name,
    // 0 encodes "no limit".
    maxConnections: Number.isFinite(maxConnections) ? maxConnections : 0,
    coldRequestsPerSecond,
  };
}

function decodeService(service: sailquay.spreading.IService): RoutedService {
  const { name, maxConnections, coldRequestsPerSecond } = service;
  return {
    name: name ?? '',
    maxConnections: maxConnections || Number.POSITIVE_INFINITY,
    ...(coldRequestsPerSecond ? { coldRequestsPerSecond } : {}),
  };
}

function encodeBackend(backend: RoutedBackend): sailquay.spreading.IBackend {
  const { endpoint, ...rest } = backend;
  return { ...rest, ...encodeEndpoint(endpoint) };
}

function decodeBackend(backend: sailquay.spreading.IBackend): RoutedBackend {
  return {
    ...(typeof backend.incarnation === 'number' && { incarnation: backend.incarnation }),
    id: backend.id ?? '',
    service: backend.service ?? '',
    zone: backend.zone ?? '',
    endpoint: decodeEndpoint(backend),
    capacity: backend.capacity ?? 1,
    draining: backend.draining ?? false,
    coldMs: backend.coldMs ?? 0,
    createdRevision: backend.createdRevision ?? 0,
    revision: backend.revision ?? 0,
  };
}
