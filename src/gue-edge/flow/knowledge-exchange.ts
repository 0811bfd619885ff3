/**
 * Back ends and base versions that a balancer has not seen itself are requested from the balancer whose message
 * refers to them. The message is left unanswered meanwhile, so that its sender repeats it.
 *
 * Owns the requests of the last moments and the parts of bases that are not whole. Relies on the sender to know
 * what its own message refers to; a lost request is sent again with the repeated message.
 */
import type { InboundControlMessage } from '../control/types.js';
import { UNLIMITED_SERVICE, type EffectiveBackend, type EffectiveService } from '../../settings/types.js';
import { sameBackends, type BaseSet } from './base-catalogue.js';
import { MAX_PART_RECORDS } from './constants.js';
import { FLOW_EVENTS } from './events.js';
import type { FlowContext } from './flow-context.js';
import { sailquay } from './pb/flow.js';

const { HandoverMessage } = sailquay.flow;

/**
 * A request is not repeated before this time has passed. Longer than the first repeats of a record batch (`RESEND_MS`).
 */
const REPEAT_MS = 200;
/** Back end entries in one response. Fits one datagram. */
const ENTRIES_PER_REPLY = 15;
/** Back ends in one part of a base. Fits one datagram. */
const BACKENDS_PER_PART = 30;
const ONE_DAY_MS = 86_400_000;

interface BaseAssembly {
  readonly parts: Map<number, sailquay.flow.BaseReply.$Properties>;
  readonly partCount: number;
}

/** Requests, sends and learns back ends and bases. */
export class KnowledgeExchange {
  private readonly requestedAtMs = new Map<string, number>();
  private readonly assemblies = new Map<string, BaseAssembly>();

  constructor(private readonly context: FlowContext) {}

  /** True when every key is known; else requests the missing ones from the sender. */
  requireBackends(keys: readonly number[], from: InboundControlMessage): boolean {
    const missing = keys.filter((key) => !this.context.catalogue.find(key));
    if (missing.length === 0) return true;
    const backendKeys = missing.slice(0, MAX_PART_RECORDS);
    this.request(`keys ${from.senderId} ${backendKeys[0]}`, { catalogueRequest: { backendKeys } }, from);
    return false;
  }

  /** True when every version is known; else requests the missing ones from the sender. */
  requireBases(versions: readonly number[], from: InboundControlMessage): boolean {
    const missing = versions.filter((version) => version > 0 && !this.context.bases.has(version));
    for (const baseVersion of missing) {
      const knownVersions = this.context.bases.versions();
      this.request(
        `base ${from.senderId} ${baseVersion}`,
        { baseRequest: { baseVersion, knownVersions } },
        from,
      );
    }
    return missing.length === 0;
  }

  /** Handles a request or a response; false when the message is neither. */
  handle(message: sailquay.flow.HandoverMessage, from: InboundControlMessage): boolean {
    if (message.catalogueRequest) this.sendCatalogue(message.catalogueRequest.backendKeys ?? [], from);
    else if (message.catalogueReply) this.learnEntries(message.catalogueReply.entries ?? []);
    else if (message.baseRequest) this.sendBase(message.baseRequest, from);
    else if (message.baseReply) this.learnBase(message.baseReply, from);
    else return false;
    return true;
  }

  private request(
    key: string,
    message: sailquay.flow.HandoverMessage.$Properties,
    to: InboundControlMessage,
  ): void {
    const nowMs = this.context.now();
    if (nowMs - (this.requestedAtMs.get(key) ?? Number.NEGATIVE_INFINITY) < REPEAT_MS) return;
    this.requestedAtMs.set(key, nowMs);
    if (message.baseRequest) {
      const version = message.baseRequest.baseVersion ?? 0;
      this.context.components.events.emit(FLOW_EVENTS.baseMissing, { version, askedOf: to.senderId });
    }
    this.send(message, to);
  }

  private sendCatalogue(keys: readonly number[], to: InboundControlMessage): void {
    const entries: sailquay.flow.CatalogueEntry.$Properties[] = [];
    for (const key of keys) {
      const entry = this.context.catalogue.find(key);
      if (!entry) continue;
      const addresses = this.context.services.addressesOf(entry.serviceId);
      entries.push({
        id: entry.id,
        serviceId: entry.serviceId,
        host: entry.endpoint.host,
        port: entry.endpoint.port,
        idleTimeoutMs: entry.idleTimeoutSeconds * 1_000,
        serviceAddresses: addresses.map((address) => address.address),
        servicePorts: addresses.map((address) => address.port),
      });
    }
    for (let start = 0; start < entries.length; start += ENTRIES_PER_REPLY) {
      this.send({ catalogueReply: { entries: entries.slice(start, start + ENTRIES_PER_REPLY) } }, to);
    }
  }

  private learnEntries(entries: readonly sailquay.flow.CatalogueEntry.$Properties[]): void {
    for (const entry of entries) {
      const serviceId = entry.serviceId ?? 0;
      this.context.catalogue.learn({
        id: entry.id ?? 0,
        serviceId,
        endpoint: { host: entry.host ?? '', port: entry.port ?? 0 },
        idleTimeoutMs: entry.idleTimeoutMs ?? ONE_DAY_MS,
      });
      const ports = entry.servicePorts ?? [];
      (entry.serviceAddresses ?? []).forEach((address, index) => {
        this.context.services.associate(address, ports[index] ?? 0, serviceId);
      });
    }
  }

