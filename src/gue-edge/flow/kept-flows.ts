/**
 * Packets of shards that are kept here: forwards those of known flows, opens flows, and answers for unknown ones.
 *
 * Owns the state of each flow in the kept tables. Relies on `known-flow-rule.ts` and `keeper-authority-rules.ts`
 * for what may be done, and on `Openings` for flows without an answer.
 */
import { sameEndpoint, type Endpoint } from '../../common/types.js';
import type { PacketView } from '../../fabric/types.js';
import type { FlowFingerprint } from '../placement/types.js';
import type { BackendEntry } from './backend-catalogue.js';
import { FLOW_EVENTS } from './events.js';
import type { FlowContext } from './flow-context.js';
import { FlowFlag } from './flow-table.js';
import { isSurelyKeeper } from './keeper-authority-rules.js';
import { isForwardedAnyway, judgeKnownFlow, type KnownFlowVerdict } from './known-flow-rule.js';
import type { Openings } from './openings.js';
import type { PacketRelay } from './packet-relay.js';
import type { ServicePort } from './service-index.js';
import type { KeptShard } from './shard-holding.js';

/** Least time in ms between two log events about records of another service. A burst does not fill the log. */
const WRONG_SERVICE_EVENT_MS = 10_000;

/** Forwards packets of known flows, opens new ones, and answers for unknown ones. */
export class KeptFlows {
  private nextWrongServiceEventMs = 0;

  constructor(
    private readonly context: FlowContext,
    private readonly openings: Openings,
    private readonly relay: PacketRelay,
  ) {}

  /** A packet from a caller. */
  handle(kept: KeptShard, fingerprint: FlowFingerprint, packet: PacketView): void {
    const port = this.context.services.find(packet.destinationAddress, packet.destinationPort);
    const slot = kept.table.find(fingerprint.high, fingerprint.low);
    if (slot >= 0) this.handleKnown(kept, slot, packet, port);
    else if (kept.role === 'transferring') this.relay.relayTo(packet, kept.transferTarget);
    else if (packet.syn && !packet.ack) this.openings.open(kept, fingerprint, packet, port);
    else this.handleUnknown(kept, fingerprint, packet, port);
  }

  /**
   * A packet of a shard that was given up and is awaited again: an established flow stays with its back end,
   * whichever balancer holds the shard. False when the flow is not one of those.
   */
  forwardRetained(kept: KeptShard, fingerprint: FlowFingerprint, packet: PacketView): boolean {
    const { table } = kept;
    const slot = table.find(fingerprint.high, fingerprint.low);
    if (slot < 0 || packet.syn || table.hasFlag(slot, FlowFlag.CLOSED | FlowFlag.PENDING)) return false;
    if (!table.hasFlag(slot, FlowFlag.ANSWERED)) return false;
    const port = this.context.services.find(packet.destinationAddress, packet.destinationPort);
    this.handleKnown(kept, slot, packet, port);
    return true;
  }

  /** A packet from a back end; true when it must not reach the caller. */
  handleReturn(kept: KeptShard, fingerprint: FlowFingerprint, packet: PacketView, from: Endpoint): boolean {
    const { table } = kept;
    const slot = table.find(fingerprint.high, fingerprint.low);
    if (slot < 0 || table.hasFlag(slot, FlowFlag.PENDING)) return false;
    const entry = this.context.catalogue.at(table.backendIndex(slot));
    if (!sameEndpoint(entry.endpoint, from)) return false;
    table.touch(slot, this.context.nowSeconds());
    if (packet.rst) return this.handleBackendReset(kept, slot, fingerprint, entry);
    if (!table.hasFlag(slot, FlowFlag.ANSWERED)) {
      table.setFlags(slot, table.flags(slot) | FlowFlag.ANSWERED);
      this.openings.answered(fingerprint, entry);
    }
    if (packet.fin) this.finish(kept, slot, entry, FlowFlag.BACKEND_FINISHED);
    return false;
  }

  private handleKnown(
    kept: KeptShard,
    slot: number,
    packet: PacketView,
    port: ServicePort | undefined,
  ): void {
    const flags = kept.table.flags(slot);
    const entry = this.context.catalogue.at(kept.table.backendIndex(slot));
    const isOfService = port?.serviceIds.has(entry.serviceId) === true;
    const opening = packet.syn && !packet.ack;
    if (isOfService && isForwardedAnyway(flags, opening)) this.forward(kept, slot, packet, entry);
    else this.handleDoubtful(kept, slot, packet, isOfService ? port : undefined);
  }

  /** A packet that the rule has to judge; `port` is undefined when the flow's back end is of another service. */
  private handleDoubtful(
    kept: KeptShard,
    slot: number,
    packet: PacketView,
    port: ServicePort | undefined,
  ): void {
    const entry = this.context.catalogue.at(kept.table.backendIndex(slot));
    switch (this.judge(kept, slot, packet, port !== undefined)) {
      case 'wrong-service':
        return this.countWrongService(kept, entry);
      case 'repeat-syn':
        return this.openings.repeat(fingerprintAt(kept, slot), packet);
      case 'open':
        return this.openings.open(kept, fingerprintAt(kept, slot), packet, port);
      case 'defer':
        this.context.counters.deferred += 1;
        return;
      case 'drop':
        return;
      case 'forward-syn':
        this.openings.countSyn(fingerprintAt(kept, slot));
        return this.forward(kept, slot, packet, entry);
      case 'forward':
        return this.forward(kept, slot, packet, entry);
    }
  }

  private forward(kept: KeptShard, slot: number, packet: PacketView, entry: BackendEntry): void {
    const isOpen = !kept.table.hasFlag(slot, FlowFlag.CLOSED);
    this.context.components.edge.sendToBackend(packet, entry.endpoint);
    if (isOpen) this.follow(kept, slot, packet, entry);
  }

