/**
 * Transfers of kept shards to the keepers that the view names next. The shard stays here, forwards known flows and
 * opens none, until its next keeper has acknowledged it.
 */
import type { Member } from '../membership/types.js';
import { ORPHAN_WAIT_MS } from './constants.js';
import type { FlowContext } from './flow-context.js';
import type { ShardSnapshot } from './outgoing-shard.js';
import { sailquay } from './pb/flow.js';
import type { KeptShard } from './shard-holding.js';
import type { ShardInstaller } from './shard-installer.js';
import { judgeFailedTransfer } from './shard-rules.js';
import type { ShardSender } from './shard-sender.js';
import { snapshotKept } from './shard-snapshot.js';

const { ShardPurpose } = sailquay.flow;

/** What the transfers work with. */
interface TransferParts {
  readonly sender: ShardSender;
  readonly installer: ShardInstaller;
  /** The next keeper holds the shard. */
  readonly onGiven: (kept: KeptShard, keeperId: string) => void;
}

/** Hands shards to their next keepers. */
export class KeeperTransfers {
  constructor(
    private readonly context: FlowContext,
    private readonly parts: TransferParts,
  ) {}

  /** Queues a shard for its next keeper, unless it is queued or this balancer cannot be sure of the keeper. */
  handOn(kept: KeptShard, keeper: Member): void {
    if (kept.transferTarget !== undefined || keeper.state !== 'active' || !this.context.view.quorate) return;
    kept.transferTarget = keeper.id;
    this.parts.sender.enqueue({
      shard: kept.shard,
      purpose: ShardPurpose.TRANSFER,
      targetId: keeper.id,
      snapshot: () => this.begin(kept, keeper.id),
      onDone: () => this.finish(kept, keeper.id),
      onFailed: () => this.fail(kept, keeper.id),
    });
  }

  /** Serves a shard again when its target has been gone for so long that the target's backup would have offered it. */
  reconcile(kept: KeptShard): void {
    if (kept.targetGoneSinceMs === undefined) return;
    if (this.context.now() - kept.targetGoneSinceMs < ORPHAN_WAIT_MS) return;
    kept.targetGoneSinceMs = undefined;
    serveAgain(kept);
  }

  private begin(kept: KeptShard, targetId: string): ShardSnapshot | undefined {
    const current = this.isKept(kept) && kept.role === 'serving';
    if (!current || this.context.map.keeper(kept.shard)?.id !== targetId) return undefined;
    kept.role = 'transferring';
    this.parts.installer.dropPending(kept);
    return snapshotKept(this.context, kept, true);
  }

  private finish(kept: KeptShard, targetId: string): void {
    if (this.isKept(kept)) this.parts.onGiven(kept, targetId);
  }

  private fail(kept: KeptShard, targetId: string): void {
    const verdict = judgeFailedTransfer({
      isCurrent: this.isKept(kept) && kept.transferTarget === targetId,
      transferring: kept.role === 'transferring',
      targetPresent: this.context.member(targetId) !== undefined,
    });
    if (verdict === 'await-targets-backup') kept.targetGoneSinceMs = this.context.now();
    if (verdict === 'serve') serveAgain(kept);
  }

  private isKept(kept: KeptShard): boolean {
    return this.context.kept.get(kept.shard) === kept;
  }
}

function serveAgain(kept: KeptShard): void {
  kept.transferTarget = undefined;
  kept.role = 'serving';
}
