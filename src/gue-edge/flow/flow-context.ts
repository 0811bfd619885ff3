/** State that the parts of the flow keeper share. */
import type { Member, MembershipView } from '../membership/types.js';
import type { FlowFingerprint } from '../placement/types.js';
import { firstChoice } from '../placement/weighted-rendezvous.js';
import type { EffectiveBackend } from '../../settings/types.js';
import { BackendCatalogue, type BackendEntry } from './backend-catalogue.js';
import { PAUSE_DETECTION_MS, REBASE_LEARNING_MS } from './constants.js';
import { BaseCatalogue } from './base-catalogue.js';
import { FlowCounters } from './flow-counters.js';
import { FlowFlag, type FlowTable } from './flow-table.js';
import type { FlowComponents } from './packet-forwarder.js';
import { ServiceIndex } from './service-index.js';
import type { KeptShard, ReplicaShard } from './shard-holding.js';
import { listOwners, ShardMap } from './shard-map.js';

const MS_PER_SECOND = 1_000;
/** Members remembered before the gone ones are forgotten. Bounds the memory. */
const MAX_FORMER_MEMBERS = 2_000;

/** The bases of a shard, and the move that is under way. */
type ShardBases = Pick<KeptShard, 'baseVersion' | 'oldestBaseVersion' | 'rebase'>;

/** Shared by the parts of one flow keeper. */
export class FlowContext {
  readonly catalogue = new BackendCatalogue();
  readonly bases = new BaseCatalogue();
  readonly services = new ServiceIndex();
  readonly counters = new FlowCounters();
  readonly kept = new Map<number, KeptShard>();
  readonly replicas = new Map<number, ReplicaShard>();
  view: MembershipView;
  map: ShardMap;
  /** Rises with each view. */
  ownersSequence = 1;
  /** Set by a planned leave: this balancer owns no shards any more, whatever the view says. */
  leaving = false;
  /** Flows kept here that are not closed. */
  openFlows = 0;
  /** No new backup is chosen before this time, because this process may have been replaced unknowingly. */
  cautiousUntilMs = 0;
  /** Time of the last tick; a long gap means that the process was paused and nothing it believes is fresh. */
  lastTickMs: number;
  private membersById = new Map<string, Member>();
  /** Members by id as they were last seen, gone ones included. */
  private readonly formerMembers = new Map<string, Member>();

  constructor(readonly components: FlowComponents) {
    this.lastTickMs = components.clock.now();
    this.view = components.membership.view();
    this.map = ShardMap.build(listOwners(this.view));
    this.indexMembers();
  }

  get selfId(): string {
    return this.components.selfId;
  }

  /** Time that a keeper without all records learns its flows, ms. */
  get learningMs(): number {
    return this.components.limits.rebaseLearningMs ?? REBASE_LEARNING_MS;
  }

  /** Monotonic ms. */
  now(): number {
    return this.components.clock.now();
  }

  /** Monotonic seconds, as flow tables store them. */
  nowSeconds(): number {
    return Math.floor(this.components.clock.now() / MS_PER_SECOND);
  }

  /** Takes over a view; false when the owners are the same as before. */
  setView(view: MembershipView): boolean {
    this.view = view;
    this.ownersSequence += 1;
    this.indexMembers();
    const owners = listOwners(view).filter((member) => !this.leaving || member.id !== this.selfId);
    const changed = !sameOwners(this.map.owners, owners);
    this.map = ShardMap.update(this.map, owners);
    return changed;
  }

  /** A member that is not gone. */
  member(id: string): Member | undefined {
    return this.membersById.get(id);
  }

  /** A member as it was last seen, also when it is gone in the view. */
  formerMember(id: string): Member | undefined {
    return this.formerMembers.get(id);
  }

  /** True unless this process was paused and has not taken notice of it yet. */
  isFresh(): boolean {
    return this.now() - this.lastTickMs <= PAUSE_DETECTION_MS;
  }

  /** First choice of a flow in a base version, as a catalogue entry. */
  firstChoice(
    fingerprint: FlowFingerprint,
    baseVersion: number,
    serviceId: number,
  ): BackendEntry | undefined {
    const service = this.bases.get(baseVersion)?.get(serviceId);
    if (!service) return undefined;
    const backend: EffectiveBackend | undefined = firstChoice(fingerprint, service.backends);
    return backend && this.catalogue.entry(service, backend);
  }

  /**
   * True when the back end of a flow needs no record: it is the first choice of the base and, while the table may lack
   * flows, of the oldest base under which they may have been opened.
   */
  isReconstructible(
    fingerprint: FlowFingerprint,
    entry: BackendEntry,
    baseVersion: number,
    oldestBaseVersion: number,
  ): boolean {
    if (this.firstChoice(fingerprint, baseVersion, entry.serviceId) !== entry) return false;
    if (oldestBaseVersion === baseVersion) return true;
    return this.firstChoice(fingerprint, oldestBaseVersion, entry.serviceId) === entry;
  }

  /** True when a flow needs no record in a shard. While a move lasts, it must need none before and after it. */
  needsNoRecord(shard: ShardBases, fingerprint: FlowFingerprint, entry: BackendEntry): boolean {
    const { rebase, baseVersion, oldestBaseVersion } = shard;
    if (!this.isReconstructible(fingerprint, entry, baseVersion, oldestBaseVersion)) return false;
    if (!rebase) return true;
    return this.isReconstructible(fingerprint, entry, rebase.toVersion, rebase.toOldestVersion);
  }

  /** Counts a flow that became open at a back end. */
  countOpen(entry: BackendEntry): void {
    this.openFlows += 1;
    entry.backendFlows.open += 1;
    entry.serviceFlows.open += 1;
  }

  /** Counts a flow that closed or was forgotten. */
  countClosed(entry: BackendEntry): void {
    this.openFlows -= 1;
    entry.backendFlows.open -= 1;
    entry.serviceFlows.open -= 1;
  }

  /** Adds an open flow to a kept table. */
  insertKept(table: FlowTable, fingerprint: FlowFingerprint, entry: BackendEntry, flags: number): number {
    this.countOpen(entry);
    return table.insert(fingerprint.high, fingerprint.low, entry.index, flags, this.nowSeconds());
  }

  /** Removes a flow from a kept table. */
  removeKept(table: FlowTable, slot: number): void {
    if (!table.hasFlag(slot, FlowFlag.CLOSED)) this.countClosed(this.catalogue.at(table.backendIndex(slot)));
    table.remove(slot);
  }

  private indexMembers(): void {
    this.membersById = new Map(this.view.members.map((member) => [member.id, member]));
    for (const member of this.view.members) this.formerMembers.set(member.id, member);
    if (this.formerMembers.size <= MAX_FORMER_MEMBERS) return;
    for (const id of this.formerMembers.keys()) if (!this.membersById.has(id)) this.formerMembers.delete(id);
  }
}

function sameOwners(left: readonly Member[], right: readonly Member[]): boolean {
  if (left.length !== right.length) return false;
  const ids = new Set(left.map((member) => member.id));
  return right.every((member) => ids.has(member.id));
}
