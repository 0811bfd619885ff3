/** The keeper's side of reports: flows that a backup placed while it acted for this keeper. */
import type { InboundControlMessage } from '../control/types.js';
import type { FlowContext } from './flow-context.js';
import { shardOf } from './flow-key.js';
import { FlowFlag } from './flow-table.js';
import type { Openings } from './openings.js';
import { sailquay } from './pb/flow.js';
import { unpackBatch, type BatchRecord } from './record-codec.js';

const { ReplicationMessage } = sailquay.flow;

/** Takes reported flows into the kept shards. */
export class PlacementReports {
  constructor(
    private readonly context: FlowContext,
    private readonly openings: Openings,
  ) {}

  /** Takes in a report and acknowledges the flows that are known here now. */
  onReport(report: sailquay.flow.RecordBatch.$Properties, from: InboundControlMessage): void {
    const records = report.records ?? new Uint8Array();
    const taken = unpackBatch({ backendKeys: [...(report.backendKeys ?? [])], records }).filter((record) =>
      this.take(record),
    );
    const ownKeys = taken.flatMap((record) => [record.high, record.low]);
    const payload = ReplicationMessage.encode({ recordsAck: { fromBackup: true, ownKeys } }).finish();
    this.context.components.control.send(from.from, 'replication', payload);
  }

  private take(record: BatchRecord): boolean {
    const kept = this.context.kept.get(shardOf(record.high));
    const entry = this.context.catalogue.find(record.backendKey);
    if (!kept || kept.role !== 'serving' || !entry) return false;
    const slot = kept.table.find(record.high, record.low);
    // A pending opening learns the backup's placement with its own acknowledgement.
    if (slot >= 0) {
      this.openings.countSyn(record);
      return !kept.table.hasFlag(slot, FlowFlag.PENDING);
    }
    const { baseVersion, oldestBaseVersion } = kept;
    const plain = this.context.isReconstructible(record, entry, baseVersion, oldestBaseVersion);
    this.context.insertKept(kept.table, record, entry, plain ? 0 : FlowFlag.EXCEPTION);
    return true;
  }
}
