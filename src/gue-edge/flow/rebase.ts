/**
 * Moves shards to the back ends of a newer settings version. The open flows whose first choice would move are
 * replicated as exceptions first; then the backup takes the new base, then the keeper. Paced by the byte budget.
 *
 * Owns the progress of each move. Relies on `rebase-rules.ts` for when one starts, on the backup's acknowledgements
 * for its steps, and repeats an advance that is not answered.
 */
import type { InboundControlMessage } from '../control/types.js';
import { REBASE_RESERVE_BYTES_PER_SECOND, REBASE_SHARDS_PER_TICK } from './constants.js';
import { changedServices } from './base-catalogue.js';
import type { FlowContext } from './flow-context.js';
import { FlowFlag } from './flow-table.js';
import type { sailquay } from './pb/flow.js';
import { RecordOperation, RecordStatus } from './record-codec.js';
import { hasFormerBackupLetGo } from './keeper-authority-rules.js';
import { isRebaseDue, rebaseObstacle } from './rebase-rules.js';
import type { ReplicaPeer } from './replica-peer.js';
import type { KeptShard, RebaseProgress } from './shard-holding.js';
import { packShards, unpackShards } from './shard-set.js';

/**
 * Delay in ms before an unanswered advance is sent again. Longer than `TRANSFER_RESEND_MS`, because nothing waits for
 * it.
 */
const ADVANCE_RESEND_MS = 250;
/** Shards in one advance message. Fits one datagram. */
const MAX_ADVANCE_SHARDS = 400;

/** Starts and finishes rebases. */
export class Rebaser {
  private nextAdvanceMs = 0;
  private longestIdleMs = Number.POSITIVE_INFINITY;

  constructor(private readonly context: FlowContext) {}

  /** Does what is due. */
  tick(): void {
    const settings = this.context.components.settings.current();
    if (!settings) return;
    this.longestIdleMs = Math.max(0, ...settings.services.map((service) => service.idleTimeoutMs));
    this.startDue(settings.version);
    const nowMs = this.context.now();
    if (nowMs < this.nextAdvanceMs) return;
    this.nextAdvanceMs = nowMs + ADVANCE_RESEND_MS;
    this.sendAdvances();
  }

  /** The backup has taken the new base of these shards. */
  onAdvanceAck(ack: sailquay.flow.BaseAdvanceAck.$Properties, from: InboundControlMessage): void {
    for (const shard of unpackShards(ack.shards ?? new Uint8Array())) {
      const kept = this.context.kept.get(shard);
      if (kept && isBackupOf(kept, from) && isAdvancingTo(kept, ack.baseVersion)) finishRebase(kept);
    }
  }

  private startDue(version: number): void {
    let room = REBASE_SHARDS_PER_TICK;
    for (const kept of this.context.kept.values()) {
      if (!this.isDue(kept, version) || !this.mayStart(kept)) continue;
      if (this.context.components.control.availableBytesPerSecond() < REBASE_RESERVE_BYTES_PER_SECOND) return;
      this.start(kept, version);
      room -= 1;
      if (room === 0) return;
    }
  }

  private isDue(kept: KeptShard, currentVersion: number): boolean {
    return isRebaseDue({
      acquiring: kept.role === 'acquiring',
      baseVersion: kept.baseVersion,
      currentVersion,
      complete: kept.complete,
      hasSeenAllFlows: this.hasSeenAllFlows(kept),
    });
  }

  private learnedMs(kept: KeptShard): number {
    return this.context.now() - kept.learningSinceMs;
  }

  /** A flow that has not shown itself for its idle timeout is forgotten anyway. */
  private hasSeenAllFlows(kept: KeptShard): boolean {
    return this.learnedMs(kept) >= Math.max(this.context.learningMs, this.longestIdleMs);
  }

