/**
 * Routing state of this daemon: routes, back ends and cordoned zones, the position in the source's history up to which
 * each is complete, and the time when it was last confirmed. Owns the table in force, the registry and the cordons.
 * Relies on followers and gossip for updates and confirmations, and on `source-epoch.ts` for their order.
 */
import type { Clock } from '../../common/clock.js';
import { Subject } from '../../common/event-stream.js';
import type { EventLog } from '../../observability/event.js';
import { BackendRegistry } from './backend-registry.js';
import { ROUTING_EVENTS } from './events.js';
import type { RouteIndex } from './route-index.js';
import { RoutesInForce } from './routes-in-force.js';
import { compareEpochs, epochOf, isBefore, type EpochRelation } from './source-epoch.js';
import { TopicConfirmations, UNKNOWN_REVISION } from './topic-confirmations.js';
import type { ConfirmationOrigin, RoutingTopic, RoutingUpdate, TopicConfirmation } from './types.js';
import { ZoneCordons } from './zone-cordons.js';

/** An update that changed the state, in the form in which it is gossiped. */
export interface AppliedUpdate {
  readonly topic: RoutingTopic;
  readonly update: RoutingUpdate;
  /** A daemon whose state is complete up to this revision, or a later one, can apply the update. */
  readonly since: number;
}

/** Origin and time of an update. */
export interface UpdateOrigin {
  /** Revision after which the changes were requested; ignored for a complete update. */
  readonly since: number;
  /** Monotonic ms at which the source had nothing newer than the update. */
  readonly confirmedAtMs: number;
  /** True when records may be missing only because back ends could not write them. */
  readonly mayHaveLapsed: boolean;
}

interface RoutingKnowledgeOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  /** See `BackendRegistryOptions.retentionMs`. */
  readonly retentionMs: number;
  /** True where operators can cordon zones. Default: false. */
  readonly followsCordons?: boolean;
}

/** An update's origin, and its relation to the known state. */
interface ApplyContext extends UpdateOrigin {
  /** True when changes between the known state and the update are missing. */
  readonly hasGap: boolean;
  /** True when the update starts an epoch: the source was restored from an older backup. */
  readonly beginsEpoch: boolean;
  /** True when nothing of the topic was known before. */
  readonly isFirstUpdate: boolean;
}

const TOPICS: readonly RoutingTopic[] = ['routes', 'backends'];
const TOPICS_WITH_CORDONS: readonly RoutingTopic[] = [...TOPICS, 'cordons'];

/**
 * The routing state of one daemon. Updates may arrive in any order and repeatedly; outdated content is never applied.
 */
export class RoutingKnowledge {
  readonly backends: BackendRegistry;
  readonly cordons: ZoneCordons;
  /** Topics that this daemon follows; updates of other topics are ignored. */
  readonly topics: readonly RoutingTopic[];
  private readonly routesInForce: RoutesInForce;
  private readonly confirmations = new TopicConfirmations();
  private readonly appliedUpdates = new Subject<AppliedUpdate>();

  constructor(private readonly options: RoutingKnowledgeOptions) {
    this.backends = new BackendRegistry(options);
    this.cordons = new ZoneCordons(options.events);
    this.routesInForce = new RoutesInForce(options.events);
    this.topics = options.followsCordons ? TOPICS_WITH_CORDONS : TOPICS;
  }

  /** Returns the routes in force; undefined before the first table. */
  routes(): RouteIndex | undefined {
    return this.routesInForce.index;
  }

  /** Returns true once every topic has been received and there is a route table. */
  isComplete(): boolean {
    return this.routes() !== undefined && this.hasAllTopics();
  }

  /** Returns true once every topic has been received, even without a route table. */
  hasAllTopics(): boolean {
    return this.topics.every((topic) => this.confirmations.of(topic).revision > UNKNOWN_REVISION);
  }

  /** Returns the revision up to which a topic is known, in its epoch; -1 before the first complete update. */
  revisionOf(topic: RoutingTopic): number {
    return this.confirmations.of(topic).revision;
  }

