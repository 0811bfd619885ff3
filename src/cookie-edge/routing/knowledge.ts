/**
 * What this daemon knows of routes, back ends and cordoned zones, up to which position of the source's history that is
 * complete, and when it was last confirmed. Owns the table in force, the registry and the cordons. Relies on followers
 * and gossip to bring updates and confirmations, and on `source-epoch.ts` for their order.
 */
import type { Clock } from '../../common/clock.js';
import { Subject } from '../../common/event-stream.js';
import type { EventLog } from '../../observability/event.js';
import { BackendRegistry } from './backend-registry.js';
import { ROUTING_EVENTS } from './events.js';
import type { RouteIndex } from './route-index.js';
import { RoutesInForce } from './routes-in-force.js';
import { compareEpochs, epochOf, isBefore, type EpochRelation } from './source-epoch.js';
import type { RoutingTopic, RoutingUpdate, TopicConfirmation } from './types.js';
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

/** How an update is applied. */
interface Application extends UpdateOrigin {
  /** It leaves out changes that are not known here. */
  readonly hasGap: boolean;
  /** It begins an epoch: the source was restored from an older copy. */
  readonly beginsEpoch: boolean;
  /** Nothing of the topic was known before. */
  readonly isFirst: boolean;
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
  private readonly routesInForce: RoutesInForce;
  private readonly progress: Record<RoutingTopic, TopicConfirmation> = {
    routes: NOTHING_KNOWN,
    backends: NOTHING_KNOWN,
    cordons: NOTHING_KNOWN,
  };
  private readonly applied = new Subject<AppliedUpdate>();

  constructor(private readonly options: RoutingKnowledgeOptions) {
    this.backends = new BackendRegistry(options);
    this.cordons = new ZoneCordons(options.events);
    this.routesInForce = new RoutesInForce(options.events);
    this.topics = options.followsCordons ? TOPICS_WITH_CORDONS : TOPICS;
  }

  /** The routes in force; undefined before the first table. */
  routes(): RouteIndex | undefined {
    return this.routesInForce.index;
  }

  /** True once every topic is known completely, and there are routes. */
  isComplete(): boolean {
    return this.routes() !== undefined && this.hasBeenRead();
  }

  /** True once the source has answered for every topic, even without any routes. */
  hasBeenRead(): boolean {
    return this.topics.every((topic) => this.progress[topic].revision > UNKNOWN_REVISION);
  }

  /** Revision up to which a topic is known, in the topic's epoch; -1 before the first complete update. */
  revisionOf(topic: RoutingTopic): number {
    return this.progress[topic].revision;
  }

  /** Epoch of the source up to which a topic is known; 0 before the first complete update. */
  epochOf(topic: RoutingTopic): number {
    return epochOf(this.progress[topic]);
  }

