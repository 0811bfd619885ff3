/**
 * Registry of all back ends that are listed by the source or departed recently. Records and removals come from the
 * source and from peers, in any order: the one with the higher revision wins, and a removal wins over a record of
 * the same revision. A departed back end is kept until no flow to it can still be open. Owns the `KnownBackend`
 * objects, one per id; relies on `RoutingKnowledge` to detect gaps.
 */
import type { Clock } from '../../common/clock.js';
import { formatEndpoint } from '../../common/types.js';
import type { EventLog } from '../../observability/event.js';
import { RESTORED_HOLD_MS } from './constants.js';
import { ROUTING_EVENTS } from './events.js';
import { isOtherIncarnation } from './incarnation-rule.js';
import { countsAsLapsed } from './lapsed-records.js';
import { describeRecord, type KnownBackend } from './known-backend.js';
import type { BackendRemoval, DepartedBackend, RoutedBackend } from './types.js';

/** Placeholder where no record or removal has been received in the current epoch; lower than any revision. */
const UNKNOWN_REVISION = -1;

export interface BackendRegistryOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  /** How long a departed back end is kept. No flow to it can still be open after this time. */
  readonly retentionMs: number;
}

/** Stores the back ends of all services, including departed ones. Times are monotonic ms. */
export class BackendRegistry {
  private readonly byId = new Map<string, KnownBackend>();
  private readonly byService = new Map<string, Set<KnownBackend>>();
  private readonly departed = new Set<KnownBackend>();
  private readonly addListeners: ((backend: KnownBackend) => void)[] = [];
  private readonly discardListeners: ((backend: KnownBackend) => void)[] = [];

  constructor(private readonly options: BackendRegistryOptions) {}

  get(id: string): KnownBackend | undefined {
    return this.byId.get(id);
  }

  /** Number of departed back ends that are still kept. */
  get departedCount(): number {
    return this.departed.size;
  }

  /** Returns every back end, including departed ones. */
  all(): IterableIterator<KnownBackend> {
    return this.byId.values();
  }

  /** Returns the back ends of a service, including departed ones. */
  ofService(service: string): ReadonlySet<KnownBackend> {
    return this.byService.get(service) ?? NO_BACKENDS;
  }

  /** Counts the back ends of a service that have not departed. */
  countListed(service: string): number {
    let count = 0;
    for (const { departed } of this.ofService(service)) if (!departed) count += 1;
    return count;
  }

  /** Returns true when the service has a back end that is neither departed nor draining. */
  hasServingBackend(service: string): boolean {
    for (const { departed, record } of this.ofService(service))
      if (!departed && !record.draining) return true;
    return false;
  }

  /** Calls `listener` with each back end that is added. */
  onAdd(listener: (backend: KnownBackend) => void): void {
    this.addListeners.push(listener);
  }

  /** Calls `listener` with each back end that is removed from the registry. */
  onDiscard(listener: (backend: KnownBackend) => void): void {
    this.discardListeners.push(listener);
  }

  /** Stores the first complete list and writes one log line for all of its back ends. */
  putFirstList(records: readonly RoutedBackend[], revision: number): void {
    const added = records.filter(({ id }) => !this.byId.has(id));
    for (const record of added) this.notifyAdded(this.createBackend(record));
    const draining = added.filter((record) => record.draining).length;
    this.options.events.emit(ROUTING_EVENTS.firstListReceived, {
      backends: added.length,
      draining,
      revision,
    });
  }

  /**
   * Stores a record; returns false when it is not newer than the stored one.
   *
   * @param knownRevision the registry is complete up to this revision: a record of this revision or an older one
   *   that is missing here belongs to a back end that has departed since
   */
  put(record: RoutedBackend, knownRevision: number): boolean {
    const known = this.byId.get(record.id);
    if (!known) {
      const added = this.createBackend(record);
      this.options.events.emit(ROUTING_EVENTS.backendDiscovered, describeRecord(record));
      if (record.revision <= knownRevision) this.markDeparted(added, record.revision, false);
      this.notifyAdded(added);
      return true;
    }
    keepEarliestCreation(known, record);
    if (known.isNeverListed && record.revision <= knownRevision) return false;
    if (record.revision <= Math.max(known.record.revision, known.removedRevision)) return false;
    if (isOtherIncarnation(record, known.record)) this.replaceIncarnation(known, record);
    else this.replaceRecord(known, record);
    return true;
  }

  /**
   * Starts an epoch of the source. Revisions of earlier epochs cannot be compared with those of this one, so they are
   * reset. Records created in an earlier epoch then count as older than any created in this one. Without that, a new
   * back end at a reused address was considered dead, because it appeared to be the earlier of the two.
   */
  beginEpoch(): void {
    for (const known of this.byId.values()) {
      const { record } = known;
      known.record = { ...record, revision: UNKNOWN_REVISION, createdRevision: UNKNOWN_REVISION };
      known.removedRevision = UNKNOWN_REVISION;
    }
  }

