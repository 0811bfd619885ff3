/**
 * A keeper's link to one backup: heartbeats that carry the lease, and batches of exception records that are sent again
 * until they are acknowledged. Batches are applied in order, so a late copy of an old one changes nothing.
 */
import type { TimerHandle } from '../../common/clock.js';
import type { Member } from '../membership/types.js';
import type { FlowComponents, ReplicaPeerDescription } from './packet-forwarder.js';
import {
  BATCH_FLUSH_MS,
  BATCH_FLUSH_SHORT_BUDGET_MS,
  EXCEPTION_RESERVE_BYTES_PER_SECOND,
  LEASE_MARGIN_MS,
  LEASE_MS,
  MAX_BATCH_RECORDS,
  RESEND_LIMIT_MS,
  RESEND_MS,
} from './constants.js';
import { sailquay } from './pb/flow.js';
import { packBatch, RecordStatus, type BatchRecord } from './record-codec.js';
import { DigestedShardSet, packShards, toBitmap } from './shard-set.js';

const { ReplicationMessage, HandoverMessage } = sailquay.flow;

/** Outcome of one record; `ownKey` is set when the backup answered with its own placement. */
export interface RecordOutcome {
  readonly status: number;
  readonly ownKey?: number;
}

interface QueuedRecord {
  readonly record: BatchRecord;
  readonly done: (outcome: RecordOutcome) => void;
}

interface SentBatch {
  readonly sequence: number;
  readonly entries: readonly QueuedRecord[];
  readonly payload: Uint8Array;
  sentAtMs: number;
  attempts: number;
}

/** What a link needs of the flow keeper. */
interface PeerContext {
  readonly components: Pick<FlowComponents, 'clock' | 'control'>;
  /** Monotonic ms. */
  now(): number;
  /** A member that is not gone. */
  member(id: string): Member | undefined;
}

/** What the link tells its owner. */
export interface ReplicaPeerListener {
  /** The backup treats this keeper as failed. */
  onLapsed(peer: ReplicaPeer): void;
  /** The backup lacks these shards although they are assigned to it. */
  onMissing(peer: ReplicaPeer, shards: Iterable<number>): void;
}

/** What tells one link from another. */
interface LinkIdentity {
  readonly memberId: string;
  /** Boot of the backup's process. */
  readonly boot: number;
  /** Rises with each link of this process; batches are numbered within it. */
  readonly session: number;
  /** Rises with each lapse that this backup has told of. */
  readonly generation: number;
}

/** Link to one boot of one backup. */
export class ReplicaPeer {
  readonly memberId: string;
  readonly boot: number;
  private readonly session: number;
  private readonly generation: number;
  /** Shards whose exceptions the backup holds. */
  readonly shards = new DigestedShardSet();
  /** Shards that the backup still has to let go of. */
  readonly releasing = new Set<number>();
  closed = false;
  private lastAckedSentAtMs = Number.NEGATIVE_INFINITY;
  private lastAckReceivedAtMs: number;
  private readonly openedAtMs: number;
  private echo = 0;
  private digestAtLastHeartbeat = 0;
  private nextSequence = 1;
  private queue: QueuedRecord[] = [];
  private readonly sent: SentBatch[] = [];
  private flushTimer: TimerHandle | undefined;

  constructor(
    private readonly context: PeerContext,
    identity: LinkIdentity,
    private readonly listener: ReplicaPeerListener,
  ) {
    this.memberId = identity.memberId;
    this.boot = identity.boot;
    this.session = identity.session;
    this.generation = identity.generation;
    this.openedAtMs = context.now();
    this.lastAckReceivedAtMs = this.openedAtMs;
  }

  /** True while a heartbeat that was sent less than a lease ago has been acknowledged. */
  get leaseHeld(): boolean {
    return !this.closed && this.context.now() - this.lastAckedSentAtMs < LEASE_MS;
  }

  /** True when the backup cannot act for a shard any more: it let go, or has surely noticed the silence. */
  hasLetGo(shard: number): boolean {
    if (!this.releasing.has(shard)) return true;
    return this.context.now() - this.lastAckReceivedAtMs > LEASE_MS + LEASE_MARGIN_MS;
  }

  /** Stores a record at the backup; `done` is called once, on its acknowledgement or when the link closes. */
  replicate(record: BatchRecord, done: (outcome: RecordOutcome) => void): void {
    if (this.closed) return done({ status: RecordStatus.NOT_HELD });
    this.queue.push({ record, done });
    if (this.queue.length >= MAX_BATCH_RECORDS) this.flush();
    else this.flushTimer ??= this.context.components.clock.schedule(this.flushDelayMs(), () => this.flush());
  }

  /** Hands a shard to this backup's care after its snapshot was stored there. */
  assign(shard: number): void {
    this.releasing.delete(shard);
    this.shards.add(shard);
    if (!this.leaseHeld) this.sendHeartbeat();
  }

  /** Stops replicating a shard here and tells the backup. */
  release(shard: number): void {
    if (!this.shards.delete(shard)) return;
    this.releasing.add(shard);
  }

  /** Has a replica removed that is not replicated to. */
  disown(shard: number): void {
    if (this.shards.has(shard)) return;
    this.releasing.add(shard);
    this.sendReleases();
  }

