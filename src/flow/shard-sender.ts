/**
 * Sends shards to other balancers: parts that fit a datagram, sent again until each is acknowledged, then a slow poll
 * until the receiver says that the whole shard is installed. A window bounds the shards in transfer to one member.
 */
import type { InboundControlMessage } from '../control/types.js';
import {
  HEARTBEAT_MS,
  MAX_PART_RECORDS,
  TRANSFER_DATAGRAM_BYTES,
  TRANSFER_RESEND_LIMIT_MS,
  TRANSFER_RESEND_MS,
  TRANSFER_WINDOW_SHARDS,
} from './constants.js';
import type { FlowContext } from './flow-context.js';
import { sailquay } from './pb/flow.js';
import { packPart, type ShardRecord } from './record-codec.js';
import { toBitmap } from './shard-set.js';

const { HandoverMessage, ShardPurpose, ShardStatus } = sailquay.flow;

/** Content of a shard at the moment its transfer begins. */
export interface ShardSnapshot {
  readonly epoch: number;
  readonly baseVersion: number;
  readonly oldestBaseVersion: number;
  readonly complete: boolean;
  readonly trusted: boolean;
  readonly learningMs: number;
  readonly records: readonly ShardRecord[];
}

/** One shard on its way. */
export interface OutgoingShard {
  readonly shard: number;
  readonly purpose: sailquay.flow.ShardPurpose;
  readonly targetId: string;
  /** Taken when the transfer leaves the queue; undefined cancels it. */
  readonly snapshot: () => ShardSnapshot | undefined;
  /** The receiver has installed the shard. `boot` is that of the receiving process. */
  readonly onDone: (boot: number, snapshot: ShardSnapshot) => void;
  /** The receiver refused the shard, or the transfer was cancelled or its target is gone. */
  readonly onFailed: () => void;
  /** Generation of this keeper towards the backup; see `ReplicaPeers.generationOf`. */
  readonly generation?: () => number;
}

interface ActiveTransfer {
  readonly outgoing: OutgoingShard;
  readonly snapshot: ShardSnapshot;
  readonly transferId: number;
  readonly parts: readonly sailquay.flow.ShardPart.$Properties[];
  readonly unacknowledged: Set<number>;
  nextSendMs: number;
  attempts: number;
}

/**
 * Transfers to one member, either snapshots for a backup or shards for a keeper. The two have windows of their own,
 * because a shard is only acknowledged once its receiver has replicated it, perhaps to this balancer and in turn.
 */
class TransferLane {
  readonly queued: OutgoingShard[] = [];
  readonly active = new Map<number, ActiveTransfer>();

  constructor(readonly targetId: string) {}

  all(): OutgoingShard[] {
    return [...[...this.active.values()].map((transfer) => transfer.outgoing), ...this.queued];
  }
}

/** Every transfer of this balancer. */
export class ShardSender {
  private readonly lanes = new Map<string, TransferLane>();
  private nextTransferId: number;
  private nextOfferMs = 0;

  constructor(private readonly context: FlowContext) {
    this.nextTransferId = Math.floor(context.components.random() * 0x8000_0000);
  }

  /** Queues a shard; the lane of its target starts it when the window has room. */
  enqueue(outgoing: OutgoingShard): void {
    this.lane(outgoing).queued.push(outgoing);
  }

  /** Starts and repeats what is due. */
  tick(): void {
    this.sendOffersWhenDue();
    for (const lane of this.lanes.values()) this.pump(lane);
  }

  /** Ends every transfer to a member that is gone. */
  failTarget(targetId: string): void {
    const lanes = this.lanesOf(targetId);
    for (const [key] of lanes) this.lanes.delete(key);
    for (const [, lane] of lanes) for (const outgoing of lane.all()) outgoing.onFailed();
  }

  /** Members that something is queued for or on its way to. */
  targets(): string[] {
    return [...new Set([...this.lanes.values()].map((lane) => lane.targetId))];
  }

  /** Takes in the receiver's acknowledgements. */
  onAcks(acks: readonly sailquay.flow.ShardAck.$Properties[], from: InboundControlMessage): void {
    const lanes = this.lanesOf(from.senderId);
    for (const ack of acks) for (const [, lane] of lanes) this.onAck(lane, ack, from.senderIncarnation);
    for (const [, lane] of lanes) this.pump(lane);
  }

  private lanesOf(targetId: string): [string, TransferLane][] {
    return [...this.lanes].filter(([, lane]) => lane.targetId === targetId);
  }

  private lane(outgoing: OutgoingShard): TransferLane {
    const key = `${outgoing.targetId} ${outgoing.purpose === ShardPurpose.REPLICA ? 'replicas' : 'shards'}`;
    let lane = this.lanes.get(key);
    if (!lane) {
      lane = new TransferLane(outgoing.targetId);
      this.lanes.set(key, lane);
    }
    return lane;
  }

  private onAck(lane: TransferLane, ack: sailquay.flow.ShardAck.$Properties, boot: number): void {
    const transfer = lane.active.get(ack.transferId ?? 0);
    if (!transfer) return;
    transfer.unacknowledged.delete(ack.part ?? 0);
    const status = ack.status ?? ShardStatus.RECEIVED;
    if (status === ShardStatus.RECEIVED) return;
    lane.active.delete(transfer.transferId);
    if (status === ShardStatus.DONE) transfer.outgoing.onDone(boot, transfer.snapshot);
    else transfer.outgoing.onFailed();
  }

