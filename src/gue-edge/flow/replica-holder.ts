/**
 * The backup's side of replication: stores exceptions, acknowledges heartbeats, and answers with its own placements.
 *
 * Owns the replicas held for other keepers and what is known of each keeper's process. Relies on keepers to repeat
 * batches that are not acknowledged: a batch that refers to unknown back ends or comes out of order is left
 * unanswered.
 */
import type { InboundControlMessage } from '../control/types.js';
import { HEARTBEAT_MS } from './constants.js';
import type { FlowContext } from './flow-context.js';
import { shardOf } from './flow-key.js';
import { FlowFlag } from './flow-table.js';
import { KeeperLink } from './keeper-link.js';
import type { KnowledgeExchange } from './knowledge-exchange.js';
import { sailquay } from './pb/flow.js';
import { hasUnreported, keepOwnPlacements, OwnPlacements } from './own-placements.js';
import { RecordOperation, RecordStatus, unpackBatch, type BatchRecord } from './record-codec.js';
import { confirmsReplicas, isSurelyBackup, keeperHasFailed, silenceBreaksTrust } from './replica-rules.js';
import type { ReplicaShard } from './shard-holding.js';
import { fromBitmap, packShards, toBitmap, unpackShards } from './shard-set.js';

const { ReplicationMessage, HandoverMessage } = sailquay.flow;

/**
 * A replica this young, in ms, is not dropped by an assignment that may have been sent before it. Longer than an
 * assignment travels.
 */
const ASSIGNMENT_GRACE_MS = 1_000;

/** Replicas of other keepers' shards. */
export class ReplicaHolder {
  private readonly keepers = new Map<string, KeeperLink>();
  private readonly ownPlacements: OwnPlacements;
  private nextReportMs = 0;

  constructor(
    private readonly context: FlowContext,
    private readonly knowledge: KnowledgeExchange,
  ) {
    this.ownPlacements = new OwnPlacements(context);
  }

  /**
   * Stores a snapshot of a keeper's exceptions in place of any earlier replica of the shard. False when the keeper's
   * shards were handed on and it has not taken notice yet.
   */
  install(replica: ReplicaShard, generation: number): boolean {
    const link = this.link(replica.keeperId, replica.keeperBoot);
    link.generation = Math.max(link.generation, generation);
    if (link.boot !== replica.keeperBoot || link.lapsed) return false;
    const earlier = this.context.replicas.get(replica.shard);
    if (earlier) {
      keepOwnPlacements(earlier, replica);
      this.remove(earlier);
    }
    this.context.replicas.set(replica.shard, replica);
    link.shards.add(replica.shard);
    return true;
  }

  /** Drops a replica. */
  remove(replica: ReplicaShard): void {
    if (this.context.replicas.get(replica.shard) !== replica) return;
    this.context.replicas.delete(replica.shard);
    const link = this.keepers.get(replica.keeperId);
    if (link?.boot === replica.keeperBoot) link.shards.delete(replica.shard);
  }

  /** True when the keeper's process has ended, is gone from the view, or was replaced; its lease has expired then. */
  keeperFailed(replica: ReplicaShard): boolean {
    const link = this.keepers.get(replica.keeperId);
    const inView = this.context.member(replica.keeperId) !== undefined;
    return keeperHasFailed({ replica, link, inView, nowMs: this.context.now() });
  }

  /** True while the keeper cannot have replaced this backup. */
  isSurelyBackup(replica: ReplicaShard): boolean {
    return isSurelyBackup(replica.keeperBoot, this.keepers.get(replica.keeperId), this.context.now());
  }

  /** Stops acknowledging a keeper's heartbeats, because its shards are being handed to others. */
  markLapsed(replica: ReplicaShard): void {
    // A replica that lapsed earlier says nothing about the generation that the keeper has reached since.
    if (replica.lapsed) return;
    replica.lapsed = true;
    const link = this.keepers.get(replica.keeperId);
    if (link?.boot !== replica.keeperBoot || link.lapsed) return;
    link.lapsedGeneration = link.generation;
    for (const shard of link.shards.values()) {
      const other = this.context.replicas.get(shard);
      if (other?.keeperId === replica.keeperId) other.lapsed = true;
    }
  }

  /** Marks every replica as possibly superseded, until its keeper confirms it. */
  distrustAll(): void {
    for (const replica of this.context.replicas.values()) replica.trusted = false;
  }

