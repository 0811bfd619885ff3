/**
 * What this daemon knows of routes, back ends and cordoned zones, up to which revision that is complete, and when it
 * was last confirmed. Owns the route table, the registry and the cordons. Relies on followers and gossip to bring
 * updates and confirmations.
 */
import type { Clock } from '../../common/clock.js';
import { Subject } from '../../common/event-stream.js';
import type { EventLog } from '../../observability/event.js';
import { BackendRegistry } from './backend-registry.js';
import { ROUTING_EVENTS } from './events.js';
import { RouteIndex } from './route-index.js';
import { applyTableChange, compareTables } from './route-table-change.js';
import type {
  RouteTable,
  RouteTableChange,
  RoutingTopic,
  RoutingUpdate,
  TopicConfirmation,
} from './types.js';
import { ZoneCordons } from './zone-cordons.js';

/** An update that changed what is known, as it is gossiped further. */
export interface AppliedUpdate {
  readonly topic: RoutingTopic;
  readonly update: RoutingUpdate;
  /** A daemon that knows everything up to this revision, or a later one, can apply the update. */
  readonly since: number;
}

/** Where an update comes from. */
export interface UpdateOrigin {
  /** Revision after which the changes were requested; ignored for a complete update. */
  readonly since: number;
  /** Monotonic ms at which nothing newer than the update existed. */
  readonly confirmedAtMs: number;
  /** True when records may have vanished because their owners could not write. */
  readonly mayHaveLapsed: boolean;
}

/** What the knowledge needs. */
interface RoutingKnowledgeOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  /** See `BackendRegistryOptions.retentionMs`. */
  readonly retentionMs: number;
  /** True where operators may cordon zones; false unless given. */
  readonly followsCordons?: boolean;
}

const TOPICS: readonly RoutingTopic[] = ['routes', 'backends'];
const TOPICS_WITH_CORDONS: readonly RoutingTopic[] = [...TOPICS, 'cordons'];

const UNKNOWN_REVISION = -1;
const NOTHING_KNOWN: TopicConfirmation = {
  revision: UNKNOWN_REVISION,
  changedRevision: UNKNOWN_REVISION,
  confirmedAtMs: Number.NEGATIVE_INFINITY,
};

/**
 * The routing knowledge of one daemon. Updates may come in any order and more than once; nothing older is ever applied.
 */
export class RoutingKnowledge {
  readonly backends: BackendRegistry;
  readonly cordons: ZoneCordons;
  /** What is followed; the topics of a source that are not among these are ignored. */
  readonly topics: readonly RoutingTopic[];
  private index: RouteIndex | undefined;
  /** True after a change for the table in force led to another table than its digest says. */
  private isTableDoubted = false;
  private readonly progress: Record<RoutingTopic, TopicConfirmation> = {
    routes: NOTHING_KNOWN,
    backends: NOTHING_KNOWN,
    cordons: NOTHING_KNOWN,
  };
  private readonly applied = new Subject<AppliedUpdate>();

  constructor(private readonly options: RoutingKnowledgeOptions) {
    this.backends = new BackendRegistry(options);
    this.cordons = new ZoneCordons(options.events);
    this.topics = options.followsCordons ? TOPICS_WITH_CORDONS : TOPICS;
  }

  /** The routes in force; undefined before the first table. */
  routes(): RouteIndex | undefined {
    return this.index;
  }

  /** True once every topic is known completely, and there are routes. */
  isComplete(): boolean {
    return this.index !== undefined && this.hasBeenRead();
  }

  /** True once the source has answered for every topic, even without any routes. */
  hasBeenRead(): boolean {
    return this.topics.every((topic) => this.progress[topic].revision > UNKNOWN_REVISION);
  }

  /** Revision up to which a topic is known; -1 before the first complete update. */
  revisionOf(topic: RoutingTopic): number {
    return this.progress[topic].revision;
  }

  /** Revision of the table in force; -1 before the first one, and while a change showed that it is not the source's. */
  get tableRevision(): number {
    return this.isTableDoubted ? UNKNOWN_REVISION : (this.index?.table.revision ?? UNKNOWN_REVISION);
  }

  /** Milliseconds since it was confirmed that nothing newer exists; Infinity before the first confirmation. */
  ageOf(topic: RoutingTopic): number {
    return this.options.clock.now() - this.progress[topic].confirmedAtMs;
  }

  /** Age of the oldest topic. */
  age(): number {
    return Math.max(...this.topics.map((topic) => this.ageOf(topic)));
  }

  /** The freshness confirmation of a topic, as it is gossiped. */
  confirmationOf(topic: RoutingTopic): TopicConfirmation {
    return this.progress[topic];
  }

  /** Calls `listener` after each update that changed something; returns the function that ends it. */
  subscribe(listener: (applied: AppliedUpdate) => void): () => void {
    return this.applied.subscribe(listener);
  }

  /**
   * Applies an update. Changes since a later revision than the known one leave a gap: their records are applied, but
   * the topic does not count as known up to them.
   *
   * @returns false when there is a gap, so that everything should be read
   */
  apply(topic: RoutingTopic, update: RoutingUpdate, origin: UpdateOrigin): boolean {
    if (!this.topics.includes(topic)) return true;
    const { revision: before, changedRevision: changedBefore } = this.progress[topic];
    const tableBefore = this.index?.table;
    const hasGap = !update.complete && origin.since > before;
    if (!this.applyTopic(topic, update, origin, hasGap)) return false;
    const changed = update.complete ? update.revision > before : hasContent(update);
    const { revision } = update;
    const changedRevision = changed ? revision : changedBefore;
    this.advance(topic, { revision, changedRevision, confirmedAtMs: origin.confirmedAtMs });
    this.confirmUpTo(revision, origin.confirmedAtMs);
    if (!changed || revision <= before) return true;
    const passedOn = topic === 'routes' ? this.asTableChange(update, tableBefore) : update;
    this.applied.push({ topic, update: passedOn, since: changedBefore });
    return true;
  }

