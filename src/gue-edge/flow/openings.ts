/**
 * Openings of flows in shards kept here: choice of the back end, replication of exceptions before the packet goes out,
 * and one more attempt on another back end while the first has accepted nothing.
 */
import type { PacketView } from '../../fabric/types.js';
import type { FlowFingerprint, PlacementDecision, RefusalReason } from '../placement/types.js';
import { RetryBudget } from '../placement/retry-budget.js';
import type { EffectiveService } from '../../settings/types.js';
import type { RefusalCause } from './types.js';
import type { BackendEntry } from './backend-catalogue.js';
import { EXCEPTION_RESERVE_BYTES_PER_SECOND, OPEN_TIMEOUT_MS, RETAIN_PACKET_MS } from './constants.js';
import type { FlowContext } from './flow-context.js';
import { fingerprintKey } from './flow-key.js';
import { FlowFlag } from './flow-table.js';
import { RecordOperation, RecordStatus } from './record-codec.js';
import type { RecordOutcome } from './replica-peer.js';
import type { ServicePort } from './service-index.js';
import { copyFingerprint, type KeptShard } from './shard-holding.js';

/** An opening that no back end has answered yet. */
interface Opening {
  readonly kept: KeptShard;
  readonly fingerprint: FlowFingerprint;
  readonly service: EffectiveService;
  /** The SYN, while it waits for the backup or may be needed for another attempt. */
  packet: PacketView | undefined;
  retainedAtMs: number;
  startedAtMs: number;
  /** SYNs sent to the present back end; after a second one a reset says nothing about the first. */
  sentSyns: number;
  /** Ids of back ends that have reset this opening. */
  readonly tried: Set<number>;
}

/** Places openings and follows them until they are answered. */
export class Openings {
  private readonly unanswered = new Map<string, Opening>();
  private readonly retryBudgets = new Map<number, RetryBudget>();

  constructor(private readonly context: FlowContext) {}

  /** Openings without an answer. */
  get size(): number {
    return this.unanswered.size;
  }

  /** Opens a flow that is not in the table or closed. */
  open(
    kept: KeptShard,
    fingerprint: FlowFingerprint,
    packet: PacketView,
    port: ServicePort | undefined,
  ): void {
    const { counters, components } = this.context;
    const service = port?.service;
    if (!service) return this.refuse(packet, 'no-service');
    if (!this.mayOpen(kept) || this.unanswered.size >= components.limits.maxPendingOpenings) {
      counters.deferred += 1;
      return;
    }
    const refusal = this.admissionRefusal(service, packet);
    if (refusal) return this.refuse(packet, refusal);
    const decision = this.decide(kept, fingerprint, service, undefined);
    if (decision === 'deferred') counters.deferred += 1;
    else if (decision.outcome === 'refuse') this.refuse(packet, decision.reason);
    else {
      const opening = this.begin(kept, fingerprint, service, packet);
      this.place(opening, this.context.catalogue.entry(service, decision.backend));
    }
  }

  /** True while no other balancer can open flows of the shard. */
  mayOpen(kept: KeptShard): boolean {
    if (kept.role !== 'serving' || !this.context.view.quorate) return false;
    if (kept.backup) return kept.backup.leaseHeld;
    return this.isAlone(kept);
  }

  /** A repeated SYN of an opening that waits for its backup: replaces the retained packet. */
  repeat(fingerprint: FlowFingerprint, packet: PacketView): void {
    this.context.counters.duplicateOpenings += 1;
    const opening = this.unanswered.get(fingerprintKey(fingerprint.high, fingerprint.low));
    if (!opening) return;
    opening.packet = this.context.components.edge.retain(packet);
    opening.retainedAtMs = this.context.now();
  }

  /** One more SYN of the flow went to its back end, from here or from the acting backup. */
  countSyn(fingerprint: FlowFingerprint): void {
    const opening = this.unanswered.get(fingerprintKey(fingerprint.high, fingerprint.low));
    if (opening) opening.sentSyns += 1;
  }

  /** The back end answered, or the caller went on: the opening is over. */
  answered(fingerprint: FlowFingerprint, entry: BackendEntry): void {
    if (!this.unanswered.delete(fingerprintKey(fingerprint.high, fingerprint.low))) return;
    this.context.components.health.recordPassive(entry.id, 'answered');
  }

  /** Forgets an opening that ended otherwise. */
  forget(fingerprint: FlowFingerprint): void {
    this.unanswered.delete(fingerprintKey(fingerprint.high, fingerprint.low));
  }

