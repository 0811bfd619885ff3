/** The flow keeper: one answer for each flow, whichever balancer its packets reach. */
import { Ticker } from '../../common/event-stream.js';
import type { Endpoint } from '../../common/types.js';
import type { InboundControlMessage } from '../control/types.js';
import type { PacketView } from '../../fabric/types.js';
import type { EffectiveSettings } from '../../settings/types.js';
import { ActingBackup } from './acting-backup.js';
import { TICK_MS } from './constants.js';
import { FLOW_EVENTS } from './events.js';
import { FlowContext } from './flow-context.js';
import { FlowExpiry } from './flow-expiry.js';
import { fingerprintFlow, shardOf, type MutableFingerprint } from './flow-key.js';
import { HandOver } from './hand-over.js';
import { KeptFlows } from './kept-flows.js';
import { KnowledgeExchange } from './knowledge-exchange.js';
import { Openings } from './openings.js';
import { Ownership } from './ownership.js';
import { PacketRelay } from './packet-relay.js';
import { sailquay } from './pb/flow.js';
import { PlacementReports } from './placement-reports.js';
import type { FlowComponents, FlowDescription, HandOverReport, PacketForwarder } from './packet-forwarder.js';
import { Rebaser } from './rebase.js';
import { ReplicaHolder } from './replica-holder.js';
import { ReplicaPeers } from './replica-peers.js';
import { ShardClaims } from './shard-claims.js';
import { ShardReceiver } from './shard-receiver.js';
import { ShardSender } from './shard-sender.js';
import type { FlowStatistics } from './types.js';

const { ReplicationMessage, HandoverMessage } = sailquay.flow;

/** Keeps the flows of this balancer's shards and replicates them; see docs/DESIGN.md. */
export class FlowKeeper implements PacketForwarder {
  private readonly context: FlowContext;
  private readonly openings: Openings;
  private readonly relay: PacketRelay;
  private readonly keptFlows: KeptFlows;
  private readonly actingBackup: ActingBackup;
  private readonly knowledge: KnowledgeExchange;
  private readonly holder: ReplicaHolder;
  private readonly peers: ReplicaPeers;
  private readonly sender: ShardSender;
  private readonly receiver: ShardReceiver;
  private readonly ownership: Ownership;
  private readonly claims: ShardClaims;
  private readonly rebaser: Rebaser;
  private readonly reports: PlacementReports;
  private readonly expiry: FlowExpiry;
  private readonly handOvers: HandOver;
  private readonly fingerprint: MutableFingerprint = { high: 0, low: 0 };

  constructor(private readonly components: FlowComponents) {
    const context = new FlowContext(components);
    this.context = context;
    this.openings = new Openings(context);
    this.relay = new PacketRelay(context);
    this.keptFlows = new KeptFlows(context, this.openings, this.relay);
    this.knowledge = new KnowledgeExchange(context);
    this.holder = new ReplicaHolder(context, this.knowledge);
    this.actingBackup = new ActingBackup(context, this.relay, this.holder);
    this.sender = new ShardSender(context);
    this.receiver = new ShardReceiver(context, this.knowledge, (incoming) =>
      this.ownership.install(incoming),
    );
    this.peers = new ReplicaPeers(context, {
      onLapsed: (peer) => this.ownership.onLapsed(peer),
      onLapsedUnseen: (memberId) => this.ownership.onLapsedUnseen(memberId),
      onMissing: (peer, shards) => this.ownership.backups.onMissing(peer, shards),
      onClosed: (peer) => this.ownership.backups.onPeerClosed(peer),
    });
    this.ownership = new Ownership(context, {
      relay: this.relay,
      holder: this.holder,
      peers: this.peers,
      sender: this.sender,
      receiver: this.receiver,
    });
    this.claims = new ShardClaims(context);
    this.rebaser = new Rebaser(context);
    this.reports = new PlacementReports(context, this.openings);
    this.expiry = new FlowExpiry(context);
    this.handOvers = new HandOver(context, this.ownership);
  }

  start(signal: AbortSignal): void {
    const { membership, settings, control, clock } = this.components;
    const current = settings.current();
    if (current) this.onSettings(current);
    const endSettings = settings.subscribe((applied) => this.onSettings(applied));
    const endViews = membership.subscribe((view) => this.ownership.onView(view));
    signal.addEventListener('abort', () => {
      endSettings();
      endViews();
    });
    control.handle('replication', (message) => this.guard(() => this.onReplication(message)));
    control.handle('handover', (message) => this.guard(() => this.onHandover(message)));
    this.ownership.onView(membership.view());
    new Ticker(clock, () => TICK_MS).run(signal, () => this.tick());
  }

  handlePacket(packet: PacketView): void {
    const { fingerprint, context } = this;
    const { sourceAddress, sourcePort, destinationAddress, destinationPort } = packet;
    fingerprintFlow(sourceAddress, sourcePort, destinationAddress, destinationPort, fingerprint);
    const shard = shardOf(fingerprint.high);
    const kept = context.kept.get(shard);
    if (kept && kept.role !== 'acquiring') return this.keptFlows.handle(kept, fingerprint, packet);
    if (kept && this.keptFlows.forwardRetained(kept, fingerprint, packet)) return;
    const replica = context.replicas.get(shard);
    if (replica && this.actingBackup.actsFor(replica)) {
      return this.actingBackup.handle(replica, fingerprint, packet);
    }
    if (replica && this.actingBackup.isAskedBy(replica, packet)) {
      return this.actingBackup.answerKeeper(replica, fingerprint, packet);
    }
    this.relay.relay(packet, shard, kept);
  }

