/** All links of a keeper to its backups, one for each boot of a member. */
import { HEARTBEAT_MS } from './constants.js';
import type { FlowContext } from './flow-context.js';
import type { InboundControlMessage } from '../control/types.js';
import type { sailquay } from './pb/flow.js';
import { ReplicaPeer, type ReplicaPeerListener } from './replica-peer.js';
import { fromBitmap, unpackShards } from './shard-set.js';

/** What the links tell their owner. */
interface ReplicaPeersListener extends ReplicaPeerListener {
  onClosed(peer: ReplicaPeer): void;
  /** A member without a link treats this keeper as failed. */
  onLapsedUnseen(memberId: string): void;
}

/** Creates, finds and closes the links. */
export class ReplicaPeers {
  private readonly peers = new Map<string, ReplicaPeer>();
  private readonly generations = new Map<string, number>();
  private nextHeartbeatMs = 0;
  private nextSession = 1;

  constructor(
    private readonly context: FlowContext,
    private readonly listener: ReplicaPeersListener,
  ) {}

  /** The link to a member's present boot; a link to an earlier boot is closed. */
  open(memberId: string, boot: number): ReplicaPeer {
    const known = this.peers.get(memberId);
    if (known && known.boot === boot) return known;
    if (known) this.close(known);
    const generation = this.generationOf(memberId);
    const peer = new ReplicaPeer(
      this.context,
      { memberId, boot, session: this.nextSession, generation },
      this.listener,
    );
    this.nextSession += 1;
    this.peers.set(memberId, peer);
    return peer;
  }

  /** Times that a member has told this keeper that it had lapsed. */
  generationOf(memberId: string): number {
    return this.generations.get(memberId) ?? 0;
  }

  /** Notes a lapse; what is sent to the member from now on counts as new. */
  nextGeneration(memberId: string): void {
    this.generations.set(memberId, this.generationOf(memberId) + 1);
  }

  list(): ReplicaPeer[] {
    return [...this.peers.values()];
  }

  /** Sends heartbeats when due, repeats what is unacknowledged, and closes links to members that are gone. */
  tick(): void {
    const nowMs = this.context.now();
    const heartbeatDue = nowMs >= this.nextHeartbeatMs;
    if (heartbeatDue) this.nextHeartbeatMs = nowMs + HEARTBEAT_MS;
    for (const peer of this.list()) {
      if (!this.context.member(peer.memberId)) {
        this.close(peer);
        continue;
      }
      peer.resend();
      if (heartbeatDue) this.heartbeat(peer);
    }
    if (heartbeatDue) this.announceBoot();
  }

  /** Takes in a replication message that answers a keeper; false when it is not one. */
  handle(message: sailquay.flow.ReplicationMessage, from: InboundControlMessage): boolean {
    const peer = this.current(from);
    if (message.heartbeatAck) this.onHeartbeatAck(message.heartbeatAck, peer, from.senderId);
    else if (message.recordsAck) peer?.onRecordsAck(message.recordsAck);
    else if (message.assignmentReply) peer?.onMissing(missingShards(message.assignmentReply));
    else return false;
    return true;
  }

  /** The link that a message belongs to; closes a link to an earlier boot of its sender. */
  private current(from: InboundControlMessage): ReplicaPeer | undefined {
    const peer = this.peers.get(from.senderId);
    if (peer && from.senderIncarnation > peer.boot) this.close(peer);
    return peer && peer.boot === from.senderIncarnation && !peer.closed ? peer : undefined;
  }

  private onHeartbeatAck(
    ack: sailquay.flow.HeartbeatAck.$Properties,
    peer: ReplicaPeer | undefined,
    senderId: string,
  ): void {
    if (peer) peer.onHeartbeatAck(ack);
    else if (ack.lapsed) this.listener.onLapsedUnseen(senderId);
  }

  onReleaseAck(ack: sailquay.flow.ReleaseAck.$Properties, from: InboundControlMessage): void {
    const peer = this.peers.get(from.senderId);
    if (peer?.boot === from.senderIncarnation)
      peer.onReleaseAck(unpackShards(ack.shards ?? new Uint8Array()));
  }

  close(peer: ReplicaPeer): void {
    if (this.peers.get(peer.memberId) === peer) this.peers.delete(peer.memberId);
    peer.close();
    this.listener.onClosed(peer);
  }

  private heartbeat(peer: ReplicaPeer): void {
    if (peer.shards.size > 0 || peer.releasing.size > 0) peer.sendHeartbeat();
  }

  /** Lets probable former backups notice that this process has restarted and holds nothing. */
  private announceBoot(): void {
    const self = this.context.member(this.context.selfId);
    if (!self) return;
    for (const backup of this.context.map.backups(self)) {
      if (this.peers.has(backup.id)) continue;
      const generation = this.generationOf(backup.id);
      const identity = { memberId: backup.id, boot: 0, session: 0, generation };
      const peer = new ReplicaPeer(this.context, identity, this.listener);
      peer.sendHeartbeat();
    }
  }
}

function missingShards(reply: sailquay.flow.AssignmentReply.$Properties): ReadonlySet<number> {
  return fromBitmap(reply.missing ?? new Uint8Array());
}