  /** Applies another daemon's freshness confirmation; returns false when it covers changes that are not known here. */
  applyConfirmation(topic: RoutingTopic, confirmation: TopicConfirmation): boolean {
    const { revision, changedRevision } = this.progress[topic];
    if (confirmation.changedRevision > revision) return false;
    this.advance(topic, {
      ...confirmation,
      changedRevision: Math.max(confirmation.changedRevision, changedRevision),
    });
    return true;
  }

  /**
   * One revision counts the changes of all topics: where nothing newer existed, each topic known up to there is
   * current.
   */
  private confirmUpTo(revision: number, confirmedAtMs: number): void {
    for (const topic of this.topics) {
      const known = this.progress[topic];
      if (known.revision >= revision) this.advance(topic, { ...known, confirmedAtMs });
    }
  }

  /** Never goes back: an older confirmation changes nothing. */
  private advance(topic: RoutingTopic, confirmation: TopicConfirmation): void {
    const known = this.progress[topic];
    if (confirmation.revision < known.revision) return;
    this.progress[topic] = {
      revision: confirmation.revision,
      changedRevision: Math.max(known.changedRevision, confirmation.changedRevision),
      confirmedAtMs: Math.max(known.confirmedAtMs, confirmation.confirmedAtMs),
    };
  }

  /** False when the topic is not known up to the update's revision. */
  private applyTopic(
    topic: RoutingTopic,
    update: RoutingUpdate,
    origin: UpdateOrigin,
    hasGap: boolean,
  ): boolean {
    switch (topic) {
      case 'routes':
        return this.applyRoutes(update, hasGap);
      case 'backends':
        return this.applyBackends(update, origin, hasGap);
      case 'cordons':
        return this.applyCordons(update, hasGap);
    }
  }

  /** False when the table is not known up to the update's revision. A change that fits the table leaves no gap. */
  private applyRoutes({ routes, routeChange }: RoutingUpdate, hasGap: boolean): boolean {
    routes.forEach((table) => this.applyTable(table));
    const table = this.index?.table;
    if (!routeChange) return !hasGap;
    if (!table) return false;
    if (routeChange.revision < table.revision) return !hasGap;
    return this.applyRouteChange(table, routeChange);
  }

  private applyRouteChange(table: RouteTable, change: RouteTableChange): boolean {
    const changed = applyTableChange(table, change);
    if (changed) this.applyTable(changed);
    else if (change.fromRevisions.includes(table.revision)) this.doubtTable(table, change);
    return changed !== undefined;
  }

  /** Marks the table as doubtful, so that the whole one is fetched; until it comes, this one stays in force. */
  private doubtTable({ version, revision }: RouteTable, change: RouteTableChange): void {
    this.isTableDoubted = true;
    this.options.events.emit(ROUTING_EVENTS.tableDoubted, { version, revision, changeTo: change.revision });
  }

  /** The update in the form in which others get it: what changed in the table that they know as well. */
  private asTableChange(update: RoutingUpdate, before: RouteTable | undefined): RoutingUpdate {
    const after = this.index?.table;
    if (update.routes.length === 0 || !after || !before) return update;
    return { ...update, complete: false, routes: [], routeChange: compareTables(before, after) };
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
    this.isTableDoubted = false;
    this.options.events.emit(ROUTING_EVENTS.routesInForce, {
      version: table.version,
      revision: table.revision,
      previous: current?.version,
      routes: table.routes.length,
      services: table.services.length,
    });
  }

  /** False when records before the update's may be missing; those that it brings are applied all the same. */
  private applyBackends(update: RoutingUpdate, { mayHaveLapsed }: UpdateOrigin, hasGap: boolean): boolean {
    const { revision: known } = this.progress.backends;
    if (update.complete && known === UNKNOWN_REVISION) this.backends.fill(update.backends, update.revision);
    const isNewest = update.complete && update.revision >= known;
    const knownRevision = isNewest ? UNKNOWN_REVISION : known;
    update.backends.forEach((record) => this.backends.put(record, knownRevision));
    update.departed?.forEach((departed) => this.backends.putDeparted(departed));
    update.removals.forEach((removal) => this.backends.remove(removal, mayHaveLapsed));
    if (!update.complete) return !hasGap;
    const listed = new Set(update.backends.map(({ id }) => id));
    this.backends.removeAllBut(listed, update.revision, mayHaveLapsed);
    return true;
  }

  /** False when cordons before the update's may be missing; those that it brings are applied all the same. */
  private applyCordons(update: RoutingUpdate, hasGap: boolean): boolean {
    const { revision: known } = this.progress.cordons;
    const { cordons = [], cordonRemovals = [] } = update;
    const isNewest = update.complete && update.revision >= known;
    cordons.forEach((cordon) => this.cordons.put(cordon, isNewest ? UNKNOWN_REVISION : known));
    cordonRemovals.forEach((removal) => this.cordons.remove(removal));
    if (!update.complete) return !hasGap;
    this.cordons.removeAllBut(new Set(cordons.map(({ zone }) => zone)), update.revision);
    return true;
  }
}

/** True when an update brings anything. */
export function hasContent(update: RoutingUpdate): boolean {
  const { routeChange, routes, backends, removals, cordons = [], cordonRemovals = [] } = update;
  if (routeChange) return true;
  return [routes, backends, removals, cordons, cordonRemovals].some(({ length }) => length > 0);
}
