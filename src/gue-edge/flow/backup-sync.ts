/** Keeps each kept shard replicated at the backup that the view names. */
import type { FlowContext } from './flow-context.js';
import { sailquay } from './pb/flow.js';
import { finishRebase } from './rebase.js';
import type { ReplicaPeer } from './replica-peer.js';
import type { ReplicaPeers } from './replica-peers.js';
import type { KeptShard } from './shard-holding.js';
import type { ShardReceiver } from './shard-receiver.js';
import type { ShardSnapshot } from './outgoing-shard.js';
import type { ShardSender } from './shard-sender.js';
import { snapshotKept } from './shard-snapshot.js';

const { ShardPurpose } = sailquay.flow;

/** The parts that replication works with. */
interface BackupSyncParts {
  readonly peers: ReplicaPeers;
  readonly sender: ShardSender;
  readonly receiver: ShardReceiver;
}

/** Chooses, fills and replaces the backups of kept shards. */
export class BackupSync {
  constructor(
    private readonly context: FlowContext,
    private readonly parts: BackupSyncParts,
  ) {}

  /** The shard's flows have changed at once: a snapshot that is under way is not enough any more. */
  restart(kept: KeptShard): void {
    kept.syncingTo = undefined;
    kept.syncStarted = false;
    kept.syncNumber += 1;
    kept.lastBackupId = undefined;
    kept.settledFor = 0;
  }

  /** The backup lacks shards: they are replicated again. */
  onMissing(peer: ReplicaPeer, shards: Iterable<number>): void {
    for (const shard of shards) {
      const kept = this.context.kept.get(shard);
      peer.shards.delete(shard);
      if (kept?.backup !== peer) continue;
      kept.backup = undefined;
      kept.settledFor = 0;
    }
  }

  /** The link to a backup ended. */
  onPeerClosed(peer: ReplicaPeer): void {
    for (const kept of this.context.kept.values()) {
      if (kept.backup !== peer) continue;
      this.drop(kept);
    }
  }

  /** Sees to it that the backup of the present view holds the shard's exceptions. */
  ensure(kept: KeptShard): void {
    const self = this.context.member(this.context.selfId);
    if (!self || this.context.now() < this.context.cautiousUntilMs) return;
    const desired = this.context.map.backup(kept.shard, self);
    if (!desired) {
      this.drop(kept);
      kept.lastBackupId = undefined;
      return this.settle(kept);
    }
    if (kept.backup?.memberId === desired.id) return this.settle(kept);
    if (kept.syncingTo !== desired.id) {
      kept.syncingTo = desired.id;
      kept.syncStarted = false;
    }
    if (!kept.syncStarted && kept.unacknowledgedRecords === 0) this.startSync(kept, desired.id);
  }

  /** Nothing is left to do until the view changes or the backup is lost. Without a backup no snapshot ends a move. */
  private settle(kept: KeptShard): void {
    kept.syncingTo = undefined;
    if (!kept.backup && kept.rebase?.phase === 'advancing') finishRebase(kept);
    kept.settledFor = this.context.ownersSequence;
    this.acknowledgeOwed(kept);
  }

  private startSync(kept: KeptShard, targetId: string): void {
    kept.syncStarted = true;
    kept.syncNumber += 1;
    const syncNumber = kept.syncNumber;
    const isCurrent = (): boolean => this.isSyncing(kept, targetId) && kept.syncNumber === syncNumber;
    this.parts.sender.enqueue({
      shard: kept.shard,
      purpose: ShardPurpose.REPLICA,
      targetId,
      generation: () => this.parts.peers.generationOf(targetId),
      snapshot: () => (isCurrent() ? snapshotKept(this.context, kept, false) : undefined),
      onDone: (boot, snapshot) => {
        const peer = this.parts.peers.open(targetId, boot);
        if (isCurrent()) this.onSynced(kept, peer, snapshot);
        else this.disownUnused(kept, peer);
      },
      onFailed: () => {
        if (isCurrent()) kept.syncStarted = false;
      },
    });
  }

  private isSyncing(kept: KeptShard, targetId: string): boolean {
    return this.context.kept.get(kept.shard) === kept && kept.syncingTo === targetId && kept.syncStarted;
  }

  /** Another backup was chosen meanwhile, or the shard was given away: this replica is not kept up to date. */
  private disownUnused(kept: KeptShard, peer: ReplicaPeer): void {
    const wanted = this.context.kept.get(kept.shard);
    if (wanted && (wanted.backup === peer || wanted.syncingTo === peer.memberId)) return;
    peer.disown(kept.shard);
  }

  private onSynced(kept: KeptShard, peer: ReplicaPeer, snapshot: ShardSnapshot): void {
    const former = kept.backup;
    kept.backup = peer;
    kept.lastBackupId = peer.memberId;
    kept.syncingTo = undefined;
    peer.assign(kept.shard);
    if (former && former !== peer) {
      former.release(kept.shard);
      former.sendReleases();
      kept.formerBackup = former;
    }
    const { rebase } = kept;
    if (rebase?.phase === 'advancing' && snapshot.baseVersion === rebase.toVersion) finishRebase(kept);
    this.acknowledgeOwed(kept);
  }

  private acknowledgeOwed(kept: KeptShard): void {
    for (const owed of kept.owed.splice(0))
      this.parts.receiver.acknowledge(owed.senderId, owed.transferId, true);
  }

  /** Ends replication of the shard to its present backup. */
  drop(kept: KeptShard): void {
    if (!kept.backup) return;
    kept.backup.release(kept.shard);
    kept.formerBackup = kept.backup;
    kept.backup = undefined;
    kept.settledFor = 0;
  }
}