  /** Distrusts replicas of keepers that are heard by others only, and reports own placements to the keepers. */
  tick(): void {
    const nowMs = this.context.now();
    for (const [keeperId, link] of this.keepers) {
      const active = this.context.member(keeperId)?.state === 'active';
      if (silenceBreaksTrust(active, nowMs - link.lastHeardAtMs)) this.distrust(keeperId);
    }
    if (nowMs < this.nextReportMs) return;
    this.nextReportMs = nowMs + HEARTBEAT_MS;
    this.ownPlacements.reportAll(this.keepers.keys());
  }

  /** Takes in a keeper's message; false when it is not one. */
  handle(message: sailquay.flow.ReplicationMessage, from: InboundControlMessage): boolean {
    if (message.heartbeat) this.onHeartbeat(message.heartbeat, from);
    else if (message.records && !message.records.fromBackup) this.onRecords(message.records, from);
    else if (message.recordsAck?.fromBackup)
      this.ownPlacements.onAck(message.recordsAck, (shard) => this.held(shard, from));
    else if (message.assignment) this.onAssignment(message.assignment, from);
    else if (message.baseAdvance) this.onBaseAdvance(message.baseAdvance, from);
    else return false;
    return true;
  }

  /** Lets go of shards that a keeper replicates elsewhere now, once the keeper knows all flows placed here. */
  onRelease(release: sailquay.flow.Release.$Properties, from: InboundControlMessage): void {
    const released = unpackShards(release.shards ?? new Uint8Array()).filter((shard) => {
      const replica = this.held(shard, from);
      if (replica && (replica.lapsed || hasUnreported(replica))) return false;
      if (replica) this.remove(replica);
      return true;
    });
    const shards = packShards(released);
    const payload = HandoverMessage.encode({ releaseAck: { shards } }).finish();
    this.context.components.control.send(from.from, 'handover', payload);
  }

  private link(keeperId: string, boot: number): KeeperLink {
    const known = this.keepers.get(keeperId);
    if (known && known.boot >= boot) return known;
    const link = new KeeperLink(boot, this.context.now());
    this.keepers.set(keeperId, link);
    return link;
  }

  private held(shard: number, from: InboundControlMessage): ReplicaShard | undefined {
    const replica = this.context.replicas.get(shard);
    if (replica?.keeperId !== from.senderId) return undefined;
    return replica.keeperBoot === from.senderIncarnation ? replica : undefined;
  }

  private onHeartbeat(heartbeat: sailquay.flow.Heartbeat.$Properties, from: InboundControlMessage): void {
    const link = this.link(from.senderId, from.senderIncarnation);
    if (link.boot !== from.senderIncarnation) return;
    const nowMs = this.context.now();
    link.lastHeardAtMs = nowMs;
    link.generation = Math.max(link.generation, heartbeat.generation ?? 0);
    if (!link.lapsed) link.lastAckSentAtMs = nowMs;
    const { size, digest } = link.shards;
    const confirmed = confirmsReplicas({
      assignedDigest: heartbeat.digest ?? 0,
      heldDigest: digest,
      echoMs: heartbeat.echo ?? 0,
      lapsed: link.lapsed,
      nowMs,
    });
    if (confirmed) this.trust(from.senderId, link);
    this.reply(from, {
      heartbeatAck: { echo: heartbeat.sentAt, sentAt: nowMs, shards: size, digest, lapsed: link.lapsed },
    });
    this.ownPlacements.report(from.senderId, from.from);
  }

  private trust(keeperId: string, link: KeeperLink): void {
    for (const shard of link.shards.values()) {
      const replica = this.context.replicas.get(shard);
      if (replica && !replica.trusted && replica.keeperId === keeperId) replica.trusted = true;
    }
  }

  private distrust(keeperId: string): void {
    for (const replica of this.context.replicas.values()) {
      if (replica.keeperId === keeperId) replica.trusted = false;
    }
  }