  /** The back end reset the opening. True: it is tried on another one, and the caller must not see the reset. */
  retryAfterReset(fingerprint: FlowFingerprint, entry: BackendEntry): boolean {
    const opening = this.unanswered.get(fingerprintKey(fingerprint.high, fingerprint.low));
    if (!opening?.packet || opening.sentSyns !== 1 || !this.mayOpen(opening.kept)) return false;
    opening.tried.add(entry.id);
    const decision = this.decide(opening.kept, opening.fingerprint, opening.service, opening.tried);
    if (decision === 'deferred' || decision.outcome === 'refuse') return false;
    if (!this.retryBudget(opening.service).tryRetry()) return false;
    this.context.counters.retried += 1;
    opening.retainedAtMs = this.context.now();
    opening.sentSyns = 0;
    this.place(opening, this.context.catalogue.entry(opening.service, decision.backend));
    return true;
  }

  /** Ends openings that were not answered in time. */
  tick(): void {
    const nowMs = this.context.now();
    for (const [key, opening] of this.unanswered) {
      if (nowMs - opening.startedAtMs < OPEN_TIMEOUT_MS) return;
      this.unanswered.delete(key);
      const { table } = opening.kept;
      const slot = table.find(opening.fingerprint.high, opening.fingerprint.low);
      if (slot < 0 || table.hasFlag(slot, FlowFlag.PENDING | FlowFlag.ANSWERED)) continue;
      const entry = this.context.catalogue.at(table.backendIndex(slot));
      this.context.components.health.recordPassive(entry.id, 'open-timeout');
    }
  }

  private isAlone(kept: KeptShard): boolean {
    const self = this.context.member(this.context.selfId);
    if (!self || !this.context.isFresh() || this.context.now() < this.context.cautiousUntilMs) return false;
    return this.context.map.backup(kept.shard, self) === undefined;
  }

  private admissionRefusal(service: EffectiveService, packet: PacketView): RefusalReason | undefined {
    const { components, catalogue, openFlows } = this.context;
    if (openFlows >= components.limits.maxFlows) return 'balancer-flow-limit';
    const openOfService = catalogue.openFlowsOfService(service.id);
    return components.limiter?.admit(service, packet.sourceAddress, openOfService);
  }

  private refuse(packet: PacketView, cause: RefusalCause): void {
    this.context.counters.countRefusal(cause);
    this.context.components.edge.sendReset(packet);
  }

  private decide(
    kept: KeptShard,
    fingerprint: FlowFingerprint,
    service: EffectiveService,
    exclude: ReadonlySet<number> | undefined,
  ): PlacementDecision | 'deferred' {
    const canReplicate = this.canReplicate(kept);
    const generous = canReplicate && !this.isBudgetShort(kept);
    const decision = this.choose(kept, fingerprint, service, exclude, generous);
    if (decision.outcome === 'place' || generous) return decision;
    // The first choice may not be used: only an exception can help.
    if (!canReplicate) return 'deferred';
    return this.choose(kept, fingerprint, service, exclude, true);
  }

  private choose(
    kept: KeptShard,
    fingerprint: FlowFingerprint,
    service: EffectiveService,
    exclude: ReadonlySet<number> | undefined,
    exceptionsAllowed: boolean,
  ): PlacementDecision {
    const { components, bases, catalogue } = this.context;
    return components.policy.choose({
      fingerprint,
      service,
      baseBackends: bases.backends(kept.baseVersion, service.id),
      exceptionsAllowed,
      load: catalogue,
      health: components.health,
      zone: components.zone,
      exclude,
    });
  }

  /** True when an exception can be made safe now. */
  private canReplicate(kept: KeptShard): boolean {
    if (!kept.backup) return this.isAlone(kept);
    if (kept.syncingTo !== undefined || !kept.backup.leaseHeld) return false;
    return kept.formerBackup?.hasLetGo(kept.shard) ?? true;
  }

  private isBudgetShort(kept: KeptShard): boolean {
    const { control } = this.context.components;
    return (
      kept.backup !== undefined && control.availableBytesPerSecond() < EXCEPTION_RESERVE_BYTES_PER_SECOND
    );
  }

  private begin(
    kept: KeptShard,
    fingerprint: FlowFingerprint,
    service: EffectiveService,
    packet: PacketView,
  ): Opening {
    const nowMs = this.context.now();
    const opening: Opening = {
      kept,
      fingerprint: copyFingerprint(fingerprint),
      service,
      packet: this.context.components.edge.retain(packet),
      retainedAtMs: nowMs,
      startedAtMs: nowMs,
      sentSyns: 0,
      tried: new Set(),
    };
    this.unanswered.set(fingerprintKey(fingerprint.high, fingerprint.low), opening);
    this.retryBudget(service).recordOpening();
    this.context.counters.opened += 1;
    return opening;
  }

