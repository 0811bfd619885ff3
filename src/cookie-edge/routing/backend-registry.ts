/**
 * Registry of all back ends that are recorded, or departed recently. Records and removals may come from the source and
 * from peers, in any order: the one with the higher revision wins, and a removal wins over a record of the same
 * revision. A back end that left is remembered until no flow to it can be open. Owns the `KnownBackend` objects, one an
 * id; relies on `RoutingKnowledge` to detect gaps.
 */
import type { Clock } from '../../common/clock.js';
import { formatEndpoint } from '../../common/types.js';
import type { EventLog } from '../../observability/event.js';
import { RESTORED_HOLD_MS } from './constants.js';
import { ROUTING_EVENTS } from './events.js';
import { isOtherIncarnation } from './incarnation-rule.js';
import { hasLapsed } from './lapsed-records.js';
import { describeRecord, type KnownBackend } from './known-backend.js';
import type { BackendRemoval, DepartedBackend, RoutedBackend } from './types.js';

/** Revision of a record or removal of which nothing is known in the epoch. */
const UNKNOWN_REVISION = -1;

/** What a registry needs. */
export interface BackendRegistryOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  /** Time after which no flow can be open any more; a departed back end is remembered this long. */
  readonly retentionMs: number;
}

/** The registry of back ends. Times are monotonic ms. */
export class BackendRegistry {
  private readonly byId = new Map<string, KnownBackend>();
  private readonly byService = new Map<string, Set<KnownBackend>>();
  /** Departed back ends. */
  private readonly departed = new Set<KnownBackend>();
  private readonly addListeners: ((backend: KnownBackend) => void)[] = [];
  private readonly forgetListeners: ((backend: KnownBackend) => void)[] = [];

  constructor(private readonly options: BackendRegistryOptions) {}

  get(id: string): KnownBackend | undefined {
    return this.byId.get(id);
  }

  /** Back ends that left and are remembered. */
  get departedCount(): number {
    return this.departed.size;
  }

  /** Every back end, departed ones included. */
  all(): IterableIterator<KnownBackend> {
    return this.byId.values();
  }

  /** Back ends of a service, departed ones included. */
  ofService(service: string): ReadonlySet<KnownBackend> {
    return this.byService.get(service) ?? NONE;
  }

  /** Back ends of a service that are recorded now. */
  countRecorded(service: string): number {
    let count = 0;
    for (const { departed } of this.ofService(service)) if (!departed) count += 1;
    return count;
  }

  /** True when a back end of the service is recorded that is not leaving. */
  hasServing(service: string): boolean {
    for (const { departed, record } of this.ofService(service))
      if (!departed && !record.draining) return true;
    return false;
  }

  /** Calls `listener` with each back end when it becomes known. */
  onAdd(listener: (backend: KnownBackend) => void): void {
    this.addListeners.push(listener);
  }

  /** Calls `listener` with each back end when it is forgotten. */
  onForget(listener: (backend: KnownBackend) => void): void {
    this.forgetListeners.push(listener);
  }

  /** Stores the first complete list, with one log line for all. */
  fill(records: readonly RoutedBackend[], revision: number): void {
    const added = records.filter(({ id }) => !this.byId.has(id));
    for (const record of added) this.announce(this.create(record));
    const draining = added.filter((record) => record.draining).length;
    this.options.events.emit(ROUTING_EVENTS.backendsKnown, { backends: added.length, draining, revision });
  }

  /**
   * Stores a record; returns false when it is not newer than what is known.
   *
   * @param knownRevision everything up to this revision is known: a record of then or before that is not known is gone
   */
  put(record: RoutedBackend, knownRevision: number): boolean {
    const known = this.byId.get(record.id);
    if (!known) {
      const added = this.create(record);
      this.options.events.emit(ROUTING_EVENTS.backendKnown, describeRecord(record));
      if (record.revision <= knownRevision) this.leave(added, record.revision, false);
      this.announce(added);
      return true;
    }
    learnCreation(known, record);
    if (known.remembered && record.revision <= knownRevision) return false;
    if (record.revision <= Math.max(known.record.revision, known.removedRevision)) return false;
    if (isOtherIncarnation(record, known.record)) this.restart(known, record);
    else this.change(known, record);
    return true;
  }

