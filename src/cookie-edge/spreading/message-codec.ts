/** Encodes and decodes messages between daemons. Ages travel, clocks do not. */
import type { Endpoint } from '../../common/types.js';
import { formatIpv4, parseIpv4 } from '../../fabric/ipv4-address.js';
import type { LoadReport } from '../load/index.js';
import type {
  Route,
  RoutedBackend,
  RoutedService,
  RouteTable,
  RouteTableChange,
  RoutingTopic,
  RoutingUpdate,
  TopicConfirmation,
  ZoneCordon,
} from '../routing/index.js';
import { NOTHING_KNOWN, TRANSIT_MS } from './constants.js';
import { sailquay } from './pb/spreading.js';
import type { Peer, PeerMessage, ReaderSighting, SpreadUpdate } from './types.js';

const wire = sailquay.spreading;
type WireMessage = sailquay.spreading.IPeerMessage;
type WireLoadReport = sailquay.spreading.ILoadReport;

const TYPE_NUMBERS = {
  news: wire.MessageType.NEWS,
  pull: wire.MessageType.PULL,
  state: wire.MessageType.STATE,
} as const;
const TOPIC_NUMBERS = {
  routes: wire.Topic.ROUTES,
  backends: wire.Topic.BACKENDS,
  cordons: wire.Topic.CORDONS,
} as const;

/** Levels of load travel as whole sixteenths. */
const LEVEL_PARTS = 16;

/** Ages beyond this are all the same; of a confirmation it means that there is none yet. */
const MAX_AGE_MS = 0xffff_ffff;

/** Encodes a message as of `nowMs`. */
export function encodePeerMessage(message: PeerMessage, nowMs: number): Uint8Array {
  const confirmations = Object.entries(message.confirmations) as [RoutingTopic, TopicConfirmation][];
  return wire.PeerMessage.encode({
    type: TYPE_NUMBERS[message.type],
    senderId: message.senderId,
    senderZone: message.senderZone,
    leaving: message.leaving,
    proofs: confirmations.map(([topic, { revision, changedRevision, confirmedAtMs }]) => ({
      topic: TOPIC_NUMBERS[topic],
      revision,
      changedRevision,
      ageMs: age(nowMs, confirmedAtMs),
    })),
    readers: message.readers.map(({ id, confirmedAtMs }) => ({ id, ageMs: age(nowMs, confirmedAtMs) })),
    peers: message.peers.map(({ endpoint, zone, heardAtMs }) => ({
      ...encodeEndpoint(endpoint),
      zone,
      ageMs: age(nowMs, heardAtMs),
    })),
    updates: message.updates.map((update) => encodeUpdate(update, nowMs)),
    departedCount: message.departedCount,
    tableRevision: message.tableRevision,
    suspicions: message.suspicions.map(({ backendId, atMs }) => ({ backendId, ageMs: age(nowMs, atMs) })),
    loads: message.loads.map((report) => encodeLoad(report, nowMs)),
    badAnswers: message.badAnswers.map(({ backendId, observer, atMs }) => ({
      backendId,
      observer,
      ageMs: age(nowMs, atMs),
    })),
  }).finish();
}

/** Decodes a message that arrived at `nowMs`; undefined when it is malformed. */
export function decodePeerMessage(bytes: Uint8Array, nowMs: number): PeerMessage | undefined {
  try {
    return fromWire(wire.PeerMessage.decode(bytes), nowMs);
  } catch {
    return undefined;
  }
}

function fromWire(message: WireMessage, nowMs: number): PeerMessage | undefined {
  const type = keyOf(TYPE_NUMBERS, message.type);
  if (!type || !message.senderId) return undefined;
  const arrivedMs = nowMs - TRANSIT_MS;
  const confirmations: Partial<Record<RoutingTopic, TopicConfirmation>> = {};
  for (const { topic, revision, changedRevision, ageMs } of message.proofs ?? []) {
    const name = keyOf(TOPIC_NUMBERS, topic);
    if (!name) continue;
    const confirmedAtMs = ageMs === MAX_AGE_MS ? Number.NEGATIVE_INFINITY : arrivedMs - (ageMs ?? 0);
    confirmations[name] = { revision: revision ?? 0, changedRevision: changedRevision ?? 0, confirmedAtMs };
  }
  return {
    type,
    senderId: message.senderId,
    senderZone: message.senderZone ?? '',
    confirmations,
    leaving: message.leaving ?? false,
    readers: (message.readers ?? []).map(({ id, ageMs }): ReaderSighting => ({
      id: id ?? '',
      confirmedAtMs: arrivedMs - (ageMs ?? 0),
    })),
    peers: (message.peers ?? []).map(({ zone, ageMs, ...at }): Peer => ({
      endpoint: decodeEndpoint(at),
      zone: zone ?? '',
      heardAtMs: arrivedMs - (ageMs ?? 0),
    })),
    updates: (message.updates ?? []).flatMap((update) => decodeUpdate(update, arrivedMs) ?? []),
    departedCount: message.departedCount ?? 0,
    tableRevision: message.tableRevision ?? NOTHING_KNOWN,
    suspicions: (message.suspicions ?? []).map(({ backendId, ageMs }) => ({
      backendId: backendId ?? '',
      atMs: arrivedMs - (ageMs ?? 0),
    })),
    loads: (message.loads ?? []).map((report) => decodeLoad(report, arrivedMs)),
    badAnswers: (message.badAnswers ?? []).map(({ backendId, observer, ageMs }) => ({
      backendId: backendId ?? '',
      observer: observer ?? 0,
      atMs: arrivedMs - (ageMs ?? 0),
    })),
  };
}

