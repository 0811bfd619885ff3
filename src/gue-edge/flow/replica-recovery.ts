/** Hands replicas of failed keepers to the keepers that take their place. */
import { FLOW_EVENTS } from './events.js';
import type { FlowContext } from './flow-context.js';
import { sailquay } from './pb/flow.js';
import type { ReplicaHolder } from './replica-holder.js';
import { judgeReplicaFate } from './replica-rules.js';
import type { ReplicaShard } from './shard-holding.js';
import type { ShardSnapshot } from './outgoing-shard.js';
import type { ShardSender } from './shard-sender.js';
import { snapshotReplica } from './shard-snapshot.js';

const { ShardPurpose } = sailquay.flow;

/** Delay in ms before a refused recovery is offered again. Three ticks, so that a refusal is not repeated at once. */
const RECOVERY_RETRY_MS = 300;

/** Takes replicas whose next keeper is this balancer. */
interface PromotionTarget {
  promote(replica: ReplicaShard): void;
}

/** Follows the replicas held here. */
export class ReplicaRecovery {
  /** Shards by failed keeper since the last log event. */
  private readonly takeovers = new Map<string, number>();

  constructor(
    private readonly context: FlowContext,
    private readonly parts: { readonly holder: ReplicaHolder; readonly sender: ShardSender },
    private readonly target: PromotionTarget,
  ) {}

  /** Notes that a keeper's shard is taken over; the keeper's heartbeats are answered as lapsed from here on. */
  begin(replica: ReplicaShard): void {
    this.parts.holder.markLapsed(replica);
    this.takeovers.set(replica.keeperId, (this.takeovers.get(replica.keeperId) ?? 0) + 1);
  }

  /** Writes one event for each failed keeper. */
  logTakeovers(): void {
    const { events } = this.context.components;
    for (const [from, shards] of this.takeovers) events.emit(FLOW_EVENTS.takeover, { from, shards });
    this.takeovers.clear();
  }

  /** Hands a replica on when its keeper has failed. */
  reconcile(replica: ReplicaShard): void {
    const { context } = this;
    const keeper = context.map.keeper(replica.shard);
    const fate = judgeReplicaFate({
      recovering: replica.recovering,
      quorate: context.view.quorate,
      keeperFailed: () => this.parts.holder.keeperFailed(replica),
      nextKeeper: keeper && { isSelf: keeper.id === context.selfId, active: keeper.state === 'active' },
      nowMs: context.now(),
      retryAtMs: replica.retryRecoveryAtMs,
      trusted: replica.trusted,
      cautiousUntilMs: context.cautiousUntilMs,
    });
    if (fate === 'promote') this.target.promote(replica);
    else if (fate === 'hand-on') this.recover(replica, keeper!.id);
  }

  private recover(replica: ReplicaShard, keeperId: string): void {
    replica.recovering = true;
    this.begin(replica);
    this.parts.sender.enqueue({
      shard: replica.shard,
      purpose: ShardPurpose.RECOVERY,
      targetId: keeperId,
      snapshot: () => this.beginRecovery(replica, keeperId),
      onDone: () => this.parts.holder.remove(replica),
      onFailed: () => {
        replica.recovering = false;
        replica.retryRecoveryAtMs = this.context.now() + RECOVERY_RETRY_MS;
      },
    });
  }

  private beginRecovery(replica: ReplicaShard, keeperId: string): ShardSnapshot | undefined {
    if (this.context.replicas.get(replica.shard) !== replica) return undefined;
    if (this.context.map.keeper(replica.shard)?.id !== keeperId) return undefined;
    replica.handedOn = true;
    return snapshotReplica(this.context, replica);
  }
}
