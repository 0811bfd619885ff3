/**
 * Sends handshake records to peers: at once if the budget allows, since this daemon may be lost at any time. Owns the
 * records that wait to be sent. Records that are added in the same turn of the event loop share a message.
 */
import type { Clock, TimerHandle } from '../../common/clock.js';
import { MAX_HANDSHAKE_RECORDS, MAX_RECORDS_PER_MESSAGE, ROUND_INTERVAL_MS } from './constants.js';
import { flowKey } from './flow-key.js';
import { RoundBudget } from './round-budget.js';
import type { HandshakeRecord, OpeningPeers } from './types.js';

/** Dependencies of `HandshakeReplicator`. */
interface HandshakeReplicatorOptions {
  readonly clock: Clock;
  readonly peers: Pick<OpeningPeers, 'shareHandshakes'>;
}

/** Replication of handshake records by one daemon. */
export class HandshakeReplicator {
  private readonly waiting = new Map<string, HandshakeRecord>();
  private readonly budget = new RoundBudget();
  private timer: TimerHandle | undefined;

  constructor(private readonly options: HandshakeReplicatorOptions) {}

  /** Sends a record to peers soon; it replaces a waiting one of its flow. Drops the oldest one if too many wait. */
  replicate(record: HandshakeRecord): void {
    this.waiting.set(flowKey(record), record);
    const [oldest] = this.waiting.keys();
    if (this.waiting.size > MAX_HANDSHAKE_RECORDS && oldest !== undefined) this.waiting.delete(oldest);
    this.scheduleMessage(0);
  }

  /** Discards the waiting records. */
  stop(): void {
    this.timer?.cancel();
    this.waiting.clear();
  }

  private scheduleMessage(delayMs: number): void {
    const { clock } = this.options;
    const waitMs = Math.max(delayMs, this.budget.untilAvailableMs(clock.now()));
    this.timer ??= clock.schedule(waitMs, () => this.sendMessage());
  }

  private sendMessage(): void {
    const { clock, peers } = this.options;
    this.timer = undefined;
    if (this.budget.tryTake(clock.now())) {
      const batch = [...this.waiting].slice(0, MAX_RECORDS_PER_MESSAGE);
      for (const [key] of batch) this.waiting.delete(key);
      peers.shareHandshakes(batch.map(([, record]) => record));
    }
    if (this.waiting.size > 0) this.scheduleMessage(ROUND_INTERVAL_MS);
  }
}