function encodeUpdate({ topic, since, update }: SpreadUpdate, nowMs: number): sailquay.spreading.IUpdate {
  const table = update.routes.at(-1);
  const departed = update.departed ?? [];
  return {
    topic: TOPIC_NUMBERS[topic],
    complete: update.complete,
    since,
    revision: update.revision,
    routes: table && encodeTable(table),
    routeChange: update.routeChange && encodeTableChange(update.routeChange),
    backends: [
      ...update.backends.map(encodeBackend),
      ...departed.map(({ record, departedAtMs }) => ({
        ...encodeBackend(record),
        departed: true,
        departedAgeMs: age(nowMs, departedAtMs),
      })),
    ],
    removals: update.removals.map(({ id, revision }) => ({ id, revision })),
    cordons: update.cordons?.map(({ zone, revision }) => ({ zone, revision })),
    cordonRemovals: update.cordonRemovals?.map(({ zone, revision }) => ({ zone, revision })),
  };
}

function decodeUpdate(update: sailquay.spreading.IUpdate, arrivedMs: number): SpreadUpdate | undefined {
  const topic = keyOf(TOPIC_NUMBERS, update.topic);
  if (!topic) return undefined;
  const backends = update.backends ?? [];
  const decoded: RoutingUpdate = {
    revision: update.revision ?? 0,
    complete: update.complete ?? false,
    routes: update.routes ? [decodeTable(update.routes)] : [],
    routeChange: update.routeChange ? decodeTableChange(update.routeChange) : undefined,
    backends: backends.filter(({ departed }) => !departed).map(decodeBackend),
    departed: backends
      .filter(({ departed }) => departed)
      .map((backend) => ({
        record: decodeBackend(backend),
        departedAtMs: arrivedMs - (backend.departedAgeMs ?? 0),
      })),
    removals: (update.removals ?? []).map(({ id, revision }) => ({ id: id ?? '', revision: revision ?? 0 })),
    cordons: (update.cordons ?? []).map(decodeCordon),
    cordonRemovals: (update.cordonRemovals ?? []).map(decodeCordon),
  };
  return { topic, since: update.since ?? 0, update: decoded };
}

function encodeLoad({ page, measuredAtMs, validMs, busy }: LoadReport, nowMs: number): WireLoadReport {
  return {
    page,
    ageMs: age(nowMs, measuredAtMs),
    validMs,
    tags: busy.map(({ tag }) => tag),
    sixteenths: busy.map(({ level }) => Math.round(level * LEVEL_PARTS)),
  };
}

function decodeLoad(
  { page, ageMs, validMs, tags, sixteenths }: WireLoadReport,
  arrivedMs: number,
): LoadReport {
  return {
    page: page ?? 0,
    measuredAtMs: arrivedMs - (ageMs ?? 0),
    validMs: validMs ?? 0,
    busy: (tags ?? []).map((tag, index) => ({ tag, level: (sixteenths?.[index] ?? 0) / LEVEL_PARTS })),
  };
}

function encodeTable(table: RouteTable): sailquay.spreading.IRouteTable {
  const { version, revision, idleTimeoutMs, routes, services } = table;
  return {
    version,
    revision,
    idleTimeoutMs,
    routes: routes.map(encodeRoute),
    services: services.map(encodeService),
  };
}

function decodeTable(table: sailquay.spreading.IRouteTable): RouteTable {
  return {
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
  const { name, address, port, targets, allowedRegions } = route;
  return {
    name,
    address,
    port,
    targets: targets.map(({ service, weight }) => ({ service, weight })),
    allowedRegions: allowedRegions && [...allowedRegions],
  };
}

function decodeRoute(route: sailquay.spreading.IRoute): Route {
  const { name, address, port, targets, allowedRegions } = route;
  return {
    name: name ?? '',
    address: address ?? 0,
    port: port ?? 0,
    ...(allowedRegions && allowedRegions.length > 0 ? { allowedRegions } : {}),
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

function encodeEndpoint({ host, port }: Endpoint): { readonly address: number; readonly port: number } {
  return { address: parseIpv4(host), port };
}

function decodeEndpoint(at: { readonly address?: number | null; readonly port?: number | null }): Endpoint {
  return { host: formatIpv4(at.address ?? 0), port: at.port ?? 0 };
}

function age(nowMs: number, atMs: number): number {
  return Math.min(MAX_AGE_MS, Math.max(0, Math.ceil(nowMs - atMs)));
}

function keyOf<Key extends string>(
  numbers: Readonly<Record<Key, number>>,
  number: number | null | undefined,
): Key | undefined {
  return (Object.keys(numbers) as Key[]).find((key) => numbers[key] === number);
}