  /**
   * Stores the record of a known back end from the first list of an epoch. The source was restored from a backup that
   * may be older than the stored record. So a draining back end stays draining, a departed one stays departed for
   * `RESTORED_HOLD_MS`, and slow start is never extended.
   */
  putRestored(record: RoutedBackend): void {
    const known = this.byId.get(record.id);
    if (!known) return;
    if (isOtherIncarnation(record, known.record)) {
      // The backup predates a restart of the process, which will write its current record again.
      known.record = { ...known.record, revision: record.revision };
      return;
    }
    const restored = { ...record, draining: record.draining || known.record.draining };
    if (known.departed && !known.lapsed) {
      known.record = { ...known.record, revision: record.revision };
      known.restored = { record: restored, listedAtMs: this.options.clock.now() };
      return;
    }
    const { coldUntilMs } = known;
    this.replaceRecord(known, restored);
    known.coldUntilMs = Math.min(coldUntilMs, known.coldUntilMs);
  }

  /** Lists a departed back end again once its restored record has been in the source for `RESTORED_HOLD_MS`. */
  reinstateRestored(): void {
    const nowMs = this.options.clock.now();
    for (const known of this.departed) {
      const { restored } = known;
      if (restored && nowMs - restored.listedAtMs >= RESTORED_HOLD_MS)
        this.replaceRecord(known, restored.record);
    }
  }

  /**
   * Stores a departed back end, unless it is already known or its retention time has passed. The retention time starts
   * when the back end departed, not when this daemon received it: otherwise daemons that start one after another would
   * gossip it to each other forever.
   */
  putDeparted({ record, departedAtMs, lapsed = false }: DepartedBackend): void {
    const existing = this.byId.get(record.id);
    if (existing) return keepEarliestCreation(existing, record);
    if (this.options.clock.now() - departedAtMs >= this.options.retentionMs) return;
    this.put(record, record.revision);
    const known = this.byId.get(record.id);
    if (!known) return;
    known.departedAtMs = departedAtMs;
    if (lapsed) this.markAwaitingFirstListing(known);
  }

  /**
   * Stores a back end that the roster names and that was never listed here, as departed, so that its open flows
   * continue. If it had not left when the roster was written, it may still be listed, so it counts as lapsed until
   * `markAwaitedAsLeft`. Returns false when the back end is already known.
   */
  putFromRoster(record: RoutedBackend, hasLeft: boolean): boolean {
    const existing = this.byId.get(record.id);
    if (existing) keepEarliestCreation(existing, record);
    if (existing) return false;
    const added = this.createBackend({ ...record, revision: UNKNOWN_REVISION });
    added.departed = true;
    added.departedAtMs = this.options.clock.now();
    this.departed.add(added);
    if (!hasLeft) this.markAwaitingFirstListing(added);
    this.notifyAdded(added);
    return true;
  }

  /** Returns the back ends known only from the roster or from peers that may still be listed by the source. */
  awaited(): readonly KnownBackend[] {
    return [...this.departed].filter(({ lapsed, isNeverListed }) => lapsed && isNeverListed);
  }

  /** Number of back ends that `awaited` returns. */
  get awaitedCount(): number {
    return this.awaited().length;
  }

  /** Marks all awaited back ends as having left. Call when the list is considered complete. */
  markAwaitedAsLeft(): void {
    for (const known of this.departed) if (known.isNeverListed) known.lapsed = false;
  }

  /**
   * Applies a removal; returns false when the back end is unknown, has already departed, or has a newer record.
   * `mayHaveLapsed`: see `KnownBackend.lapsed`.
   */
  remove(removal: BackendRemoval, mayHaveLapsed: boolean): boolean {
    const known = this.byId.get(removal.id);
    if (!known || removal.revision < known.record.revision) return false;
    known.removedRevision = Math.max(known.removedRevision, removal.revision);
    known.restored = undefined;
    if (known.departed) return false;
    this.markDeparted(known, removal.revision, mayHaveLapsed);
    return true;
  }

  /** Removes every back end that is not in `ids` and whose record is not newer than `revision`. */
  removeUnlisted(listedIds: ReadonlySet<string>, revision: number, mayHaveLapsed: boolean): boolean {
    let changed = false;
    for (const known of this.byId.values()) {
      if (listedIds.has(known.id) || known.record.revision > revision) continue;
      known.restored = undefined;
      if (known.departed) continue;
      changed = this.remove({ id: known.id, revision }, mayHaveLapsed) || changed;
    }
    return changed;
  }