  private pump(lane: TransferLane): void {
    while (lane.active.size < TRANSFER_WINDOW_SHARDS && lane.queued.length > 0) {
      this.begin(lane, lane.queued.shift()!);
    }
    if (lane.active.size > 0) this.sendDue(lane);
  }

  private begin(lane: TransferLane, outgoing: OutgoingShard): void {
    const snapshot = outgoing.snapshot();
    if (!snapshot) return outgoing.onFailed();
    const transferId = this.nextTransferId;
    this.nextTransferId = (this.nextTransferId + 1) >>> 0;
    const parts = cutParts(outgoing, snapshot, transferId);
    const unacknowledged = new Set(parts.keys());
    lane.active.set(transferId, {
      outgoing,
      snapshot,
      transferId,
      parts,
      unacknowledged,
      nextSendMs: 0,
      attempts: 0,
    });
  }

  private sendDue(lane: TransferLane): void {
    const nowMs = this.context.now();
    // Offers keep their turn when the byte budget is short: without them a shard would be started empty elsewhere.
    if (nowMs >= this.nextOfferMs) return;
    const batch = new PartBatch((parts) => this.send(lane.targetId, parts));
    for (const transfer of lane.active.values()) {
      if (transfer.nextSendMs > nowMs) continue;
      if (!this.sendTransfer(transfer, batch)) return;
      const delayMs = Math.min(TRANSFER_RESEND_LIMIT_MS, TRANSFER_RESEND_MS * 2 ** transfer.attempts);
      transfer.nextSendMs = nowMs + delayMs;
      transfer.attempts += 1;
    }
    batch.flush();
  }

  private sendTransfer(transfer: ActiveTransfer, batch: PartBatch): boolean {
    const { parts, unacknowledged } = transfer;
    const due = unacknowledged.size > 0 ? [...unacknowledged] : [parts.length - 1];
    return due.every((part) => batch.add(parts[part]!));
  }

  private send(targetId: string, parts: readonly sailquay.flow.ShardPart.$Properties[]): boolean {
    const member = this.context.member(targetId);
    if (!member) return false;
    const payload = HandoverMessage.encode({ parts: { parts: [...parts] } }).finish();
    return this.context.components.control.send(member.control, 'handover', payload);
  }

  /** Keeps new keepers from starting shards empty that wait here for their turn. */
  private sendOffersWhenDue(): void {
    const nowMs = this.context.now();
    if (nowMs < this.nextOfferMs) return;
    const allSent = [...this.lanes.values()].every((lane) => this.sendOffer(lane));
    if (allSent) this.nextOfferMs = nowMs + HEARTBEAT_MS;
  }

  private sendOffer(lane: TransferLane): boolean {
    const shards = lane
      .all()
      .filter((outgoing) => outgoing.purpose !== ShardPurpose.REPLICA)
      .map((outgoing) => outgoing.shard);
    const member = this.context.member(lane.targetId);
    if (shards.length === 0 || !member) return true;
    const payload = HandoverMessage.encode({ offer: { shards: toBitmap(shards) } }).finish();
    return this.context.components.control.send(member.control, 'handover', payload);
  }
}

/** Collects parts for one datagram. */
class PartBatch {
  private parts: sailquay.flow.ShardPart.$Properties[] = [];
  private bytes = 0;

  constructor(private readonly send: (parts: readonly sailquay.flow.ShardPart.$Properties[]) => boolean) {}

  /** False when the byte budget is used up. */
  add(part: sailquay.flow.ShardPart.$Properties): boolean {
    const bytes = PART_OVERHEAD_BYTES + part.records!.length + part.backendKeys!.length * 4;
    if (this.bytes + bytes > TRANSFER_DATAGRAM_BYTES && !this.flush()) return false;
    this.parts.push(part);
    this.bytes += bytes;
    return true;
  }

  flush(): boolean {
    if (this.parts.length === 0) return true;
    const sent = this.send(this.parts);
    this.parts = [];
    this.bytes = 0;
    return sent;
  }
}

/** Upper bound of the fields of a part without records and keys. */
const PART_OVERHEAD_BYTES = 64;
/** Different back ends in one part, so that the keys leave room for records. */
const MAX_PART_KEYS = 40;

function cutParts(
  outgoing: OutgoingShard,
  snapshot: ShardSnapshot,
  transferId: number,
): sailquay.flow.ShardPart.$Properties[] {
  const groups = groupRecords(snapshot.records);
  const { epoch, baseVersion, oldestBaseVersion, complete, trusted, learningMs } = snapshot;
  return groups.map((records, part) => ({
    shard: outgoing.shard,
    epoch,
    purpose: outgoing.purpose,
    transferId,
    part,
    partCount: groups.length,
    baseVersion,
    oldestBaseVersion,
    complete,
    trusted,
    learningMs,
    generation: outgoing.generation?.(),
    ...packPart(records),
  }));
}

function groupRecords(records: readonly ShardRecord[]): ShardRecord[][] {
  const groups: ShardRecord[][] = [[]];
  let keys = new Set<number>();
  for (const record of records) {
    if (groups.at(-1)!.length >= MAX_PART_RECORDS || keys.size >= MAX_PART_KEYS) {
      groups.push([]);
      keys = new Set();
    }
    groups.at(-1)!.push(record);
    keys.add(record.backendKey);
  }
  return groups;
}
