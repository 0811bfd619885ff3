/**
 * Sends shards to other balancers: parts that fit a datagram, sent again until each is acknowledged, then a slow poll
 * until the receiver says that the whole shard is installed. A window bounds the shards in transfer to one member.
 */
import type { InboundControlMessage } from '../control/types.js';
import {
  HEARTBEAT_MS,
  MAX_GROUP_ATTEMPTS,
  TRANSFER_RESEND_LIMIT_MS,
  TRANSFER_RESEND_MS,
  TRANSFER_WINDOW_RECORDS,
  TRANSFER_WINDOW_SHARDS,
  TRANSFER_WINDOW_SMALL_SHARDS,
} from './constants.js';
import type { FlowContext } from './flow-context.js';
import { sailquay } from './pb/flow.js';
import { expandAcknowledgements } from './shard-group.js';
import { cutParts, GroupBatch, headerOf, PartBatch } from './shard-parts.js';
import type { OutgoingShard, ShardSnapshot } from './outgoing-shard.js';
import { toBitmap } from './shard-set.js';

const { HandoverMessage, ShardPurpose, ShardStatus } = sailquay.flow;

interface ActiveTransfer {
  readonly outgoing: OutgoingShard;
  readonly snapshot: ShardSnapshot;
  readonly transferId: number;
  readonly header: sailquay.flow.ShardPart.$Properties;
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
  /** Records of the active transfers. */
  activeRecords = 0;
  /** The form that the target has answered; groups are tried first. */
  form: 'unknown' | 'groups' | 'parts' = 'unknown';

  constructor(readonly targetId: string) {}

  hasRoom(): boolean {
    if (this.active.size < TRANSFER_WINDOW_SHARDS) return true;
    return this.active.size < TRANSFER_WINDOW_SMALL_SHARDS && this.activeRecords < TRANSFER_WINDOW_RECORDS;
  }

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
  onAcks(message: sailquay.flow.ShardAcks.$Properties, from: InboundControlMessage): void {
    const lanes = this.lanesOf(from.senderId);
    const groups = message.groups ?? [];
    for (const [, lane] of lanes) {
      if (groups.length > 0) lane.form = 'groups';
      else if (lane.form === 'unknown') lane.form = 'parts';
    }
    const acks = [...(message.acks ?? []), ...groups.flatMap((group) => expandAcknowledgements(group))];
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
    if (status === ShardStatus.RECEIVED) {
      // The receiver tells by itself when the shard is installed; asking is only for the case that this is lost.
      if (transfer.unacknowledged.size === 0) {
        transfer.nextSendMs = this.context.now() + TRANSFER_RESEND_LIMIT_MS;
      }
      return;
    }
    lane.active.delete(transfer.transferId);
    lane.activeRecords -= transfer.snapshot.records.length;
    if (status === ShardStatus.DONE) transfer.outgoing.onDone(boot, transfer.snapshot);
    else transfer.outgoing.onFailed();
  }

  private pump(lane: TransferLane): void {
    while (lane.hasRoom() && lane.queued.length > 0) {
      this.begin(lane, lane.queued.shift()!);
    }
    if (lane.active.size > 0) this.sendDue(lane);
  }

  private begin(lane: TransferLane, outgoing: OutgoingShard): void {
    const snapshot = outgoing.snapshot();
    if (!snapshot) return outgoing.onFailed();
    const transferId = this.nextTransferId;
    this.nextTransferId = (this.nextTransferId + 1) >>> 0;
    const header = headerOf(outgoing, snapshot);
    const parts = cutParts(header, outgoing.shard, transferId, snapshot.records);
    const unacknowledged = new Set(parts.keys());
    lane.activeRecords += snapshot.records.length;
    lane.active.set(transferId, {
      outgoing,
      snapshot,
      transferId,
      header,
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
    const send = (message: sailquay.flow.ShardParts.$Properties): boolean =>
      this.send(lane.targetId, message);
    const batch = new PartBatch(send);
    const groups = new GroupBatch(send);
    for (const transfer of lane.active.values()) {
      if (transfer.nextSendMs > nowMs) continue;
      const sent = mayGroup(lane, transfer)
        ? this.sendInGroup(transfer, groups)
        : this.sendParts(transfer, batch);
      if (!sent) return;
    }
    if (groups.flush()) batch.flush();
  }

  private sendInGroup(transfer: ActiveTransfer, groups: GroupBatch): boolean {
    const { transferId, header, outgoing, snapshot } = transfer;
    const shard = { shard: outgoing.shard, transferId, records: snapshot.records };
    return groups.add(header, shard, () => this.scheduleRepeat(transfer));
  }

  private sendParts(transfer: ActiveTransfer, batch: PartBatch): boolean {
    const { parts, unacknowledged } = transfer;
    const due = unacknowledged.size > 0 ? [...unacknowledged] : [parts.length - 1];
    if (!due.every((part) => batch.add(parts[part]!))) return false;
    this.scheduleRepeat(transfer);
    return true;
  }

  private scheduleRepeat(transfer: ActiveTransfer): void {
    const backoffMs = Math.min(TRANSFER_RESEND_LIMIT_MS, TRANSFER_RESEND_MS * 2 ** transfer.attempts);
    const awaitsInstallation = transfer.unacknowledged.size === 0;
    transfer.nextSendMs = this.context.now() + (awaitsInstallation ? TRANSFER_RESEND_LIMIT_MS : backoffMs);
    transfer.attempts += 1;
  }

  private send(targetId: string, parts: sailquay.flow.ShardParts.$Properties): boolean {
    const member = this.context.member(targetId);
    if (!member) return false;
    const payload = HandoverMessage.encode({ parts }).finish();
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

function mayGroup(lane: TransferLane, transfer: ActiveTransfer): boolean {
  if (transfer.parts.length > 1 || lane.form === 'parts') return false;
  return lane.form === 'groups' || transfer.attempts < MAX_GROUP_ATTEMPTS;
}