  private onRecords(batch: sailquay.flow.RecordBatch.$Properties, from: InboundControlMessage): void {
    const link = this.link(from.senderId, from.senderIncarnation);
    if (link.boot !== from.senderIncarnation || link.lapsed) return;
    const session = batch.session ?? 0;
    const sequence = batch.sequence ?? 0;
    const verdict = link.receive(session, sequence);
    if (verdict === 'ignore') return;
    if (verdict !== 'apply') return this.reply(from, { recordsAck: verdict.acknowledged });
    const backendKeys = [...(batch.backendKeys ?? [])];
    if (!this.knowledge.requireBackends(backendKeys, from)) return;
    const records = unpackBatch({ backendKeys, records: batch.records ?? new Uint8Array() });
    const ack = this.store(records, from);
    const recordsAck = { ...ack, sequence, session };
    link.acknowledge(sequence, recordsAck);
    this.reply(from, { recordsAck });
  }

  private store(
    records: readonly BatchRecord[],
    from: InboundControlMessage,
  ): { statuses: Uint8Array; ownKeys: number[] } {
    const statuses = new Uint8Array(records.length);
    const ownKeys: number[] = [];
    records.forEach((record, index) => {
      const replica = this.held(shardOf(record.high), from);
      if (!replica || replica.lapsed) statuses[index] = RecordStatus.NOT_HELD;
      else statuses[index] = this.storeOne(replica, record, ownKeys);
    });
    return { statuses, ownKeys };
  }

  private storeOne(replica: ReplicaShard, record: BatchRecord, ownKeys: number[]): number {
    const { table } = replica;
    const { catalogue } = this.context;
    const slot = table.find(record.high, record.low);
    if (record.operation === RecordOperation.REMOVE) {
      if (slot >= 0) table.remove(slot);
      return RecordStatus.STORED;
    }
    const entry = catalogue.find(record.backendKey)!;
    if (slot < 0) {
      table.insert(record.high, record.low, entry.index, FlowFlag.EXCEPTION, this.context.nowSeconds());
      return RecordStatus.STORED;
    }
    if (table.hasFlag(slot, FlowFlag.UNREPORTED) && table.backendIndex(slot) !== entry.index) {
      ownKeys.push(catalogue.at(table.backendIndex(slot)).key);
      return RecordStatus.OWN_RECORD;
    }
    table.setValue(slot, entry.index, FlowFlag.EXCEPTION);
    return RecordStatus.STORED;
  }

  private onAssignment(assignment: sailquay.flow.Assignment.$Properties, from: InboundControlMessage): void {
    const link = this.link(from.senderId, from.senderIncarnation);
    if (link.boot !== from.senderIncarnation || link.lapsed) return;
    const assigned = fromBitmap(assignment.shards ?? new Uint8Array());
    const youngestMs = this.context.now() - ASSIGNMENT_GRACE_MS;
    for (const shard of link.shards.values()) {
      const replica = this.held(shard, from);
      if (assigned.has(shard) || !replica || replica.installedAtMs > youngestMs) continue;
      // Handed on to the next keeper of the present view; the keeper may lack what was placed here.
      if (replica.lapsed) continue;
      this.remove(replica);
    }
    const missing = [...assigned].filter((shard) => !this.held(shard, from));
    if (missing.length > 0) this.reply(from, { assignmentReply: { missing: toBitmap(missing) } });
  }

  private onBaseAdvance(advance: sailquay.flow.BaseAdvance.$Properties, from: InboundControlMessage): void {
    const baseVersion = advance.baseVersion ?? 0;
    const oldestBaseVersion = advance.oldestBaseVersion ?? baseVersion;
    if (!this.knowledge.requireBases([baseVersion, oldestBaseVersion], from)) return;
    const advanced = unpackShards(advance.shards ?? new Uint8Array()).filter((shard) => {
      const replica = this.held(shard, from);
      if (!replica || replica.lapsed || hasUnreported(replica)) return false;
      if (replica.baseVersion > baseVersion) return false;
      replica.baseVersion = baseVersion;
      replica.oldestBaseVersion = oldestBaseVersion;
      if (oldestBaseVersion === baseVersion) replica.completeSinceMs ??= this.context.now();
      return true;
    });
    if (advanced.length < (advance.shards?.length ?? 0) / 2)
      this.ownPlacements.reportAll(this.keepers.keys());
    this.reply(from, { baseAdvanceAck: { baseVersion, shards: packShards(advanced) } });
  }

  private reply(to: InboundControlMessage, message: sailquay.flow.ReplicationMessage.$Properties): void {
    const payload = ReplicationMessage.encode(message).finish();
    this.context.components.control.send(to.from, 'replication', payload);
  }
}
