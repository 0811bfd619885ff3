/**
 * Moves shards to the back ends of a newer settings version. The open flows whose first choice would move are replicated
 * as exceptions first; then the backup takes the new base, then the keeper. Paced by the byte budget.
 */
import type { InboundControlMessage } from '../control/types.js';
import { REBASE_LEARNING_MS, REBASE_RESERVE_BYTES_PER_SECOND, REBASE_SHARDS_PER_TICK } from './constants.js';
import { changedServices } from './base-catalogue.js';
import type { FlowContext } from './flow-context.js';
import { FlowFlag } from './flow-table.js';
import type { sailquay } from './pb/flow.js';
import { RecordOperation, RecordStatus } from './record-codec.js';
import type { ReplicaPeer } from './replica-peer.js';
import type { KeptShard, RebaseProgress } from './shard-holding.js';
import { packShards, unpackShards } from './shard-set.js';

/** Delay before an unanswered advance is sent again. */
const ADVANCE_RESEND_MS = 250;
/** Shards in one advance message. */
const MAX_ADVANCE_SHARDS = 400;

/** Starts and finishes rebases. */
export class Rebaser {
  private nextAdvanceMs = 0;

  constructor(private readonly context: FlowContext) {}

  /** Does what is due. */
  tick(): void {
    const version = this.context.components.settings.current()?.version;
    if (version === undefined) return;
    this.startDue(version);
    const nowMs = this.context.now();
    if (nowMs < this.nextAdvanceMs) return;
    this.nextAdvanceMs = nowMs + ADVANCE_RESEND_MS;
    this.sendAdvances();
  }

  /** The backup has taken the new base of these shards. */
  onAdvanceAck(ack: sailquay.flow.BaseAdvanceAck.$Properties, from: InboundControlMessage): void {
    for (const shard of unpackShards(ack.shards ?? new Uint8Array())) {
      const kept = this.context.kept.get(shard);
      const fromBackup =
        kept?.backup?.memberId === from.senderId && kept.backup.boot === from.senderIncarnation;
      const matches = kept?.rebase?.phase === 'advancing' && kept.rebase.toVersion === ack.baseVersion;
      if (kept && fromBackup && matches) this.finish(kept);
    }
  }

  private startDue(version: number): void {
    let room = REBASE_SHARDS_PER_TICK;
    for (const kept of this.context.kept.values()) {
      if (kept.baseVersion >= version || !this.mayStart(kept)) continue;
      if (this.context.components.control.availableBytesPerSecond() < REBASE_RESERVE_BYTES_PER_SECOND) return;
      this.start(kept, version);
      room -= 1;
      if (room === 0) return;
    }
  }

  private mayStart(kept: KeptShard): boolean {
    if (kept.role !== 'serving' || kept.rebase || kept.syncingTo !== undefined) return false;
    if (kept.transferTarget !== undefined) return false;
    const learned = kept.complete || this.context.now() - kept.learningSinceMs >= REBASE_LEARNING_MS;
    if (!learned || !(kept.formerBackup?.hasLetGo(kept.shard) ?? true)) return false;
    const self = this.context.member(this.context.selfId);
    return kept.backup?.leaseHeld ?? (self !== undefined && !this.context.map.backup(kept.shard, self));
  }

  private start(kept: KeptShard, toVersion: number): void {
    const rebase: RebaseProgress = { toVersion, phase: 'replicating', outstanding: 0 };
    kept.rebase = rebase;
    const changed = changedServices(this.context.bases, kept.baseVersion, toVersion);
    if (changed.size > 0) this.replicateMoved(kept, rebase, changed);
    this.advanceWhenReplicated(kept, rebase);
  }

  private replicateMoved(kept: KeptShard, rebase: RebaseProgress, changed: ReadonlySet<number>): void {
    const { table, backup } = kept;
    for (let slot = 0; slot < table.capacity; slot += 1) {
      if (!table.isOccupied(slot) || table.hasFlag(slot, FlowFlag.CLOSED | FlowFlag.EXCEPTION)) continue;
      const entry = this.context.catalogue.at(table.backendIndex(slot));
      if (!changed.has(entry.serviceId)) continue;
      const fingerprint = { high: table.high(slot), low: table.low(slot) };
      if (this.context.firstChoice(fingerprint, rebase.toVersion, entry.serviceId) === entry) continue;
      table.setFlags(slot, table.flags(slot) | FlowFlag.EXCEPTION);
      if (!backup) continue;
      rebase.outstanding += 1;
      kept.unacknowledgedRecords += 1;
      const record = { ...fingerprint, backendKey: entry.key, operation: RecordOperation.PUT };
      backup.replicate(record, (outcome) => {
        kept.unacknowledgedRecords -= 1;
        rebase.outstanding -= 1;
        if (outcome.status !== RecordStatus.STORED && kept.rebase === rebase) kept.rebase = undefined;
        this.advanceWhenReplicated(kept, rebase);
      });
    }
  }

  private advanceWhenReplicated(kept: KeptShard, rebase: RebaseProgress): void {
    if (kept.rebase !== rebase || rebase.outstanding > 0 || kept.unacknowledgedRecords > 0) return;
    rebase.phase = 'advancing';
    if (!kept.backup) this.finish(kept);
  }

  private finish(kept: KeptShard): void {
    kept.baseVersion = kept.rebase!.toVersion;
    if (kept.complete) kept.oldestBaseVersion = kept.baseVersion;
    kept.rebase = undefined;
  }

  private sendAdvances(): void {
    const groups = new Map<ReplicaPeer, Map<number, number[]>>();
    for (const kept of this.context.kept.values()) {
      if (!kept.rebase || kept.role !== 'serving') continue;
      if (kept.rebase.phase === 'replicating') this.advanceWhenReplicated(kept, kept.rebase);
      if (kept.rebase?.phase !== 'advancing' || !kept.backup || kept.syncingTo !== undefined) continue;
      const byVersion = groups.get(kept.backup) ?? new Map<number, number[]>();
      groups.set(kept.backup, byVersion);
      const shards = byVersion.get(kept.rebase.toVersion) ?? [];
      byVersion.set(kept.rebase.toVersion, shards);
      shards.push(kept.shard);
    }
    for (const [peer, byVersion] of groups) {
      for (const [baseVersion, shards] of byVersion) {
        const packed = packShards(shards.slice(0, MAX_ADVANCE_SHARDS));
        peer.sendReplication({ baseAdvance: { baseVersion, shards: packed } });
      }
    }
  }
}