  /**
   * Begins an epoch of the source: revisions known so far say nothing about those from now on. What was created in an
   * earlier epoch is older than anything created in this one; otherwise a new back end at a reused address was held
   * dead, as the earlier of the two.
   */
  beginEpoch(): void {
    for (const known of this.byId.values()) {
      const { record } = known;
      known.record = { ...record, revision: UNKNOWN_REVISION, createdRevision: UNKNOWN_REVISION };
      known.removedRevision = UNKNOWN_REVISION;
    }
  }

  /**
   * Stores the record of a known back end from the first list of an epoch. The copy may be older than what is known: a
   * back end that said that it leaves still does, one that had left waits, and none is cold for longer than before.
   */
  putRestored(record: RoutedBackend): void {
    const known = this.byId.get(record.id);
    if (!known) return;
    if (isOtherIncarnation(record, known.record)) {
      // The copy is from before a restart; the process writes its record again.
      known.record = { ...known.record, revision: record.revision };
      return;
    }
    const restored = { ...record, draining: record.draining || known.record.draining };
    if (known.departed && !known.lapsed) {
      known.record = { ...known.record, revision: record.revision };
      known.restored = { record: restored, atMs: this.options.clock.now() };
      return;
    }
    const { coldUntilMs } = known;
    this.change(known, restored);
    known.coldUntilMs = Math.min(coldUntilMs, known.coldUntilMs);
  }

  /** Takes a restored record for that of a back end that lives, once it has been listed for `RESTORED_HOLD_MS`. */
  settleRestored(): void {
    const nowMs = this.options.clock.now();
    for (const known of this.departed) {
      const { restored } = known;
      if (restored && nowMs - restored.atMs >= RESTORED_HOLD_MS) this.change(known, restored.record);
    }
  }

  /**
   * Stores a back end that left, unless it is known or left so long ago that no flow to it can be open. Its retention
   * counts from when it left, not from now: otherwise new daemons would gossip it to each other for ever.
   */
  putDeparted({ record, departedAtMs, lapsed = false }: DepartedBackend): void {
    const listed = this.byId.get(record.id);
    if (listed) return learnCreation(listed, record);
    if (this.options.clock.now() - departedAtMs >= this.options.retentionMs) return;
    this.put(record, record.revision);
    const known = this.byId.get(record.id);
    if (!known) return;
    known.departedAtMs = departedAtMs;
    if (lapsed) this.markRemembered(known);
  }

  /**
   * Stores a back end that the roster names and that was never listed here, as departed: its open flows go on. One that
   * had not left may be listed again, and counts as lapsed until `settleRemembered`. Returns false for a known one.
   */
  putRemembered(record: RoutedBackend, hasLeft: boolean): boolean {
    const listed = this.byId.get(record.id);
    if (listed) learnCreation(listed, record);
    if (listed) return false;
    const added = this.create({ ...record, revision: UNKNOWN_REVISION });
    added.departed = true;
    added.departedAtMs = this.options.clock.now();
    this.departed.add(added);
    if (!hasLeft) this.markRemembered(added);
    this.announce(added);
    return true;
  }

  /** Back ends that are remembered and not listed so far. */
  awaited(): readonly KnownBackend[] {
    return [...this.departed].filter(({ lapsed, remembered }) => lapsed && remembered);
  }

  /** Number of them. */
  get awaitedCount(): number {
    return this.awaited().length;
  }

  /** The list is whole by now: remembered back ends that it lacks have left. */
  settleRemembered(): void {
    for (const known of this.departed) if (known.remembered) known.lapsed = false;
  }

  /**
   * Applies a removal; returns false when it is not newer than what is known. `mayHaveLapsed`: see
   * `KnownBackend.lapsed`.
   */
  remove(removal: BackendRemoval, mayHaveLapsed: boolean): boolean {
    const known = this.byId.get(removal.id);
    if (!known || removal.revision < known.record.revision) return false;
    known.removedRevision = Math.max(known.removedRevision, removal.revision);
    known.restored = undefined;
    if (known.departed) return false;
    this.leave(known, removal.revision, mayHaveLapsed);
    return true;
  }