  private judge(kept: KeptShard, slot: number, packet: PacketView, isOfService: boolean): KnownFlowVerdict {
    return judgeKnownFlow({
      flags: kept.table.flags(slot),
      isOfService,
      syn: packet.syn,
      opening: packet.syn && !packet.ack,
      serving: kept.role === 'serving',
      isSurelyKeeper: () => isSurelyKeeper(this.context, kept),
    });
  }

  /** Updates the state of an open flow after a packet of its caller. */
  private follow(kept: KeptShard, slot: number, packet: PacketView, entry: BackendEntry): void {
    const { table } = kept;
    table.touch(slot, this.context.nowSeconds());
    if (!packet.syn && !table.hasFlag(slot, FlowFlag.ANSWERED)) {
      table.setFlags(slot, table.flags(slot) | FlowFlag.ANSWERED);
      this.openings.answered(fingerprintAt(kept, slot), entry);
    }
    if (packet.rst) this.close(kept, slot, entry);
    else if (packet.fin) this.finish(kept, slot, entry, FlowFlag.CALLER_FINISHED);
  }

  private handleBackendReset(
    kept: KeptShard,
    slot: number,
    fingerprint: FlowFingerprint,
    entry: BackendEntry,
  ): boolean {
    const { health } = this.context.components;
    if (kept.table.hasFlag(slot, FlowFlag.ANSWERED)) {
      if (!kept.table.hasFlag(slot, FlowFlag.CLOSED)) health.recordPassive(entry.id, 'reset-mid-flow');
      this.close(kept, slot, entry);
      return false;
    }
    health.recordPassive(entry.id, 'reset-on-open');
    if (this.openings.retryAfterReset(fingerprint, entry)) return true;
    this.openings.forget(fingerprint);
    this.close(kept, slot, entry);
    return false;
  }

  private finish(kept: KeptShard, slot: number, entry: BackendEntry, flag: number): void {
    const flags = kept.table.flags(slot) | flag;
    kept.table.setFlags(slot, flags);
    const both = FlowFlag.CALLER_FINISHED | FlowFlag.BACKEND_FINISHED;
    if ((flags & both) === both) this.close(kept, slot, entry);
  }

  private close(kept: KeptShard, slot: number, entry: BackendEntry): void {
    const flags = kept.table.flags(slot);
    if ((flags & FlowFlag.CLOSED) !== 0) return;
    kept.table.setFlags(slot, flags | FlowFlag.CLOSED);
    this.context.countClosed(entry);
  }

  private handleUnknown(
    kept: KeptShard,
    fingerprint: FlowFingerprint,
    packet: PacketView,
    port: ServicePort | undefined,
  ): void {
    if (!isSurelyKeeper(this.context, kept)) {
      // Another balancer may have taken the shard over and know the flow.
      this.context.counters.unknownDropped += 1;
      return;
    }
    const entry = this.reconstruct(kept, fingerprint, port);
    if (!entry && kept.backup) return this.relay.relayTo(packet, kept.backup.memberId);
    if (!entry) {
      const completeSinceMs = kept.complete ? kept.heldSinceMs : undefined;
      return answerUnknownFlow(this.context, packet, port, completeSinceMs);
    }
    this.context.counters.reconstructed += 1;
    this.context.insertKept(kept.table, fingerprint, entry, FlowFlag.ANSWERED);
    this.context.components.edge.sendToBackend(packet, entry.endpoint);
  }

  /** The back end of a flow without a record, if every base under which it may have been opened agrees. */
  private reconstruct(
    kept: KeptShard,
    fingerprint: FlowFingerprint,
    port: ServicePort | undefined,
  ): BackendEntry | undefined {
    const { context } = this;
    if (kept.complete || !port || port.serviceIds.size !== 1) return undefined;
    const [serviceId] = port.serviceIds;
    const entry = context.firstChoice(fingerprint, kept.baseVersion, serviceId!);
    const oldest = context.firstChoice(fingerprint, kept.oldestBaseVersion, serviceId!);
    if (entry !== oldest) return undefined;
    const next = kept.rebase && context.firstChoice(fingerprint, kept.rebase.toVersion, serviceId!);
    return kept.rebase && next !== entry ? undefined : entry;
  }

  private countWrongService(kept: KeptShard, entry: BackendEntry): void {
    const { counters, components } = this.context;
    counters.wrongServiceRecords += 1;
    const nowMs = this.context.now();
    if (nowMs < this.nextWrongServiceEventMs) return;
    this.nextWrongServiceEventMs = nowMs + WRONG_SERVICE_EVENT_MS;
    components.events.emit(FLOW_EVENTS.wrongServiceRecord, { shard: kept.shard, backend: entry.id });
  }
}

function fingerprintAt({ table }: KeptShard, slot: number): FlowFingerprint {
  return { high: table.high(slot), low: table.low(slot) };
}

/**
 * Answers a packet of a flow without a record. A reset needs certainty that the flow would be known: the shard's table
 * has held every open flow for a whole learning time. In any other case the packet is dropped.
 *
 * @param completeSinceMs since when the table has been complete, monotonic ms; undefined when it is not
 */
export function answerUnknownFlow(
  context: FlowContext,
  packet: PacketView,
  port: ServicePort | undefined,
  completeSinceMs: number | undefined,
): void {
  const { counters, components } = context;
  const certain = completeSinceMs !== undefined && context.now() - completeSinceMs >= context.learningMs;
  if (certain && port?.service?.unknownFlow === 'reset' && !packet.rst) {
    counters.unknownReset += 1;
    components.edge.sendReset(packet);
    return;
  }
  counters.unknownDropped += 1;
}