  /** Evicts back ends that departed longer ago than the retention time. */
  prune(): void {
    const nowMs = this.options.clock.now();
    for (const backend of this.departed) {
      if (nowMs - (backend.departedAtMs ?? nowMs) >= this.options.retentionMs) this.evict(backend);
    }
  }

  private markAwaitingFirstListing(known: KnownBackend): void {
    known.lapsed = !known.record.draining;
    known.isNeverListed = true;
  }

  private markDeparted(known: KnownBackend, revision: number, mayHaveLapsed: boolean): void {
    known.removedRevision = Math.max(known.removedRevision, revision);
    known.departed = true;
    known.departedAtMs = this.options.clock.now();
    known.lapsed = countsAsLapsed(mayHaveLapsed, known.record.draining);
    this.departed.add(known);
    this.options.events.emit(ROUTING_EVENTS.backendDeparted, {
      backend: known.id,
      revision,
      draining: known.record.draining,
      lapsed: known.lapsed,
    });
  }

  /** Replaces a back end by the new incarnation of its process, which keeps nothing but the new record. */
  private replaceIncarnation(known: KnownBackend, record: RoutedBackend): void {
    this.discard(known);
    this.options.events.emit(ROUTING_EVENTS.backendRestarted, {
      ...describeRecord(record),
      incarnation: record.incarnation,
      previous: known.record.incarnation,
      departed: known.departed,
    });
    this.notifyAdded(this.createBackend(record));
  }

  /** Stores a back end without notifying the listeners. */
  private createBackend(record: RoutedBackend): KnownBackend {
    const backend: KnownBackend = {
      id: record.id,
      record,
      departed: false,
      lapsed: false,
      removedRevision: UNKNOWN_REVISION,
      departedAtMs: undefined,
      coldUntilMs: this.options.clock.now() + record.coldMs,
    };
    this.byId.set(record.id, backend);
    this.getOrCreateServiceSet(record.service).add(backend);
    return backend;
  }

  private notifyAdded(backend: KnownBackend): void {
    this.addListeners.forEach((listener) => listener(backend));
  }

  private replaceRecord(known: KnownBackend, record: RoutedBackend): void {
    if (known.record.service !== record.service) {
      this.getOrCreateServiceSet(known.record.service).delete(known);
      this.getOrCreateServiceSet(record.service).add(known);
    }
    const stateChanged = known.departed || known.record.draining !== record.draining;
    this.logIfRecreated(known, record);
    known.record = { ...record, createdRevision: earlierCreatedRevision(known.record, record) };
    known.departed = false;
    known.lapsed = false;
    known.isNeverListed = undefined;
    known.restored = undefined;
    known.departedAtMs = undefined;
    this.departed.delete(known);
    known.coldUntilMs = this.options.clock.now() + record.coldMs;
    if (stateChanged) this.options.events.emit(ROUTING_EVENTS.backendChanged, describeRecord(record));
  }

  private logIfRecreated(known: KnownBackend, record: RoutedBackend): void {
    const { createdRevision: previous, revision } = known.record;
    if (revision === UNKNOWN_REVISION || record.createdRevision <= revision) return;
    this.options.events.emit(ROUTING_EVENTS.backendRecreated, {
      backend: known.id,
      endpoint: formatEndpoint(record.endpoint),
      createdRevision: record.createdRevision,
      previousCreatedRevision: previous,
      departed: known.departed,
    });
  }

  private evict(backend: KnownBackend): void {
    this.discard(backend);
    this.options.events.emit(ROUTING_EVENTS.backendEvicted, { backend: backend.id });
  }

  private discard(backend: KnownBackend): void {
    this.departed.delete(backend);
    this.byId.delete(backend.id);
    this.getOrCreateServiceSet(backend.record.service).delete(backend);
    this.discardListeners.forEach((listener) => listener(backend));
  }

  private getOrCreateServiceSet(service: string): Set<KnownBackend> {
    let backends = this.byService.get(service);
    if (!backends) {
      backends = new Set();
      this.byService.set(service, backends);
    }
    return backends;
  }
}

const NO_BACKENDS: ReadonlySet<KnownBackend> = new Set();

/**
 * Keeps the lowest revision at which a back end's record was created. The record may be created again while the process
 * runs, or after it ended, by a delayed write. A peer may have known the back end for longer than this daemon.
 */
function keepEarliestCreation(known: KnownBackend, record: RoutedBackend): void {
  if (isOtherIncarnation(record, known.record)) return;
  const createdRevision = earlierCreatedRevision(known.record, record);
  if (createdRevision !== known.record.createdRevision) known.record = { ...known.record, createdRevision };
}

function earlierCreatedRevision(left: RoutedBackend, right: RoutedBackend): number {
  return Math.min(left.createdRevision, right.createdRevision);
}
