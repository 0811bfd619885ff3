/** Forgets flows that are closed or idle, a few shards at each tick. */
import {
  CLOSED_LINGER_SECONDS,
  EXPIRY_ROUND_MS,
  HALF_CLOSED_IDLE_SECONDS,
  OPEN_TIMEOUT_MS,
  TICK_MS,
} from './constants.js';
import type { FlowContext } from './flow-context.js';
import { FlowFlag } from './flow-table.js';
import { RecordOperation } from './record-codec.js';
import type { KeptShard } from './shard-holding.js';

/** An opening without an answer is forgotten after this long without packets. */
const UNANSWERED_IDLE_SECONDS = (4 * OPEN_TIMEOUT_MS) / 1_000;

/** Walks over the kept shards, each once in `EXPIRY_ROUND_MS`. */
export class FlowExpiry {
  private queue: KeptShard[] = [];
  private perTick = 1;

  constructor(private readonly context: FlowContext) {}

  /** Visits the shards that are due in this tick. */
  tick(): void {
    if (this.queue.length === 0) this.startRound();
    for (let visited = 0; visited < this.perTick; visited += 1) {
      const kept = this.queue.pop();
      if (!kept) return;
      if (this.context.kept.get(kept.shard) === kept && kept.role === 'serving') this.visit(kept);
    }
  }

  /** Forgets what has expired in one shard. */
  visit(kept: KeptShard): void {
    const { table } = kept;
    for (let slot = 0; slot < table.capacity; slot += 1) {
      // A removal may move another flow into this slot.
      while (table.isOccupied(slot) && this.isExpired(kept, slot)) {
        if (!this.forget(kept, slot)) break;
      }
    }
    table.compact();
  }

  private startRound(): void {
    this.queue = [...this.context.kept.values()];
    this.perTick = Math.max(1, Math.ceil((this.queue.length * TICK_MS) / EXPIRY_ROUND_MS));
  }

  private isExpired(kept: KeptShard, slot: number): boolean {
    const flags = kept.table.flags(slot);
    if ((flags & FlowFlag.PENDING) !== 0) return false;
    const idleSeconds = this.context.nowSeconds() - kept.table.seenSeconds(slot);
    return idleSeconds >= this.idleLimit(kept, slot, flags);
  }

  private idleLimit(kept: KeptShard, slot: number, flags: number): number {
    if ((flags & FlowFlag.CLOSED) !== 0) return CLOSED_LINGER_SECONDS;
    const idleTimeout = this.context.catalogue.at(kept.table.backendIndex(slot)).idleTimeoutSeconds;
    if ((flags & FlowFlag.ANSWERED) === 0) return Math.min(idleTimeout, UNANSWERED_IDLE_SECONDS);
    const halfClosed = (flags & (FlowFlag.CALLER_FINISHED | FlowFlag.BACKEND_FINISHED)) !== 0;
    return halfClosed ? Math.min(idleTimeout, HALF_CLOSED_IDLE_SECONDS) : idleTimeout;
  }

  /** True when the slot was freed; a flow with a record stays until the backup has removed it. */
  private forget(kept: KeptShard, slot: number): boolean {
    const { table, backup } = kept;
    if (!table.hasFlag(slot, FlowFlag.EXCEPTION) || !backup) {
      this.context.removeKept(table, slot);
      return true;
    }
    if (kept.syncingTo !== undefined) return false;
    const entry = this.context.catalogue.at(table.backendIndex(slot));
    if (!table.hasFlag(slot, FlowFlag.CLOSED)) this.context.countClosed(entry);
    table.setFlags(slot, table.flags(slot) | FlowFlag.CLOSED | FlowFlag.PENDING);
    const fingerprint = { high: table.high(slot), low: table.low(slot) };
    kept.unacknowledgedRecords += 1;
    backup.replicate({ ...fingerprint, backendKey: entry.key, operation: RecordOperation.REMOVE }, () => {
      kept.unacknowledgedRecords -= 1;
      const current = table.find(fingerprint.high, fingerprint.low);
      if (current >= 0 && table.hasFlag(current, FlowFlag.CLOSED)) this.context.removeKept(table, current);
    });
    return false;
  }
}