  /** An exception, and any flow that the backup may hold an older record of, is replicated before it is sent. */
  private place(opening: Opening, entry: BackendEntry): void {
    const { kept, fingerprint } = opening;
    const exception = !this.isFirstChoice(kept, fingerprint, entry);
    const slot = kept.table.find(fingerprint.high, fingerprint.low);
    const hadRecord = slot >= 0 && kept.table.hasFlag(slot, FlowFlag.EXCEPTION);
    const needsRecord = (exception || hadRecord) && kept.backup !== undefined;
    if (needsRecord && !this.canReplicate(kept)) return this.abandon(opening);
    if (slot >= 0) this.context.removeKept(kept.table, slot);
    if (exception) this.context.counters.exceptions += 1;
    const flags = exception || needsRecord ? FlowFlag.EXCEPTION : 0;
    const pending = needsRecord ? FlowFlag.PENDING : 0;
    this.context.insertKept(kept.table, fingerprint, entry, flags | pending);
    if (needsRecord) this.replicate(opening, entry);
    else this.send(opening, entry);
  }

  /** During a rebase a first choice needs no record only when it needs none before and after. */
  private isFirstChoice(kept: KeptShard, fingerprint: FlowFingerprint, entry: BackendEntry): boolean {
    const { context } = this;
    const { rebase, baseVersion, oldestBaseVersion } = kept;
    if (!context.isReconstructible(fingerprint, entry, baseVersion, oldestBaseVersion)) return false;
    if (!rebase) return true;
    return context.isReconstructible(fingerprint, entry, rebase.toVersion, rebase.toOldestVersion);
  }

  private replicate(opening: Opening, entry: BackendEntry): void {
    const { kept, fingerprint } = opening;
    kept.unacknowledgedRecords += 1;
    const record = { ...fingerprint, backendKey: entry.key, operation: RecordOperation.PUT };
    kept.backup!.replicate(record, (outcome) => {
      kept.unacknowledgedRecords -= 1;
      this.onReplicated(opening, entry, outcome);
    });
  }

  private onReplicated(opening: Opening, entry: BackendEntry, outcome: RecordOutcome): void {
    const { kept, fingerprint } = opening;
    if (this.context.kept.get(kept.shard) !== kept) return;
    const slot = kept.table.find(fingerprint.high, fingerprint.low);
    if (slot < 0 || !kept.table.hasFlag(slot, FlowFlag.PENDING)) return;
    if (outcome.status === RecordStatus.NOT_HELD) {
      this.context.removeKept(kept.table, slot);
      return this.abandon(opening);
    }
    const chosen = outcome.ownKey === undefined ? entry : this.context.catalogue.find(outcome.ownKey);
    if (!chosen) return;
    if (chosen !== entry) this.adopt(entry, chosen);
    kept.table.setValue(slot, chosen.index, FlowFlag.EXCEPTION);
    this.send(opening, chosen);
  }

  private adopt(entry: BackendEntry, chosen: BackendEntry): void {
    this.context.counters.adopted += 1;
    this.context.countClosed(entry);
    this.context.countOpen(chosen);
  }

  private abandon(opening: Opening): void {
    this.context.counters.deferred += 1;
    this.forget(opening.fingerprint);
  }

  private send(opening: Opening, entry: BackendEntry): void {
    const { packet, service } = opening;
    const { components } = this.context;
    opening.startedAtMs = Math.max(opening.startedAtMs, opening.retainedAtMs);
    components.health.recordPassive(entry.id, 'opened');
    const stale = this.context.now() - opening.retainedAtMs > RETAIN_PACKET_MS;
    if (packet && !stale) {
      opening.sentSyns += 1;
      components.edge.sendToBackend(packet, entry.endpoint);
    }
    if (service.limits.retryBudgetShare <= 0) opening.packet = undefined;
  }

  private retryBudget(service: EffectiveService): RetryBudget {
    let budget = this.retryBudgets.get(service.id);
    if (!budget) {
      const { clock, settings } = this.context.components;
      const share = (): number =>
        settings.current()?.services.find((current) => current.id === service.id)?.limits.retryBudgetShare ??
        0;
      budget = new RetryBudget({ clock, share });
      this.retryBudgets.set(service.id, budget);
    }
    return budget;
  }
}