  /** Returns the epoch of the source up to which a topic is known; 0 before the first complete update. */
  epochOf(topic: RoutingTopic): number {
    return epochOf(this.confirmations.of(topic));
  }

  /**
   * Revision of the table in force, in the epoch of the routes; -1 before the first table, for a table of an earlier
   * epoch, and after a digest mismatch.
   */
  get tableRevision(): number {
    return this.routesInForce.revisionIn(this.epochOf('routes'));
  }

  /** Returns the ms since a topic was last confirmed as current; Infinity before the first confirmation. */
  ageOf(topic: RoutingTopic): number {
    return this.options.clock.now() - this.confirmations.of(topic).confirmedAtMs;
  }

  /** Returns the age of the oldest topic, in ms. */
  maxTopicAge(): number {
    return Math.max(...this.topics.map((topic) => this.ageOf(topic)));
  }

  /** Returns the freshness confirmation of a topic, as it is gossiped. */
  confirmationOf(topic: RoutingTopic): TopicConfirmation {
    return this.confirmations.of(topic);
  }

  /** Returns who confirmed a topic last; undefined before the first confirmation. */
  confirmedBy(topic: RoutingTopic): ConfirmationOrigin | undefined {
    return this.confirmations.originOf(topic);
  }

  /** Calls `listener` after each update that changed something; returns an unsubscribe function. */
  subscribe(listener: (applied: AppliedUpdate) => void): () => void {
    return this.appliedUpdates.subscribe(listener);
  }

  /**
   * Applies an update. Changes that start after the known revision leave a gap: their records are applied, but the
   * known revision stays. Only a complete update can start a later epoch.
   *
   * @returns false when there is a gap, so that the whole topic must be read
   */
  apply(topic: RoutingTopic, update: RoutingUpdate, origin: UpdateOrigin): boolean {
    if (!this.topics.includes(topic)) return true;
    const relation = this.epochRelationOf(topic, update);
    if (relation === 'earlier') return true;
    if (relation === 'later' && !update.complete) return false;
    return this.applyInEpoch(topic, update, origin, relation === 'later');
  }

  /**
   * Applies a peer's freshness confirmation; returns false when it covers changes that are missing here.
   *
   * @param peer `host:port` of the peer
   */
  applyConfirmation(topic: RoutingTopic, confirmation: TopicConfirmation, peer: string): boolean {
    const known = this.confirmations.of(topic);
    const { epoch, changedRevision } = confirmation;
    if (isBefore(known, { epoch, revision: changedRevision })) return false;
    if (compareEpochs(confirmation, known) !== 'same') return true;
    this.confirmations.advance(topic, confirmation, `peer-${peer}`);
    return true;
  }

  private epochRelationOf(topic: RoutingTopic, update: RoutingUpdate): EpochRelation {
    const known = this.confirmations.of(topic);
    return known.revision === UNKNOWN_REVISION ? 'same' : compareEpochs(update, known);
  }

  private applyInEpoch(
    topic: RoutingTopic,
    update: RoutingUpdate,
    origin: UpdateOrigin,
    beginsEpoch: boolean,
  ): boolean {
    const isFirst = this.confirmations.of(topic).revision === UNKNOWN_REVISION;
    if (beginsEpoch) this.beginEpoch(topic, update);
    const { revision: previousRevision, changedRevision: previousChangedRevision } =
      this.confirmations.of(topic);
    const previousTable = this.routes()?.table;
    const hasGap = !update.complete && origin.since > previousRevision;
    if (!this.applyTopic(topic, update, { ...origin, hasGap, beginsEpoch, isFirstUpdate: isFirst }))
      return false;
    const changed = update.complete ? update.revision > previousRevision : hasContent(update);
    const { revision, epoch } = update;
    const { confirmedAtMs } = origin;
    const changedRevision = changed ? revision : previousChangedRevision;
    const confirmedBy = `source-${topic}` as const;
    this.confirmations.advance(topic, { epoch, revision, changedRevision, confirmedAtMs }, confirmedBy);
    this.confirmations.confirmUpTo(this.topics, { epoch, revision }, confirmedAtMs, confirmedBy);
    if (!changed || revision <= previousRevision) return true;
    const updateToGossip =
      topic === 'routes' ? this.routesInForce.updateToGossip(update, previousTable, beginsEpoch) : update;
    this.appliedUpdates.push({ topic, update: updateToGossip, since: previousChangedRevision });
    return true;
  }

