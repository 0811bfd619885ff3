/**
 * Flows that this balancer has placed as the acting backup of a keeper: they are reported to the keeper until it has
 * acknowledged them, and outlive a change of keeper. Owns no state but the flags and counts in the replicas.
 */
import type { Endpoint } from '../../common/types.js';
import type { FlowContext } from './flow-context.js';
import { shardOf } from './flow-key.js';
import { FlowFlag } from './flow-table.js';
import { sailquay } from './pb/flow.js';
import { packBatch, RecordOperation, type BatchRecord } from './record-codec.js';
import type { ReplicaShard } from './shard-holding.js';

const { ReplicationMessage } = sailquay.flow;

/** Own placements reported in one message. `MAX_BATCH_RECORDS`. */
const MAX_REPORTED = 60;

/** Reports own placements to the keepers of their shards. */
export class OwnPlacements {
  constructor(private readonly context: FlowContext) {}

  /** Reports to every keeper that is in the view. */
  reportAll(keeperIds: Iterable<string>): void {
    for (const keeperId of keeperIds) {
      const member = this.context.member(keeperId);
      if (member) this.report(keeperId, member.control);
    }
  }

  /** Reports to one keeper; nothing is sent when it knows every flow. */
  report(keeperId: string, control: Endpoint): void {
    const records = this.unreported(keeperId).slice(0, MAX_REPORTED);
    if (records.length === 0) return;
    const message = { records: { fromBackup: true, sequence: 0, ...packBatch(records) } };
    const payload = ReplicationMessage.encode(message).finish();
    this.context.components.control.send(control, 'replication', payload);
  }

  /** The keeper has taken in reported placements; `ownKeys` holds the fingerprints as pairs of halves. */
  onAck(
    ack: sailquay.flow.RecordBatchAck.$Properties,
    replicaOf: (shard: number) => ReplicaShard | undefined,
  ): void {
    const halves = ack.ownKeys ?? [];
    for (let index = 0; index + 1 < halves.length; index += 2) {
      const replica = replicaOf(shardOf(halves[index]!));
      const slot = replica?.table.find(halves[index]!, halves[index + 1]!) ?? -1;
      if (!replica || slot < 0 || !replica.table.hasFlag(slot, FlowFlag.UNREPORTED)) continue;
      replica.table.setFlags(slot, replica.table.flags(slot) & ~FlowFlag.UNREPORTED);
      replica.ownPlacements -= 1;
    }
  }

  private unreported(keeperId: string): BatchRecord[] {
    const records: BatchRecord[] = [];
    for (const replica of this.context.replicas.values()) {
      if (replica.keeperId !== keeperId || replica.ownPlacements === 0) continue;
      const { table } = replica;
      for (let slot = 0; slot < table.capacity; slot += 1) {
        if (!table.isOccupied(slot) || !table.hasFlag(slot, FlowFlag.UNREPORTED)) continue;
        const backendKey = this.context.catalogue.at(table.backendIndex(slot)).key;
        records.push({
          high: table.high(slot),
          low: table.low(slot),
          backendKey,
          operation: RecordOperation.PUT,
        });
      }
    }
    return records;
  }
}

/** True while the keeper does not know every flow that was placed here. */
export function hasUnreported(replica: ReplicaShard): boolean {
  return replica.ownPlacements > 0;
}

/** Flows placed here for an earlier keeper stay known until the new keeper has them. */
export function keepOwnPlacements(earlier: ReplicaShard, replica: ReplicaShard): void {
  if (earlier.ownPlacements === 0) return;
  const { table } = earlier;
  for (let slot = 0; slot < table.capacity; slot += 1) {
    if (!table.isOccupied(slot) || !table.hasFlag(slot, FlowFlag.UNREPORTED)) continue;
    const high = table.high(slot);
    const low = table.low(slot);
    if (replica.table.find(high, low) >= 0) continue;
    const backendIndex = table.backendIndex(slot);
    replica.table.insert(high, low, backendIndex, FlowFlag.UNREPORTED, table.seenSeconds(slot));
    replica.ownPlacements += 1;
  }
}