  /**
   * Revision of the table in force, in the epoch of the routes; -1 before the first one, for a table of an earlier
   * epoch, and while a change showed that it is not the source's.
   */
  get tableRevision(): number {
    return this.routesInForce.revisionIn(this.epochOf('routes'));
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
   * the topic does not count as known up to them. Of a later epoch only a complete update is applied.
   *
   * @returns false when there is a gap, so that everything should be read
   */
  apply(topic: RoutingTopic, update: RoutingUpdate, origin: UpdateOrigin): boolean {
    if (!this.topics.includes(topic)) return true;
    const relation = this.relationOf(topic, update);
    if (relation === 'earlier') return true;
    if (relation === 'later' && !update.complete) return false;
    return this.applyWithin(topic, update, origin, relation === 'later');
  }

  /** Applies another daemon's freshness confirmation; returns false when it covers changes that are not known here. */
  applyConfirmation(topic: RoutingTopic, confirmation: TopicConfirmation): boolean {
    const known = this.progress[topic];
    const { epoch, changedRevision } = confirmation;
    if (isBefore(known, { epoch, revision: changedRevision })) return false;
    if (compareEpochs(confirmation, known) !== 'same') return true;
    this.advance(topic, {
      ...confirmation,
      changedRevision: Math.max(changedRevision, known.changedRevision),
    });
    return true;
  }

  private relationOf(topic: RoutingTopic, update: RoutingUpdate): EpochRelation {
    const known = this.progress[topic];
    return known.revision === UNKNOWN_REVISION ? 'same' : compareEpochs(update, known);
  }

  private applyWithin(
    topic: RoutingTopic,
    update: RoutingUpdate,
    origin: UpdateOrigin,
    beginsEpoch: boolean,
  ): boolean {
    const isFirst = this.progress[topic].revision === UNKNOWN_REVISION;
    if (beginsEpoch) this.beginEpoch(topic, update);
    const { revision: before, changedRevision: changedBefore } = this.progress[topic];
    const tableBefore = this.routes()?.table;
    const hasGap = !update.complete && origin.since > before;
    if (!this.applyTopic(topic, update, { ...origin, hasGap, beginsEpoch, isFirst })) return false;
    const changed = update.complete ? update.revision > before : hasContent(update);
    const { revision, epoch } = update;
    const { confirmedAtMs } = origin;
    const changedRevision = changed ? revision : changedBefore;
    this.advance(topic, { epoch, revision, changedRevision, confirmedAtMs });
    this.confirmUpTo({ epoch, revision }, confirmedAtMs);
    if (!changed || revision <= before) return true;
    const passedOn =
      topic === 'routes' ? this.routesInForce.passedOn(update, tableBefore, beginsEpoch) : update;
    this.applied.push({ topic, update: passedOn, since: changedBefore });
    return true;
  }

  /** The source was restored from an older copy: revisions known so far say nothing about those from now on. */
  private beginEpoch(topic: RoutingTopic, { epoch, revision }: RoutingUpdate): void {
    const known = this.progress[topic];
    this.options.events.emit(ROUTING_EVENTS.epochBegan, {
      topic,
      epoch,
      revision,
      knownEpoch: epochOf(known),
      knownRevision: known.revision,
    });
    this.progress[topic] = { ...NOTHING_KNOWN, epoch };
    if (topic === 'backends') this.backends.beginEpoch();
    if (topic === 'cordons') this.cordons.beginEpoch();
  }

  /**
   * One revision counts the changes of all topics: where nothing newer existed, each topic known up to there is
   * current. A topic of an earlier epoch is not: the restore may have changed it.
   */
  private confirmUpTo(position: { readonly epoch?: number; readonly revision: number }, atMs: number): void {
    for (const topic of this.topics) {
      const known = this.progress[topic];
      const isCurrent = compareEpochs(known, position) === 'same' && known.revision >= position.revision;
      if (isCurrent) this.advance(topic, { ...known, confirmedAtMs: atMs });
    }
  }

  /** Never goes back: an older confirmation changes nothing. */
  private advance(topic: RoutingTopic, confirmation: TopicConfirmation): void {
    const known = this.progress[topic];
    if (confirmation.revision < known.revision) return;
    this.progress[topic] = {
      epoch: confirmation.epoch,
      revision: confirmation.revision,
      changedRevision: Math.max(known.changedRevision, confirmation.changedRevision),
      confirmedAtMs: Math.max(known.confirmedAtMs, confirmation.confirmedAtMs),
    };
  }

  /** False when the topic is not known up to the update's revision. */
  private applyTopic(topic: RoutingTopic, update: RoutingUpdate, how: Application): boolean {
    switch (topic) {
      case 'routes':
        return this.routesInForce.apply(update, how.hasGap);
      case 'backends':
        return this.applyBackends(update, how);
      case 'cordons':
        return this.applyCordons(update, how);
    }
  }

  /** False when records before the update's may be missing; those that it brings are applied all the same. */
  private applyBackends(update: RoutingUpdate, how: Application): boolean {
    const { revision: known } = this.progress.backends;
    if (update.complete && how.isFirst) this.backends.fill(update.backends, update.revision);
    if (how.beginsEpoch) update.backends.forEach((record) => this.backends.putRestored(record));
    const isNewest = update.complete && update.revision >= known;
    const knownRevision = isNewest ? UNKNOWN_REVISION : known;
    update.backends.forEach((record) => this.backends.put(record, knownRevision));
    update.departed?.forEach((departed) => this.backends.putDeparted(departed));
    update.removals.forEach((removal) => this.backends.remove(removal, how.mayHaveLapsed));
    if (!update.complete) return !how.hasGap;
    const listed = new Set(update.backends.map(({ id }) => id));
    this.backends.removeAllBut(listed, update.revision, how.mayHaveLapsed || how.beginsEpoch);
    return true;
  }

  /** False when cordons before the update's may be missing; those that it brings are applied all the same. */
  private applyCordons(update: RoutingUpdate, { hasGap, beginsEpoch }: Application): boolean {
    const { revision: known } = this.progress.cordons;
    const { cordons = [], cordonRemovals = [] } = update;
    const isNewest = update.complete && update.revision >= known;
    cordons.forEach((cordon) => this.cordons.put(cordon, isNewest ? UNKNOWN_REVISION : known));
    cordonRemovals.forEach((removal) => this.cordons.remove(removal));
    if (!update.complete) return !hasGap;
    const listed = new Set(cordons.map(({ zone }) => zone));
    if (beginsEpoch) this.cordons.holdAllBut(listed, this.options.clock.now());
    else this.cordons.removeAllBut(listed, update.revision);
    return true;
  }

  /** Forgets back ends to which no flow can be open any more, and ends what is held after a restore of the source. */
  prune(): void {
    this.backends.prune();
    this.backends.settleRestored();
    this.cordons.settleRestored(this.options.clock.now());
  }
}

/** True when an update brings anything. */
export function hasContent(update: RoutingUpdate): boolean {
  const { routeChange, routes, backends, removals, cordons = [], cordonRemovals = [] } = update;
  if (routeChange) return true;
  return [routes, backends, removals, cordons, cordonRemovals].some(({ length }) => length > 0);
}