  /**
   * Starts an epoch: the source was restored from an older backup, so earlier revisions can't be compared with new
   * ones.
   */
  private beginEpoch(topic: RoutingTopic, { epoch, revision }: RoutingUpdate): void {
    const known = this.confirmations.of(topic);
    this.options.events.emit(ROUTING_EVENTS.epochBegan, {
      topic,
      epoch,
      revision,
      knownEpoch: epochOf(known),
      knownRevision: known.revision,
    });
    this.confirmations.beginEpoch(topic, epoch);
    if (topic === 'backends') this.backends.beginEpoch();
    if (topic === 'cordons') this.cordons.beginEpoch();
  }

  /** Returns false when the topic is not known up to the update's revision. */
  private applyTopic(topic: RoutingTopic, update: RoutingUpdate, context: ApplyContext): boolean {
    switch (topic) {
      case 'routes':
        return this.routesInForce.apply(update, context.hasGap);
      case 'backends':
        return this.applyBackends(update, context);
      case 'cordons':
        return this.applyCordons(update, context);
    }
  }

  /** Applies all records of the update; returns false when earlier records may be missing. */
  private applyBackends(update: RoutingUpdate, context: ApplyContext): boolean {
    const { revision: known } = this.confirmations.of('backends');
    if (update.complete && context.isFirstUpdate)
      this.backends.putFirstList(update.backends, update.revision);
    if (context.beginsEpoch) update.backends.forEach((record) => this.backends.putRestored(record));
    const isUpToDate = update.complete && update.revision >= known;
    const knownRevision = isUpToDate ? UNKNOWN_REVISION : known;
    update.backends.forEach((record) => this.backends.put(record, knownRevision));
    update.departed?.forEach((departed) => this.backends.putDeparted(departed));
    update.removals.forEach((removal) => this.backends.remove(removal, context.mayHaveLapsed));
    if (!update.complete) return !context.hasGap;
    const listed = new Set(update.backends.map(({ id }) => id));
    this.backends.removeUnlisted(listed, update.revision, context.mayHaveLapsed || context.beginsEpoch);
    return true;
  }

  /** Applies all cordons of the update; returns false when earlier cordons may be missing. */
  private applyCordons(update: RoutingUpdate, { hasGap, beginsEpoch }: ApplyContext): boolean {
    const { revision: known } = this.confirmations.of('cordons');
    const { cordons = [], cordonRemovals = [] } = update;
    const isUpToDate = update.complete && update.revision >= known;
    cordons.forEach((cordon) => this.cordons.put(cordon, isUpToDate ? UNKNOWN_REVISION : known));
    cordonRemovals.forEach((removal) => this.cordons.remove(removal));
    if (!update.complete) return !hasGap;
    const listed = new Set(cordons.map(({ zone }) => zone));
    if (beginsEpoch) this.cordons.holdUnlisted(listed, this.options.clock.now());
    else this.cordons.removeUnlisted(listed, update.revision);
    return true;
  }

  /** Evicts back ends that can have no open flows any more, and ends expired holds after a restore of the source. */
  prune(): void {
    this.backends.prune();
    this.backends.reinstateRestored();
    this.cordons.removeExpiredHolds(this.options.clock.now());
  }
}

/** Returns true when an update contains any record, removal or table. */
export function hasContent(update: RoutingUpdate): boolean {
  const { routeChange, routes, backends, removals, cordons = [], cordonRemovals = [] } = update;
  if (routeChange) return true;
  return [routes, backends, removals, cordons, cordonRemovals].some(({ length }) => length > 0);
}
