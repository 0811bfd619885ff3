/** Snapshots of shards for transfers. */
import type { FlowContext } from './flow-context.js';
import { FlowFlag, type FlowTable } from './flow-table.js';
import type { ShardRecord } from './record-codec.js';
import type { KeptShard, ReplicaShard } from './shard-holding.js';
import type { ShardSnapshot } from './outgoing-shard.js';

/**
 * A kept shard: all open flows for the next keeper, or only the exceptions for a backup. While a rebase is being
 * announced the backup may have either base; its snapshot then has the new one, whose exceptions are all recorded. The
 * next keeper gets the base of this one, which may get the shard back.
 */
export function snapshotKept(context: FlowContext, kept: KeptShard, allFlows: boolean): ShardSnapshot {
  const advancing = !allFlows && kept.rebase?.phase === 'advancing' ? kept.rebase : undefined;
  return {
    epoch: kept.epoch,
    baseVersion: advancing?.toVersion ?? kept.baseVersion,
    oldestBaseVersion: advancing?.toOldestVersion ?? kept.oldestBaseVersion,
    complete: kept.complete,
    trusted: true,
    learningMs: kept.complete ? 0 : context.now() - kept.learningSinceMs,
    records: collect(context, kept.table, allFlows ? 0 : FlowFlag.EXCEPTION),
  };
}

/** A replica: the keeper's exceptions and the flows that this balancer placed as acting backup. */
export function snapshotReplica(context: FlowContext, replica: ReplicaShard): ShardSnapshot {
  return {
    epoch: replica.epoch,
    baseVersion: replica.baseVersion,
    oldestBaseVersion: replica.oldestBaseVersion,
    complete: false,
    trusted: replica.trusted,
    learningMs: 0,
    records: collect(context, replica.table, 0),
  };
}

/** Flows that are neither closed nor waiting for the backup, and that have `requiredFlag` unless it is 0. */
function collect(context: FlowContext, table: FlowTable, requiredFlag: number): ShardRecord[] {
  const records: ShardRecord[] = [];
  for (let slot = 0; slot < table.capacity; slot += 1) {
    if (!table.isOccupied(slot)) continue;
    const flags = table.flags(slot);
    if ((flags & (FlowFlag.CLOSED | FlowFlag.PENDING)) !== 0) continue;
    if (requiredFlag !== 0 && (flags & requiredFlag) === 0) continue;
    const backendKey = context.catalogue.at(table.backendIndex(slot)).key;
    records.push({ high: table.high(slot), low: table.low(slot), backendKey });
  }
  return records;
}
