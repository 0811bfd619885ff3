/** Builds the replica of a shard that its keeper sends, and has it held unless what is here is better. */
import type { FlowContext } from './flow-context.js';
import { FlowFlag } from './flow-table.js';
import type { ReplicaHolder } from './replica-holder.js';
import { mayTrustNewReplica } from './replica-rules.js';
import { ReplicaShard } from './shard-holding.js';
import { judgeReplica, type ReplicaVerdict } from './shard-rules.js';
import type { IncomingShard, InstallOutcome } from './shard-receiver.js';

/** Installs replicas that keepers send. */
export class ReplicaInstaller {
  constructor(
    private readonly context: FlowContext,
    private readonly holder: ReplicaHolder,
  ) {}

  /** Takes a replica in; `refused` makes the keeper choose again. */
  install(incoming: IncomingShard): InstallOutcome {
    if (this.judge(incoming) !== 'install') return 'refused';
    const replica = this.build(incoming);
    return this.holder.install(replica, incoming.header.generation ?? 0) ? 'done' : 'refused';
  }

  private judge({ header, shard, from }: IncomingShard): ReplicaVerdict {
    const earlier = this.context.replicas.get(shard);
    const own = this.context.kept.get(shard);
    return judgeReplica({
      epoch: header.epoch ?? 0,
      earlier: earlier && {
        fromSameKeeper: earlier.keeperId === from.senderId && earlier.keeperBoot === from.senderIncarnation,
        epoch: earlier.epoch,
        keeperFailed: () => this.holder.keeperFailed(earlier),
      },
      own: own && { acquiring: own.role === 'acquiring', epoch: own.epoch },
    });
  }

  private build({ header, shard, from, records }: IncomingShard): ReplicaShard {
    const { context } = this;
    const replica = new ReplicaShard({
      shard,
      keeperId: from.senderId,
      keeperBoot: from.senderIncarnation,
      epoch: header.epoch ?? 0,
      baseVersion: header.baseVersion ?? 0,
      oldestBaseVersion: header.oldestBaseVersion ?? 0,
      installedAtMs: context.now(),
    });
    replica.trusted = mayTrustNewReplica({
      fresh: context.isFresh(),
      nowMs: context.now(),
      cautiousUntilMs: context.cautiousUntilMs,
    });
    if (header.complete) replica.completeSinceMs = context.now();
    const { table } = replica;
    for (const { high, low, backendKey } of records) {
      const entry = context.catalogue.find(backendKey)!;
      if (table.find(high, low) >= 0) continue;
      table.insert(high, low, entry.index, FlowFlag.EXCEPTION, context.nowSeconds());
    }
    return replica;
  }
}
