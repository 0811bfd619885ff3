/** Puts received flows into kept shards. */
import type { FlowContext } from './flow-context.js';
import { FlowFlag } from './flow-table.js';
import { sailquay } from './pb/flow.js';
import type { ShardRecord } from './record-codec.js';
import type { KeptShard, RebaseProgress } from './shard-holding.js';

const { ShardPurpose } = sailquay.flow;
const MS_PER_SECOND = 1_000;

/** `superseded`: the shard here already descends from the one received. */
type KeptInstallOutcome = 'installed' | 'superseded';

/** What is known of a received shard besides its flows. */
type ShardHeader = Pick<
  sailquay.flow.ShardPart.$Properties,
  'epoch' | 'purpose' | 'baseVersion' | 'oldestBaseVersion' | 'complete' | 'learningMs'
>;

/**
 * A move to the present base that ends when the backup has its snapshot, which has the new base. Until then the sender
 * may get the shard back, so the base stays that of the sender.
 */
function moveWithBackup(toVersion: number): RebaseProgress {
  return { toVersion, toOldestVersion: toVersion, coversAllFlows: true, phase: 'advancing', outstanding: 0 };
}

/** The newest and the oldest base of a shard. */
type Bases = Pick<KeptShard, 'baseVersion' | 'oldestBaseVersion'>;

/** Merges the bases that are known here into received ones. A base does not fall when an older replica comes first. */
function mergeBases(kept: KeptShard, received: Bases, known: Bases = received): void {
  kept.oldestBaseVersion = Math.min(received.oldestBaseVersion, known.oldestBaseVersion);
  kept.baseVersion = Math.max(received.baseVersion, known.baseVersion);
}

/** Installs transfers and recoveries, and starts shards that no balancer holds. */
export class ShardInstaller {
  constructor(private readonly context: FlowContext) {}

  /** Starts a shard that was not offered, from what was retained of it; flows may exist that are not in the table. */
  startUnoffered(kept: KeptShard, baseVersion: number): void {
    const { retained } = kept;
    const wallSeconds = Math.floor(this.context.components.clock.wall() / MS_PER_SECOND);
    kept.role = 'serving';
    kept.heldSinceMs = this.context.now();
    kept.epoch = Math.max(wallSeconds, (retained?.epoch ?? 0) + 1);
    kept.baseVersion = baseVersion;
    kept.oldestBaseVersion = Math.min(baseVersion, retained?.oldestBaseVersion ?? baseVersion);
    kept.complete = false;
    kept.learningSinceMs = this.context.now();
    this.markExceptions(kept);
  }

  /** Takes a shard over, or merges it into the one held here. Of two records of a flow the newer epoch's wins. */
  install(kept: KeptShard, header: ShardHeader, records: readonly ShardRecord[]): KeptInstallOutcome {
    const epoch = header.epoch ?? 0;
    const held = kept.role !== 'acquiring';
    if (held && kept.epoch > epoch && kept.complete) return 'superseded';
    const incomingIsNewer = !held || kept.epoch <= epoch;
    kept.rebase = undefined;
    this.adoptBase(kept, header, held);
    kept.epoch = Math.max(kept.epoch, epoch) + 1;
    kept.heldSinceMs = this.context.now();
    if (!held) kept.role = 'serving';
    for (const record of records) this.put(kept, record, incomingIsNewer);
    this.markExceptions(kept);
    return 'installed';
  }

  /** Removes every flow of a shard that is given up. */
  forgetFlows(kept: KeptShard): void {
    for (let slot = kept.table.capacity - 1; slot >= 0; slot -= 1) {
      while (kept.table.isOccupied(slot)) this.context.removeKept(kept.table, slot);
    }
  }

  /**
   * Removes openings that wait for the backup: none has reached a back end, and the next SYN goes to the new
   * keeper.
   */
  dropPending(kept: KeptShard): void {
    for (let slot = kept.table.capacity - 1; slot >= 0; slot -= 1) {
      while (kept.table.isOccupied(slot) && kept.table.hasFlag(slot, FlowFlag.PENDING)) {
        this.context.removeKept(kept.table, slot);
      }
    }
  }

  private adoptBase(kept: KeptShard, header: ShardHeader, held: boolean): void {
    const baseVersion = header.baseVersion ?? 0;
    const oldest = header.oldestBaseVersion ?? baseVersion;
    const whole = header.purpose === ShardPurpose.TRANSFER && header.complete === true;
    if (!held && whole) return this.adoptWhole(kept, baseVersion);
    mergeBases(kept, { baseVersion, oldestBaseVersion: oldest }, held ? kept : kept.retained);
    kept.complete = false;
    kept.learningSinceMs = this.context.now() - (header.learningMs ?? 0);
  }

  /** Every flow is in the table, so nothing has to be reconstructed from an older base. */
  private adoptWhole(kept: KeptShard, baseVersion: number): void {
    const current = this.context.components.settings.current()?.version ?? 0;
    kept.baseVersion = Math.max(baseVersion, kept.retained?.baseVersion ?? 0);
    kept.oldestBaseVersion = kept.baseVersion;
    kept.complete = true;
    if (current > kept.baseVersion) kept.rebase = moveWithBackup(current);
  }

  private put(kept: KeptShard, record: ShardRecord, incomingIsNewer: boolean): void {
    const entry = this.context.catalogue.find(record.backendKey)!;
    const slot = kept.table.find(record.high, record.low);
    if (slot < 0) {
      this.context.insertKept(kept.table, record, entry, FlowFlag.ANSWERED);
      return;
    }
    const known = this.context.catalogue.at(kept.table.backendIndex(slot));
    if (known === entry || !incomingIsNewer) return;
    this.context.removeKept(kept.table, slot);
    this.context.insertKept(kept.table, record, entry, FlowFlag.ANSWERED);
  }

  /** Flows that cannot be reconstructed from the base are the ones to replicate. */
  private markExceptions(kept: KeptShard): void {
    const { table } = kept;
    for (let slot = 0; slot < table.capacity; slot += 1) {
      if (!table.isOccupied(slot)) continue;
      const entry = this.context.catalogue.at(table.backendIndex(slot));
      const fingerprint = { high: table.high(slot), low: table.low(slot) };
      if (this.context.needsNoRecord(kept, fingerprint, entry)) continue;
      table.setFlags(slot, table.flags(slot) | FlowFlag.EXCEPTION);
    }
  }
}