  private sendBase(request: sailquay.flow.BaseRequest.$Properties, to: InboundControlMessage): void {
    const baseVersion = request.baseVersion ?? 0;
    const base = this.context.bases.get(baseVersion);
    if (!base) return;
    const common = (request.knownVersions ?? []).filter((version) => this.context.bases.has(version));
    const differenceFrom = common.reduce((newest, version) => Math.max(newest, version), 0);
    const reference = this.context.bases.get(differenceFrom);
    const changed = [...base.values()].filter(
      (service) => !sameBackends(service, reference?.get(service.id)),
    );
    const removedServiceIds = [...(reference?.keys() ?? [])].filter((id) => !base.has(id));
    const parts = splitServices(changed);
    parts.forEach((services, part) => {
      const reply = { baseVersion, differenceFrom, part, partCount: parts.length, services };
      this.send({ baseReply: { ...reply, removedServiceIds: part === 0 ? removedServiceIds : [] } }, to);
    });
  }

  private learnBase(reply: sailquay.flow.BaseReply.$Properties, from: InboundControlMessage): void {
    const version = reply.baseVersion ?? 0;
    const differenceFrom = reply.differenceFrom ?? 0;
    if (version <= 0 || this.context.bases.has(version)) return;
    const parts = this.collectParts(`${from.senderId} ${version} ${differenceFrom}`, reply);
    if (!parts) return;
    const reference = this.context.bases.get(differenceFrom);
    if (differenceFrom > 0 && !reference) return;
    this.context.bases.learn(version, assembleBase(parts, reference));
  }

  /** Adds one part of a base; every part once the base is whole. */
  private collectParts(
    key: string,
    reply: sailquay.flow.BaseReply.$Properties,
  ): sailquay.flow.BaseReply.$Properties[] | undefined {
    const assembly = this.assemblies.get(key) ?? { parts: new Map(), partCount: reply.partCount ?? 1 };
    this.assemblies.set(key, assembly);
    assembly.parts.set(reply.part ?? 0, reply);
    if (assembly.parts.size < assembly.partCount) return undefined;
    this.assemblies.delete(key);
    return [...assembly.parts.values()];
  }

  private send(message: sailquay.flow.HandoverMessage.$Properties, to: InboundControlMessage): void {
    const payload = HandoverMessage.encode(message).finish();
    this.context.components.control.send(to.from, 'handover', payload);
  }
}

/** Cuts services into parts of a bounded number of back ends; a large service is continued in the next part. */
function splitServices(services: readonly EffectiveService[]): sailquay.flow.BaseService.$Properties[][] {
  const parts: sailquay.flow.BaseService.$Properties[][] = [[]];
  let room = BACKENDS_PER_PART;
  for (const service of services) {
    let rest = service.backends;
    do {
      if (room <= 0) {
        parts.push([]);
        room = BACKENDS_PER_PART;
      }
      const backends = rest.slice(0, room).map(describeBackend);
      parts.at(-1)!.push({ id: service.id, backends });
      rest = rest.slice(backends.length);
      room -= backends.length + 1;
    } while (rest.length > 0);
  }
  return parts;
}

function describeBackend(backend: EffectiveBackend): sailquay.flow.BaseBackend.$Properties {
  const { id, weight, endpoint } = backend;
  return { id, weight, host: endpoint.host, port: endpoint.port };
}

function assembleBase(
  replies: readonly sailquay.flow.BaseReply.$Properties[],
  reference: BaseSet | undefined,
): BaseSet {
  const base = new Map(reference ?? []);
  for (const reply of replies) for (const id of reply.removedServiceIds ?? []) base.delete(id);
  const changed = changedBackends(replies);
  for (const [id, backends] of changed) base.set(id, restoreService(id, backends));
  return base;
}

/** Back ends of each changed service, in the order of the parts: a large service is continued in the next part. */
function changedBackends(
  replies: readonly sailquay.flow.BaseReply.$Properties[],
): Map<number, EffectiveBackend[]> {
  const ordered = [...replies].sort((left, right) => (left.part ?? 0) - (right.part ?? 0));
  const changed = new Map<number, EffectiveBackend[]>();
  for (const service of ordered.flatMap((reply) => reply.services ?? [])) {
    const backends = changed.get(service.id ?? 0) ?? [];
    changed.set(service.id ?? 0, backends);
    backends.push(...(service.backends ?? []).map(restoreBackend));
  }
  return changed;
}

/** A back end of an older base: only what the first choice needs is known. */
function restoreBackend(backend: sailquay.flow.BaseBackend.$Properties): EffectiveBackend {
  const endpoint = { host: backend.host ?? '', port: backend.port ?? 0 };
  return {
    id: backend.id ?? 0,
    weight: backend.weight ?? 1,
    endpoint,
    name: '',
    zone: '',
    health: endpoint,
    maxConnections: 0,
    slots: 0,
    draining: false,
  };
}

function restoreService(id: number, backends: readonly EffectiveBackend[]): EffectiveService {
  return {
    id,
    name: '',
    site: '',
    address: { host: '0.0.0.0', port: 0 },
    unknownFlow: 'drop',
    idleTimeoutMs: ONE_DAY_MS,
    zonePreference: 0,
    limits: UNLIMITED_SERVICE,
    healthPolicy: {
      probeIntervalMs: 0,
      probeTimeoutMs: 0,
      unhealthyThreshold: 1,
      healthyThreshold: 1,
      maxEjectedShare: 0,
      panicShare: 0,
      slowStartMs: 0,
    },
    backends,
  };
}