  /** Sends what is due: a heartbeat and the shards to let go of. */
  sendHeartbeat(): void {
    this.digestAtLastHeartbeat = this.shards.digest;
    const { size, digest } = this.shards;
    this.sendReplication({
      heartbeat: {
        sentAt: this.context.now(),
        echo: this.echo,
        shards: size,
        digest,
        generation: this.generation,
      },
    });
    this.sendReleases();
  }

  /** Tells the backup which shards to let go of. */
  sendReleases(): void {
    if (this.releasing.size === 0) return;
    const shards = packShards([...this.releasing].slice(0, MAX_RELEASES));
    const message = HandoverMessage.encode({ release: { shards } }).finish();
    this.send('handover', message);
  }

  /** Sends unacknowledged batches again when their time has come. */
  resend(): void {
    const nowMs = this.context.now();
    for (const batch of this.sent) {
      const delayMs = Math.min(RESEND_LIMIT_MS, RESEND_MS * 2 ** batch.attempts);
      if (nowMs - batch.sentAtMs < delayMs) continue;
      if (!this.send('replication', batch.payload)) return;
      batch.sentAtMs = nowMs;
      batch.attempts += 1;
    }
  }

  /** Takes in the answer to a heartbeat. */
  onHeartbeatAck(ack: sailquay.flow.HeartbeatAck.$Properties): void {
    // An answer to a heartbeat from before this link says nothing about the shards replicated over it.
    if ((ack.echo ?? 0) < this.openedAtMs) return;
    if (ack.lapsed) return this.listener.onLapsed(this);
    this.lastAckedSentAtMs = Math.max(this.lastAckedSentAtMs, ack.echo ?? 0);
    this.lastAckReceivedAtMs = this.context.now();
    this.echo = ack.sentAt ?? 0;
    const unchanged = this.digestAtLastHeartbeat === this.shards.digest;
    if (unchanged && (ack.digest ?? 0) !== this.shards.digest) this.sendAssignment();
  }

  /** Takes in the backup's list of shards that it lacks. */
  onMissing(missing: Iterable<number>): void {
    this.listener.onMissing(
      this,
      [...missing].filter((shard) => this.shards.has(shard)),
    );
  }

  /** Takes in the acknowledgement of a batch. */
  onRecordsAck(ack: sailquay.flow.RecordBatchAck.$Properties): void {
    if ((ack.session ?? 0) !== this.session) return;
    const index = this.sent.findIndex((batch) => batch.sequence === ack.sequence);
    if (index < 0) return;
    const [batch] = this.sent.splice(index, 1);
    const statuses = ack.statuses ?? new Uint8Array();
    const ownKeys = [...(ack.ownKeys ?? [])];
    batch!.entries.forEach((entry, position) => {
      const status = statuses[position] ?? RecordStatus.NOT_HELD;
      if (status === RecordStatus.OWN_RECORD) entry.done({ status, ownKey: ownKeys.shift() });
      else entry.done({ status });
    });
  }

  onReleaseAck(shards: readonly number[]): void {
    for (const shard of shards) this.releasing.delete(shard);
  }

  /** Ends the link; everything unacknowledged is reported as not held. */
  close(): void {
    if (this.closed) return;
    this.closed = true;
    this.flushTimer?.cancel();
    const pending = [...this.sent.flatMap((batch) => batch.entries), ...this.queue];
    this.sent.length = 0;
    this.queue = [];
    for (const entry of pending) entry.done({ status: RecordStatus.NOT_HELD });
  }

  describe(): ReplicaPeerDescription {
    const inBatches = this.sent.reduce((sum, batch) => sum + batch.entries.length, 0);
    return {
      memberId: this.memberId,
      shards: this.shards.size,
      leaseHeld: this.leaseHeld,
      unacknowledgedRecords: inBatches + this.queue.length,
    };
  }

  /** Sends a replication message to the backup. */
  sendReplication(message: sailquay.flow.ReplicationMessage.$Properties): boolean {
    return this.send('replication', ReplicationMessage.encode(message).finish());
  }

  private sendAssignment(): void {
    this.sendReplication({ assignment: { shards: toBitmap(this.shards.values()) } });
  }

  private flushDelayMs(): number {
    const free = this.context.components.control.availableBytesPerSecond();
    return free < EXCEPTION_RESERVE_BYTES_PER_SECOND ? BATCH_FLUSH_SHORT_BUDGET_MS : BATCH_FLUSH_MS;
  }

  private flush(): void {
    this.flushTimer?.cancel();
    this.flushTimer = undefined;
    while (this.queue.length > 0) this.sendBatch(this.queue.splice(0, MAX_BATCH_RECORDS));
  }

  private sendBatch(entries: readonly QueuedRecord[]): void {
    const sequence = this.nextSequence;
    this.nextSequence += 1;
    const packed = packBatch(entries.map((entry) => entry.record));
    const records = { sequence, session: this.session, ...packed };
    const payload = ReplicationMessage.encode({ records }).finish();
    const batch = { sequence, entries, payload, sentAtMs: this.context.now(), attempts: 0 };
    this.sent.push(batch);
    this.send('replication', payload);
  }

  private send(kind: 'replication' | 'handover', payload: Uint8Array): boolean {
    const member = this.context.member(this.memberId);
    return member !== undefined && this.context.components.control.send(member.control, kind, payload);
  }
}

/** Shards named in one release message. Fits one datagram. */
const MAX_RELEASES = 400;
