/** What the baselines share: settings, counters and the parts of `PacketForwarder` that need no keeper. */
import type { Endpoint } from '../../../common/types.js';
import type { PacketView } from '../../../fabric/types.js';
import { BackendCatalogue } from '../backend-catalogue.js';
import { FlowCounters } from '../flow-counters.js';
import { fingerprintFlow, type MutableFingerprint } from '../flow-key.js';
import type {
  FlowComponents,
  FlowDescription,
  HandOverReport,
  PacketForwarder,
} from '../packet-forwarder.js';
import { ServiceIndex } from '../service-index.js';
import type { FlowStatistics, RefusalCause } from '../types.js';

/** Base of the baselines. */
export abstract class BaselineForwarder implements PacketForwarder {
  protected readonly services = new ServiceIndex();
  protected readonly catalogue = new BackendCatalogue();
  protected readonly counters = new FlowCounters();
  protected readonly fingerprint: MutableFingerprint = { high: 0, low: 0 };

  constructor(protected readonly components: FlowComponents) {}

  start(signal: AbortSignal): void {
    const { settings } = this.components;
    const current = settings.current();
    if (current) this.services.replace(current.services);
    const end = settings.subscribe((applied) => this.services.replace(applied.services));
    signal.addEventListener('abort', end);
  }

  abstract handlePacket(packet: PacketView): void;

  abstract handleReturn(packet: PacketView, from: Endpoint): boolean;

  openFlows(backendId: number): number {
    return this.catalogue.openFlows(backendId);
  }

  statistics(): FlowStatistics {
    const gauges = { replicated: 0, shardsKept: 0, shardsBackedUp: 0, shardsAcquiring: 0 };
    return this.counters.snapshot({ open: this.countOpen(), ...gauges });
  }

  describeFlows(): FlowDescription {
    return {
      statistics: this.statistics(),
      serving: this.isServing(),
      memoryBytes: this.memoryBytes(),
      baseVersions: {},
      peers: [],
    };
  }

  isServing(): boolean {
    return this.components.settings.current() !== undefined;
  }

  handOver(): Promise<HandOverReport> {
    return Promise.resolve({ given: 0, left: 0, replicasLeft: 0, durationMs: 0 });
  }

  protected countOpen(): number {
    return 0;
  }

  protected memoryBytes(): number {
    return 0;
  }

  /** Fingerprint of a packet from a caller. */
  protected fingerprintForward(packet: PacketView): void {
    const { sourceAddress, sourcePort, destinationAddress, destinationPort } = packet;
    fingerprintFlow(sourceAddress, sourcePort, destinationAddress, destinationPort, this.fingerprint);
  }

  /** Fingerprint of a packet from a back end. */
  protected fingerprintReturn(packet: PacketView): void {
    const { sourceAddress, sourcePort, destinationAddress, destinationPort } = packet;
    fingerprintFlow(destinationAddress, destinationPort, sourceAddress, sourcePort, this.fingerprint);
  }

  /** Answers a packet for which there is no back end. */
  protected refuse(packet: PacketView, cause: RefusalCause): void {
    this.counters.countRefusal(cause);
    this.components.edge.sendReset(packet);
  }
}
