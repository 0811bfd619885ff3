/**
 * Back ends by a dense local index (in flow tables) and by a 32-bit key (in messages). The key covers the node path and
 * the endpoint, so a back end that moves to another endpoint keeps its established flows where they are. Entries stay
 * after a back end left the settings tree, because flows may still refer to it.
 */
import { combine32, hashString } from '../../common/hash.js';
import type { Endpoint } from '../../common/types.js';
import type { EffectiveBackend, EffectiveService } from '../../settings/types.js';
import { BackendIndexExhaustedError } from './errors.js';

const MAX_ENTRIES = 65_535;

/** Open flows, shared by all entries of one back end or one service. */
interface FlowCount {
  open: number;
}

/** One back end as flow tables and messages refer to it. */
export interface BackendEntry {
  readonly index: number;
  /** Identifier in messages between balancers. */
  readonly key: number;
  /** `EffectiveBackend.id`. */
  readonly id: number;
  readonly serviceId: number;
  readonly endpoint: Endpoint;
  /** Idle time after which its flows are forgotten; follows the settings while the service exists. */
  idleTimeoutSeconds: number;
  readonly backendFlows: FlowCount;
  readonly serviceFlows: FlowCount;
}

/** What is needed to add an entry. */
interface BackendDescription {
  readonly id: number;
  readonly serviceId: number;
  readonly endpoint: Endpoint;
  readonly idleTimeoutMs: number;
}

/** Key of a back end at an endpoint. */
export function backendKey(id: number, endpoint: Endpoint): number {
  return combine32(id, combine32(hashString(endpoint.host), endpoint.port));
}

/** All back ends seen since start. */
export class BackendCatalogue {
  private readonly entries: BackendEntry[] = [];
  private readonly byKey = new Map<number, BackendEntry>();
  private readonly backendCounts = new Map<number, FlowCount>();
  private readonly serviceCounts = new Map<number, FlowCount>();

  /** The entry at an index that `entry` or `learn` gave out. */
  at(index: number): BackendEntry {
    return this.entries[index]!;
  }

  find(key: number): BackendEntry | undefined {
    return this.byKey.get(key);
  }

  /** Entry of a back end of the settings tree. */
  entry(service: EffectiveService, backend: EffectiveBackend): BackendEntry {
    return this.learn({
      id: backend.id,
      serviceId: service.id,
      endpoint: backend.endpoint,
      idleTimeoutMs: service.idleTimeoutMs,
    });
  }

  /** Adds a back end unless it is known. Throws `BackendIndexExhaustedError`. */
  learn(description: BackendDescription): BackendEntry {
    const key = backendKey(description.id, description.endpoint);
    const known = this.byKey.get(key);
    if (known) return known;
    if (this.entries.length >= MAX_ENTRIES) throw new BackendIndexExhaustedError(MAX_ENTRIES);
    const entry: BackendEntry = {
      index: this.entries.length,
      key,
      id: description.id,
      serviceId: description.serviceId,
      endpoint: description.endpoint,
      idleTimeoutSeconds: Math.ceil(description.idleTimeoutMs / 1_000),
      backendFlows: countOf(this.backendCounts, description.id),
      serviceFlows: countOf(this.serviceCounts, description.serviceId),
    };
    this.entries.push(entry);
    this.byKey.set(key, entry);
    return entry;
  }

  /** Learns every back end of the settings in force, and their idle timeouts. */
  refresh(services: readonly EffectiveService[]): void {
    for (const service of services) {
      for (const backend of service.backends) this.entry(service, backend);
    }
    const timeouts = new Map(services.map((service) => [service.id, service.idleTimeoutMs]));
    for (const entry of this.entries) {
      const timeoutMs = timeouts.get(entry.serviceId);
      if (timeoutMs !== undefined) entry.idleTimeoutSeconds = Math.ceil(timeoutMs / 1_000);
    }
  }

  /** Flows kept here for a back end, by `EffectiveBackend.id`. */
  openFlows(backendId: number): number {
    return this.backendCounts.get(backendId)?.open ?? 0;
  }

  /** Flows kept here for a service, by `EffectiveService.id`. */
  openFlowsOfService(serviceId: number): number {
    return this.serviceCounts.get(serviceId)?.open ?? 0;
  }
}

function countOf(counts: Map<number, FlowCount>, id: number): FlowCount {
  let count = counts.get(id);
  if (!count) {
    count = { open: 0 };
    counts.set(id, count);
  }
  return count;
}
