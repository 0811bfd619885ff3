/**
 * Baseline: each balancer keeps its own flow table and takes the back end with the fewest flows by its own count. A
 * packet of a flow that is not in the table is placed anew, also in mid-flow.
 */
import { Ticker } from '../../../common/event-stream.js';
import { sameEndpoint, type Endpoint } from '../../../common/types.js';
import type { PacketView } from '../../../fabric/types.js';
import type { EffectiveBackend, EffectiveService } from '../../../settings/types.js';
import { CLOSED_LINGER_SECONDS, EXPIRY_ROUND_MS } from '../constants.js';
import { FlowFlag, FlowTable } from '../flow-table.js';
import { BaselineForwarder } from './baseline-forwarder.js';

/** Keeps flows in one table of its own. */
export class LocalTableForwarder extends BaselineForwarder {
  private readonly table = new FlowTable();
  private open = 0;

  override start(signal: AbortSignal): void {
    super.start(signal);
    new Ticker(this.components.clock, () => EXPIRY_ROUND_MS).run(signal, () => this.expire());
  }

  handlePacket(packet: PacketView): void {
    this.fingerprintForward(packet);
    const { high, low } = this.fingerprint;
    let slot = this.table.find(high, low);
    if (slot >= 0 && packet.syn && this.table.hasFlag(slot, FlowFlag.CLOSED)) {
      this.table.remove(slot);
      slot = -1;
    }
    if (slot < 0) slot = this.place(packet);
    if (slot < 0) return this.refuse(packet, 'no-eligible-backend');
    this.table.touch(slot, this.nowSeconds());
    const entry = this.catalogue.at(this.table.backendIndex(slot));
    if (packet.rst) this.close(slot);
    else if (packet.fin) this.finish(slot, FlowFlag.CALLER_FINISHED);
    this.components.edge.sendToBackend(packet, entry.endpoint);
  }

  handleReturn(packet: PacketView, from: Endpoint): boolean {
    this.fingerprintReturn(packet);
    const slot = this.table.find(this.fingerprint.high, this.fingerprint.low);
    if (slot < 0) return false;
    if (!sameEndpoint(this.catalogue.at(this.table.backendIndex(slot)).endpoint, from)) return false;
    if (packet.rst) this.close(slot);
    else if (packet.fin) this.finish(slot, FlowFlag.BACKEND_FINISHED);
    return false;
  }

  protected override countOpen(): number {
    return this.open;
  }

  protected override memoryBytes(): number {
    return this.table.bytes;
  }

  private place(packet: PacketView): number {
    const service = this.services.find(packet.destinationAddress, packet.destinationPort)?.service;
    const backend = service && this.leastLoaded(service);
    if (!service || !backend) return -1;
    const entry = this.catalogue.entry(service, backend);
    this.counters.opened += 1;
    this.open += 1;
    entry.backendFlows.open += 1;
    const { high, low } = this.fingerprint;
    return this.table.insert(high, low, entry.index, 0, this.nowSeconds());
  }

  private leastLoaded(service: EffectiveService): EffectiveBackend | undefined {
    const { health, random } = this.components;
    let best: EffectiveBackend | undefined;
    let bestLoad = Number.POSITIVE_INFINITY;
    for (const backend of service.backends) {
      if (backend.draining || !health.health(backend.id).eligible) continue;
      const load = (this.catalogue.openFlows(backend.id) + random()) / backend.weight;
      if (load >= bestLoad) continue;
      best = backend;
      bestLoad = load;
    }
    return best;
  }

  private finish(slot: number, flag: number): void {
    const flags = this.table.flags(slot) | flag;
    this.table.setFlags(slot, flags);
    const both = FlowFlag.CALLER_FINISHED | FlowFlag.BACKEND_FINISHED;
    if ((flags & both) === both) this.close(slot);
  }

  private close(slot: number): void {
    if (this.table.hasFlag(slot, FlowFlag.CLOSED)) return;
    this.table.setFlags(slot, this.table.flags(slot) | FlowFlag.CLOSED);
    this.catalogue.at(this.table.backendIndex(slot)).backendFlows.open -= 1;
    this.open -= 1;
  }

  private expire(): void {
    for (let slot = 0; slot < this.table.capacity; slot += 1) {
      while (this.table.isOccupied(slot) && this.isExpired(slot)) {
        this.close(slot);
        this.table.remove(slot);
      }
    }
  }

  private isExpired(slot: number): boolean {
    const idleSeconds = this.nowSeconds() - this.table.seenSeconds(slot);
    if (this.table.hasFlag(slot, FlowFlag.CLOSED)) return idleSeconds >= CLOSED_LINGER_SECONDS;
    return idleSeconds >= this.catalogue.at(this.table.backendIndex(slot)).idleTimeoutSeconds;
  }

  private nowSeconds(): number {
    return Math.floor(this.components.clock.now() / 1_000);
  }
}