  private mayStart(kept: KeptShard): boolean {
    const { context } = this;
    const obstacle = rebaseObstacle({
      quorate: context.view.quorate,
      serving: kept.role === 'serving',
      rebasing: kept.rebase !== undefined,
      syncing: kept.syncingTo !== undefined,
      handingOn: kept.transferTarget !== undefined,
      complete: kept.complete,
      learnedMs: this.learnedMs(kept),
      learningMs: context.learningMs,
      formerBackupHasLetGo: () => hasFormerBackupLetGo(kept),
      isCovered: () => kept.backup?.leaseHeld ?? this.needsNoBackup(kept),
    });
    return obstacle === undefined;
  }

  private needsNoBackup(kept: KeptShard): boolean {
    const self = this.context.member(this.context.selfId);
    return self !== undefined && !this.context.map.backup(kept.shard, self);
  }

  private start(kept: KeptShard, toVersion: number): void {
    const all = kept.complete || this.hasSeenAllFlows(kept);
    const toOldestVersion = all ? toVersion : kept.oldestBaseVersion;
    const rebase: RebaseProgress = {
      toVersion,
      toOldestVersion,
      coversAllFlows: all,
      phase: 'replicating',
      outstanding: 0,
    };
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
      const { toVersion, toOldestVersion } = rebase;
      if (this.context.isReconstructible(fingerprint, entry, toVersion, toOldestVersion)) continue;
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
    if (kept.backup) return;
    if (hasFormerBackupLetGo(kept)) finishRebase(kept);
    else kept.rebase = undefined;
  }

  private sendAdvances(): void {
    const groups = new Map<string, AdvanceGroup>();
    for (const kept of this.context.kept.values()) {
      if (!kept.rebase || kept.role !== 'serving') continue;
      if (kept.rebase.phase === 'replicating') this.advanceWhenReplicated(kept, kept.rebase);
      addToGroup(groups, kept);
    }
    for (const { peer, toVersion, toOldestVersion, shards } of groups.values()) {
      const packed = packShards(shards.slice(0, MAX_ADVANCE_SHARDS));
      const baseAdvance = { baseVersion: toVersion, oldestBaseVersion: toOldestVersion, shards: packed };
      peer.sendReplication({ baseAdvance });
    }
  }
}

/** Shards that move to the same base at the same backup. */
interface AdvanceGroup {
  readonly peer: ReplicaPeer;
  readonly toVersion: number;
  readonly toOldestVersion: number;
  readonly shards: number[];
}

/** Adds a shard whose backup may take the new base now. */
function addToGroup(groups: Map<string, AdvanceGroup>, kept: KeptShard): void {
  const { rebase, backup } = kept;
  if (rebase?.phase !== 'advancing' || !backup || kept.syncingTo !== undefined) return;
  const { toVersion, toOldestVersion } = rebase;
  const key = `${backup.memberId} ${toVersion} ${toOldestVersion}`;
  const group = groups.get(key) ?? { peer: backup, toVersion, toOldestVersion, shards: [] };
  groups.set(key, group);
  group.shards.push(kept.shard);
}

function isBackupOf({ backup }: KeptShard, from: InboundControlMessage): boolean {
  return backup?.memberId === from.senderId && backup.boot === from.senderIncarnation;
}

function isAdvancingTo({ rebase }: KeptShard, baseVersion: number | null | undefined): boolean {
  return rebase?.phase === 'advancing' && rebase.toVersion === baseVersion;
}

/**
 * Lets the keeper take the new base, which its backup has. Does nothing while a former backup could still take the
 * shard over with the old base, or while the shard is being handed on with the old base; the next advance tries again.
 */
export function finishRebase(kept: KeptShard): void {
  const { rebase } = kept;
  if (!rebase || kept.role !== 'serving' || !hasFormerBackupLetGo(kept)) return;
  kept.baseVersion = rebase.toVersion;
  kept.oldestBaseVersion = rebase.toOldestVersion;
  kept.complete ||= rebase.toOldestVersion === rebase.toVersion && rebase.coversAllFlows;
  kept.rebase = undefined;
}