  /** Removes every back end that is not among `ids` and was last recorded at `revision` or before. */
  removeAllBut(ids: ReadonlySet<string>, revision: number, mayHaveLapsed: boolean): boolean {
    let changed = false;
    for (const known of this.byId.values()) {
      if (ids.has(known.id) || known.record.revision > revision) continue;
      known.restored = undefined;
      if (known.departed) continue;
      changed = this.remove({ id: known.id, revision }, mayHaveLapsed) || changed;
    }
    return changed;
  }

  /** Forgets back ends that departed longer ago than the retention time. */
  prune(): void {
    const nowMs = this.options.clock.now();
    for (const backend of this.departed) {
      if (nowMs - (backend.departedAtMs ?? nowMs) >= this.options.retentionMs) this.forget(backend);
    }
  }

  private markRemembered(known: KnownBackend): void {
    known.lapsed = !known.record.draining;
    known.remembered = true;
  }

  private leave(known: KnownBackend, revision: number, mayHaveLapsed: boolean): void {
    known.removedRevision = Math.max(known.removedRevision, revision);
    known.departed = true;
    known.departedAtMs = this.options.clock.now();
    known.lapsed = hasLapsed(mayHaveLapsed, known.record.draining);
    this.departed.add(known);
    this.options.events.emit(ROUTING_EVENTS.backendGone, {
      backend: known.id,
      revision,
      draining: known.record.draining,
      lapsed: known.lapsed,
    });
  }

  /** Another life of the process: a back end of its own, of which nothing is known but the record. */
  private restart(known: KnownBackend, record: RoutedBackend): void {
    this.drop(known);
    this.options.events.emit(ROUTING_EVENTS.backendRestarted, {
      ...describeRecord(record),
      incarnation: record.incarnation,
      previous: known.record.incarnation,
      departed: known.departed,
    });
    this.announce(this.create(record));
  }

  /** Stores a back end without telling the listeners. */
  private create(record: RoutedBackend): KnownBackend {
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
    this.serviceSet(record.service).add(backend);
    return backend;
  }

  private announce(backend: KnownBackend): void {
    this.addListeners.forEach((listener) => listener(backend));
  }

  private change(known: KnownBackend, record: RoutedBackend): void {
    if (known.record.service !== record.service) {
      this.serviceSet(known.record.service).delete(known);
      this.serviceSet(record.service).add(known);
    }
    const stateChanged = known.departed || known.record.draining !== record.draining;
    this.logIfRecreated(known, record);
    known.record = { ...record, createdRevision: earlierCreation(known.record, record) };
    known.departed = false;
    known.lapsed = false;
    known.remembered = undefined;
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

  private forget(backend: KnownBackend): void {
    this.drop(backend);
    this.options.events.emit(ROUTING_EVENTS.backendForgotten, { backend: backend.id });
  }

  private drop(backend: KnownBackend): void {
    this.departed.delete(backend);
    this.byId.delete(backend.id);
    this.serviceSet(backend.record.service).delete(backend);
    this.forgetListeners.forEach((listener) => listener(backend));
  }

  private serviceSet(service: string): Set<KnownBackend> {
    let backends = this.byService.get(service);
    if (!backends) {
      backends = new Set();
      this.byService.set(service, backends);
    }
    return backends;
  }
}

const NONE: ReadonlySet<KnownBackend> = new Set();

/**
 * Keeps the revision at which a back end was recorded first. Its record may be created anew while it lives, or after it
 * ended by a write that is carried out late; a peer may have known it for longer than this daemon.
 */
function learnCreation(known: KnownBackend, record: RoutedBackend): void {
  if (isOtherIncarnation(record, known.record)) return;
  const createdRevision = earlierCreation(known.record, record);
  if (createdRevision !== known.record.createdRevision) known.record = { ...known.record, createdRevision };
}

function earlierCreation(left: RoutedBackend, right: RoutedBackend): number {
  return Math.min(left.createdRevision, right.createdRevision);
}
