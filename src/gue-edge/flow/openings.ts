/**
 * Openings of flows in shards kept here: carries out what the rules of `opening-rules.ts` say, and follows each opening
 * until it is answered.
 *
 * Owns the openings without an answer, their retained SYNs and the retry budgets. Relies on the placement policy
 * for the choice, on the backup for the records of exceptions, and on the caller to repeat a SYN that was dropped.
 */
import type { PacketView } from '../../fabric/types.js';
import type { FlowFingerprint, PlacementDecision, RefusalReason } from '../placement/types.js';
import type { EffectiveService } from '../../settings/types.js';
import type { RefusalCause } from './types.js';
import type { BackendEntry } from './backend-catalogue.js';
import { EXCEPTION_RESERVE_BYTES_PER_SECOND, OPEN_TIMEOUT_MS, RETAIN_PACKET_MS } from './constants.js';
import type { FlowContext } from './flow-context.js';
import { fingerprintKey } from './flow-key.js';
import { FlowFlag } from './flow-table.js';
import { canReplicate, mayOpen } from './keeper-authority-rules.js';
import { chooseBackend, judgeOpening, judgeRecord, judgeReplication, judgeRetry } from './opening-rules.js';
import { RecordOperation } from './record-codec.js';
import type { RecordOutcome } from './replica-peer.js';
import { RetryBudgets } from './retry-budgets.js';
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

/** What a back end is chosen for; `tried` are the back ends that have reset the opening. */
type PlacementSubject = Pick<Opening, 'kept' | 'fingerprint' | 'service'> & Partial<Pick<Opening, 'tried'>>;

/** Places openings and follows them until they are answered. */
export class Openings {
  private readonly unanswered = new Map<string, Opening>();
  private readonly retryBudgets: RetryBudgets;

  constructor(private readonly context: FlowContext) {
    this.retryBudgets = new RetryBudgets(context);
  }

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
    const service = port?.service;
    const verdict = judgeOpening({
      served: service !== undefined,
      mayOpen: () => mayOpen(this.context, kept),
      unanswered: this.unanswered.size,
      maxUnanswered: this.context.components.limits.maxPendingOpenings,
      refusal: () => this.admissionRefusal(service!, packet),
      choose: () => this.decide({ kept, fingerprint, service: service! }),
    });
    if (verdict.outcome === 'defer') this.context.counters.deferred += 1;
    else if (verdict.outcome === 'refuse') this.refuse(packet, verdict.cause);
    else {
      const opening = this.begin(kept, fingerprint, service!, packet);
      this.place(opening, this.context.catalogue.entry(service!, verdict.backend));
    }
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
    if (!opening) return false;
    const verdict = judgeRetry({
      hasSyn: opening.packet !== undefined,
      sentSyns: opening.sentSyns,
      mayOpen: () => mayOpen(this.context, opening.kept),
      choose: () => {
        opening.tried.add(entry.id);
        return this.decide(opening);
      },
      takeRetry: () => this.retryBudgets.of(opening.service.id).tryRetry(),
    });
    if (verdict.outcome === 'pass-reset') return false;
    this.context.counters.retried += 1;
    opening.retainedAtMs = this.context.now();
    opening.sentSyns = 0;
    this.place(opening, this.context.catalogue.entry(opening.service, verdict.backend));
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

  private decide(subject: PlacementSubject): PlacementDecision | 'deferred' {
    const { kept } = subject;
    return chooseBackend({
      canReplicate: canReplicate(this.context, kept),
      isBudgetShort: () => this.isBudgetShort(kept),
      choose: (exceptionsAllowed) => this.choose(subject, exceptionsAllowed),
    });
  }

  private choose(subject: PlacementSubject, exceptionsAllowed: boolean): PlacementDecision {
    const { kept, fingerprint, service, tried } = subject;
    const { components, bases, catalogue } = this.context;
    return components.policy.choose({
      fingerprint,
      service,
      baseBackends: bases.backends(kept.baseVersion, service.id),
      exceptionsAllowed,
      load: catalogue,
      health: components.health,
      zone: components.zone,
      exclude: tried,
    });
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
    this.retryBudgets.of(service.id).recordOpening();
    this.context.counters.opened += 1;
    return opening;
  }

  /** An exception, and any flow that the backup may hold an older record of, is replicated before it is sent. */
  private place(opening: Opening, entry: BackendEntry): void {
    const { kept, fingerprint } = opening;
    const exception = !this.context.needsNoRecord(kept, fingerprint, entry);
    const slot = kept.table.find(fingerprint.high, fingerprint.low);
    const hadRecord = slot >= 0 && kept.table.hasFlag(slot, FlowFlag.EXCEPTION);
    const hasBackup = kept.backup !== undefined;
    const need = judgeRecord({
      exception,
      hadRecord,
      hasBackup,
      canReplicate: () => canReplicate(this.context, kept),
    });
    if (need === 'impossible') return this.abandon(opening);
    if (slot >= 0) this.context.removeKept(kept.table, slot);
    if (exception) this.context.counters.exceptions += 1;
    if (need === 'replicate') {
      this.context.insertKept(kept.table, fingerprint, entry, FlowFlag.EXCEPTION | FlowFlag.PENDING);
      return this.replicate(opening, entry);
    }
    this.context.insertKept(kept.table, fingerprint, entry, exception ? FlowFlag.EXCEPTION : 0);
    this.send(opening, entry);
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
    const slot = kept.table.find(fingerprint.high, fingerprint.low);
    const isPending = slot >= 0 && kept.table.hasFlag(slot, FlowFlag.PENDING);
    const chosen = outcome.ownKey === undefined ? entry : this.context.catalogue.find(outcome.ownKey);
    const verdict = judgeReplication({
      isAwaited: this.context.kept.get(kept.shard) === kept && isPending,
      status: outcome.status,
      isBackendKnown: chosen !== undefined,
    });
    if (verdict === 'abandon') {
      this.context.removeKept(kept.table, slot);
      return this.abandon(opening);
    }
    if (verdict === 'ignore' || !chosen) return;
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
}
