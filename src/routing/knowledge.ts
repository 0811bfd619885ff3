/** What this balancer knows of routes and back ends, how far it is complete, and when that was last proved. */
import type { Clock } from '../common/clock.js';
import { Subject } from '../common/event-stream.js';
import type { EventLog } from '../observability/event.js';
import { BackendRegistry } from './backend-registry.js';
import { ROUTING_EVENTS } from './events.js';
import { RouteIndex } from './route-index.js';
import type { RouteTable, RoutingTopic, RoutingUpdate } from './types.js';

/** How far a topic is known. */
export interface TopicProgress {
  /** Everything up to this revision of the source is known; -1 before the first complete update. */
  revision: number;
  /** Monotonic ms at which nothing newer than `revision` existed; -Infinity before the first proof. */
  provedAtMs: number;
}

/** An update that changed what is known, for those who pass it on. */
export interface AppliedUpdate {
  readonly topic: RoutingTopic;
  readonly update: RoutingUpdate;
  /** Revision known before. */
  readonly since: number;
}

/** What the knowledge needs. */
export interface RoutingKnowledgeOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  /** See `BackendRegistryOptions.retentionMs`. */
  readonly retentionMs: number;
}

const UNKNOWN_REVISION = -1;

/** See the module. Updates may come in any order and more than once; nothing older is ever applied. */
export class RoutingKnowledge {
  readonly backends: BackendRegistry;
  private index: RouteIndex | undefined;
  private readonly progress: Readonly<Record<RoutingTopic, TopicProgress>> = {
    routes: { revision: UNKNOWN_REVISION, provedAtMs: Number.NEGATIVE_INFINITY },
    backends: { revision: UNKNOWN_REVISION, provedAtMs: Number.NEGATIVE_INFINITY },
  };
  private readonly applied = new Subject<AppliedUpdate>();

  constructor(private readonly options: RoutingKnowledgeOptions) {
    this.backends = new BackendRegistry(options);
  }

  /** The routes in force; undefined before the first table. */
  routes(): RouteIndex | undefined {
    return this.index;
  }

  /** True once both topics are known completely. */
  isComplete(): boolean {
    return this.index !== undefined && this.progress.backends.revision > UNKNOWN_REVISION;
  }

  /** Revision up to which a topic is known; -1 before the first complete update. */
  revisionOf(topic: RoutingTopic): number {
    return this.progress[topic].revision;
  }

  /** Milliseconds since it was proved that nothing newer exists; Infinity before the first proof. */
  ageOf(topic: RoutingTopic): number {
    return this.options.clock.now() - this.progress[topic].provedAtMs;
  }

  /** Age of the older topic. */
  age(): number {
    return Math.max(this.ageOf('routes'), this.ageOf('backends'));
  }

  /** Calls `listener` after each update that brought a newer revision; returns the function that ends it. */
  subscribe(listener: (applied: AppliedUpdate) => void): () => void {
    return this.applied.subscribe(listener);
  }

  /**
   * Takes an update in. Changes since a later revision than the known one leave a gap: their records are taken, but
   * the topic does not count as known up to them.
   *
   * @param since revision after which the changes were asked for; ignored for a complete update
   * @param provedAtMs monotonic ms at which nothing newer than the update existed
   * @param mayHaveLapsed true when records may have vanished because their owners could not write
   * @returns false when there is a gap, so that everything should be read
   */
  apply(
    topic: RoutingTopic,
    update: RoutingUpdate,
    proof: { readonly since: number; readonly provedAtMs: number; readonly mayHaveLapsed: boolean },
  ): boolean {
    if (topic === 'routes') update.routes.forEach((table) => this.applyTable(table));
    else this.applyBackends(update, proof.mayHaveLapsed);
    return this.advance(topic, update, proof);
  }

  private advance(
    topic: RoutingTopic,
    update: RoutingUpdate,
    { since, provedAtMs }: { readonly since: number; readonly provedAtMs: number },
  ): boolean {
    const progress = this.progress[topic];
    const before = progress.revision;
    if (!update.complete && since > before) return false;
    if (update.revision < before) return true;
    progress.revision = update.revision;
    progress.provedAtMs = Math.max(progress.provedAtMs, provedAtMs);
    if (update.revision > before) this.applied.push({ topic, update, since: before });
    return true;
  }

  private applyTable(table: RouteTable): void {
    const current = this.index?.table;
    if (current && (table.revision <= current.revision || table.version < current.version)) {
      if (table.revision === current.revision) return;
      this.options.events.emit(ROUTING_EVENTS.olderIgnored, {
        version: table.version,
        revision: table.revision,
        inForce: current.version,
      });
      return;
    }
    this.index = new RouteIndex(table);
    this.options.events.emit(ROUTING_EVENTS.routesInForce, {
      version: table.version,
      revision: table.revision,
      previous: current?.version,
      routes: table.routes.length,
      services: table.services.length,
    });
  }

  private applyBackends(update: RoutingUpdate, mayHaveLapsed: boolean): void {
    const knownRevision = update.complete ? UNKNOWN_REVISION : this.progress.backends.revision;
    update.backends.forEach((record) => this.backends.put(record, knownRevision));
    update.removals.forEach((removal) => this.backends.remove(removal, mayHaveLapsed));
    if (!update.complete) return;
    const listed = new Set(update.backends.map(({ id }) => id));
    this.backends.removeAllBut(listed, update.revision, mayHaveLapsed);
  }
}