  handleReturn(packet: PacketView, from: Endpoint): boolean {
    const { fingerprint } = this;
    const { sourceAddress, sourcePort, destinationAddress, destinationPort } = packet;
    fingerprintFlow(destinationAddress, destinationPort, sourceAddress, sourcePort, fingerprint);
    const kept = this.context.kept.get(shardOf(fingerprint.high));
    if (!kept || kept.role === 'acquiring') return false;
    return this.keptFlows.handleReturn(kept, fingerprint, packet, from);
  }

  openFlows(backendId: number): number {
    return this.context.catalogue.openFlows(backendId);
  }

  statistics(): FlowStatistics {
    const { kept, replicas, openFlows, counters } = this.context;
    const acquiring = [...kept.values()].filter((shard) => shard.role === 'acquiring').length;
    let replicated = 0;
    for (const replica of replicas.values()) replicated += replica.table.size;
    return counters.snapshot({
      open: openFlows,
      replicated,
      shardsKept: kept.size - acquiring,
      shardsBackedUp: replicas.size,
      shardsAcquiring: acquiring,
    });
  }

  describeFlows(): FlowDescription {
    const baseVersions: Record<string, number> = {};
    let memoryBytes = 0;
    for (const kept of this.context.kept.values()) {
      memoryBytes += kept.table.bytes;
      if (kept.role === 'acquiring') continue;
      baseVersions[kept.baseVersion] = (baseVersions[kept.baseVersion] ?? 0) + 1;
    }
    for (const replica of this.context.replicas.values()) memoryBytes += replica.table.bytes;
    return {
      statistics: this.statistics(),
      serving: this.isServing(),
      memoryBytes,
      baseVersions,
      peers: this.peers.list().map((peer) => peer.describe()),
    };
  }

  isServing(): boolean {
    const { view, leaving, kept, map, selfId } = this.context;
    if (!view.quorate || leaving || !this.components.settings.current()) return false;
    if (!map.owners.some((owner) => owner.id === selfId)) return false;
    for (const shard of kept.values()) if (shard.role === 'acquiring') return false;
    return true;
  }

  handOver(signal: AbortSignal): Promise<HandOverReport> {
    return this.handOvers.begin(signal);
  }

  /** Base version of a shard that is kept here; undefined when it is not. */
  baseVersionOf(shard: number): number | undefined {
    const kept = this.context.kept.get(shard);
    return kept && kept.role !== 'acquiring' ? kept.baseVersion : undefined;
  }

  private onSettings(settings: EffectiveSettings): void {
    this.context.bases.add(settings);
    this.context.services.replace(settings.services);
    this.context.catalogue.refresh(settings.services);
    this.retainBases(settings.version);
  }

  private retainBases(currentVersion: number): void {
    const inUse = new Set([currentVersion]);
    for (const holding of [...this.context.kept.values(), ...this.context.replicas.values()]) {
      inUse.add(holding.baseVersion);
      inUse.add(holding.oldestBaseVersion);
    }
    for (const kept of this.context.kept.values()) if (kept.rebase) inUse.add(kept.rebase.toVersion);
    this.context.bases.retain(inUse);
  }

  private tick(): void {
    this.ownership.tick();
    this.peers.tick();
    this.holder.tick();
    this.sender.tick();
    this.receiver.tick();
    this.claims.tick();
    this.openings.tick();
    this.rebaser.tick();
    this.expiry.tick();
    this.handOvers.tick();
  }

  private onReplication(message: InboundControlMessage): void {
    const decoded = ReplicationMessage.decode(message.payload);
    if (decoded.records?.fromBackup) this.reports.onReport(decoded.records, message);
    else if (decoded.baseAdvanceAck) this.rebaser.onAdvanceAck(decoded.baseAdvanceAck, message);
    else if (!this.holder.handle(decoded, message)) this.peers.handle(decoded, message);
  }

  private onHandover(message: InboundControlMessage): void {
    const decoded = HandoverMessage.decode(message.payload);
    if (decoded.parts) this.receiver.onParts(decoded.parts, message);
    else if (decoded.acks) this.sender.onAcks(decoded.acks, message);
    else if (decoded.offer) this.ownership.onOffer(decoded.offer);
    else if (decoded.claim) this.claims.onClaim(decoded.claim, message);
    else if (decoded.release) this.holder.onRelease(decoded.release, message);
    else if (decoded.releaseAck) this.peers.onReleaseAck(decoded.releaseAck, message);
    else this.knowledge.handle(decoded, message);
  }

  /** A malformed message of another balancer must not end this process. */
  private guard(handler: () => void): void {
    try {
      handler();
    } catch (error) {
      this.components.events.emit(FLOW_EVENTS.undecodableMessage, { error: String(error) });
    }
  }
}
