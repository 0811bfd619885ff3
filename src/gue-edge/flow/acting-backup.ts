/**
 * Packets of shards whose keeper is suspect or gone, at their backup: it serves the records it holds and first choices,
 * and opens only on first choices. The keeper, if it still runs, chooses the same or asks for an exception first.
 */
import { sameEndpoint } from '../../common/types.js';
import type { PacketView } from '../../fabric/types.js';
import type { FlowFingerprint } from '../placement/types.js';
import { actsAsBackup, mayOpenAsBackup, mayReconstruct } from './acting-backup-rules.js';
import type { BackendEntry } from './backend-catalogue.js';
import type { FlowContext } from './flow-context.js';
import { FlowFlag } from './flow-table.js';
import { answerUnknownFlow } from './kept-flows.js';
import type { PacketRelay } from './packet-relay.js';
import type { ReplicaHolder } from './replica-holder.js';
import type { ServicePort } from './service-index.js';
import type { ReplicaShard } from './shard-holding.js';

/** Serves replicas while their keeper does not. */
export class ActingBackup {
  constructor(
    private readonly context: FlowContext,
    private readonly relay: PacketRelay,
    private readonly holder: ReplicaHolder,
  ) {}

  /** True when this balancer answers for the shard now. */
  actsFor(replica: ReplicaShard): boolean {
    const { context } = this;
    return actsAsBackup({
      trusted: replica.trusted,
      quorate: context.view.quorate,
      fresh: context.isFresh(),
      keeperState: context.member(replica.keeperId)?.state,
    });
  }

  /** A packet from a caller. */
  handle(replica: ReplicaShard, fingerprint: FlowFingerprint, packet: PacketView): void {
    const port = this.context.services.find(packet.destinationAddress, packet.destinationPort);
    const slot = replica.table.find(fingerprint.high, fingerprint.low);
    if (slot >= 0)
      return this.forward(this.context.catalogue.at(replica.table.backendIndex(slot)), packet, port);
    if (packet.syn && !packet.ack) return this.open(replica, fingerprint, packet, port);
    const { handedOn, lapsed } = replica;
    const reconstructible = mayReconstruct({
      handedOn,
      lapsed,
      surelyBackup: () => this.holder.isSurelyBackup(replica),
    });
    const entry = reconstructible ? this.reconstruct(replica, fingerprint, port) : undefined;
    if (entry) this.forward(entry, packet, port);
    else this.relay.relay(packet, replica.shard, undefined);
  }

  /** True when the keeper asks about a packet of a flow that it does not know. */
  isAskedBy(replica: ReplicaShard, packet: PacketView): boolean {
    const keeper = this.context.member(replica.keeperId);
    if (!keeper || !packet.relayedFrom || replica.lapsed || !replica.trusted) return false;
    return sameEndpoint(keeper.data, packet.relayedFrom) && !packet.syn;
  }

  /** The keeper does not know the flow: it may have been placed here while the keeper seemed to have failed. */
  answerKeeper(replica: ReplicaShard, fingerprint: FlowFingerprint, packet: PacketView): void {
    const port = this.context.services.find(packet.destinationAddress, packet.destinationPort);
    const slot = replica.table.find(fingerprint.high, fingerprint.low);
    if (slot < 0) return answerUnknownFlow(this.context, packet, port, replica.completeSinceMs);
    this.forward(this.context.catalogue.at(replica.table.backendIndex(slot)), packet, port);
  }

  private forward(entry: BackendEntry, packet: PacketView, port: ServicePort | undefined): void {
    if (port?.serviceIds.has(entry.serviceId)) {
      this.context.components.edge.sendToBackend(packet, entry.endpoint);
    } else {
      this.context.counters.wrongServiceRecords += 1;
    }
  }

  private open(
    replica: ReplicaShard,
    fingerprint: FlowFingerprint,
    packet: PacketView,
    port: ServicePort | undefined,
  ): void {
    const { counters, components } = this.context;
    const mayOpen = mayOpenAsBackup(replica.lapsed, () => this.holder.isSurelyBackup(replica));
    const entry = port?.service && mayOpen ? this.chooseFirst(replica, fingerprint, port) : undefined;
    if (!entry) {
      counters.deferred += 1;
      return;
    }
    counters.opened += 1;
    const { high, low } = fingerprint;
    replica.table.insert(high, low, entry.index, FlowFlag.UNREPORTED, this.context.nowSeconds());
    replica.ownPlacements += 1;
    components.health.recordPassive(entry.id, 'opened');
    components.edge.sendToBackend(packet, entry.endpoint);
  }

  private chooseFirst(
    replica: ReplicaShard,
    fingerprint: FlowFingerprint,
    port: ServicePort,
  ): BackendEntry | undefined {
    const { components, bases, catalogue } = this.context;
    const service = port.service!;
    const decision = components.policy.choose({
      fingerprint,
      service,
      baseBackends: bases.backends(replica.baseVersion, service.id),
      exceptionsAllowed: false,
      load: catalogue,
      health: components.health,
      zone: components.zone,
    });
    if (decision.outcome === 'refuse') return undefined;
    const entry = catalogue.entry(service, decision.backend);
    const first = this.context.firstChoice(fingerprint, replica.baseVersion, service.id);
    return entry === first ? entry : undefined;
  }

  private reconstruct(
    replica: ReplicaShard,
    fingerprint: FlowFingerprint,
    port: ServicePort | undefined,
  ): BackendEntry | undefined {
    if (!port || port.serviceIds.size !== 1) return undefined;
    const [serviceId] = port.serviceIds;
    const entry = this.context.firstChoice(fingerprint, replica.baseVersion, serviceId!);
    const oldest = this.context.firstChoice(fingerprint, replica.oldestBaseVersion, serviceId!);
    return entry === oldest ? entry : undefined;
  }
}
