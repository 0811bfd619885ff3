/** One flow of the model check, with its caller, its back end and the rules about it. */
import type { Endpoint } from '../../../common/types.js';
import type { PacketView } from '../../../fabric/types.js';
import type { ModelNode } from './model-node.js';
import type { ModelWorld } from './model-world.js';
import { serviceAddress } from './settings-script.js';

const SYN_RETRY_MS = 1_000;
/** Every established flow shows itself at least this often, well within the learning time of a new keeper. */
const KEEPALIVE_MS = 2_500;
const MAX_SYN_ATTEMPTS = 12;

type PacketKind = 'syn' | 'data' | 'fin';

/** A flow and what happened to it. The caller's address is the flow's index. */
export class ModelFlow {
  /** Port of the back end that accepted the flow. */
  acceptedBy: number | undefined;
  /** The caller has seen the acceptance. */
  established = false;
  /** The caller has ended the flow, or was told that it is refused. */
  ended = false;
  /** Data packets that reached the back end. */
  delivered = 0;
  /** True when a rule no longer applies, because both holders of the flow crashed. */
  exempt = false;
  private synAttempts = 0;

  constructor(
    private readonly cluster: ModelWorld,
    readonly index: number,
    readonly serviceIndex: number,
  ) {}

  open(): void {
    if (this.established || this.ended || this.synAttempts >= MAX_SYN_ATTEMPTS) return;
    this.synAttempts += 1;
    this.cluster.spray(this.packet('syn'));
    if (this.cluster.random() < this.cluster.options.sprayRate) this.cluster.spray(this.packet('syn'));
    this.cluster.later(SYN_RETRY_MS, () => this.open());
  }

  sendData(): void {
    if (this.established && !this.ended) this.cluster.spray(this.packet('data'));
  }

  close(): void {
    if (!this.established) return;
    this.sendFin();
    this.ended = true;
  }

  onBackendPacket(node: ModelNode, packet: PacketView, backend: Endpoint): void {
    if (packet.syn) this.onSyn(node, packet, backend);
    else this.onData(node, backend);
  }

  onReset(node: ModelNode, packet: PacketView): void {
    if (packet.syn) {
      this.ended = this.ended || !this.established;
      return;
    }
    if (this.established && !this.ended && !this.exempt) {
      this.cluster.violate(`flow ${this.index} (shard of ${this.acceptedBy}) was reset by ${node.id}`);
    }
  }

  private establish(): void {
    if (this.established) return;
    this.established = true;
    this.keepAlive();
  }

  private keepAlive(): void {
    if (this.ended) return;
    this.sendData();
    this.cluster.later(KEEPALIVE_MS * (0.5 + 0.5 * this.cluster.random()), () => this.keepAlive());
  }

  private sendFin(): void {
    this.cluster.spray(this.packet('fin'));
  }

  private onSyn(node: ModelNode, packet: PacketView, backend: Endpoint): void {
    if (this.acceptedBy === undefined && this.cluster.random() < this.cluster.options.resetRate) {
      this.answer(node, packet, backend, true);
      return;
    }
    this.checkBackend(node, backend, 'SYN');
    this.acceptedBy ??= backend.port;
    this.answer(node, packet, backend, false);
  }

  private onData(node: ModelNode, backend: Endpoint): void {
    this.checkBackend(node, backend, 'data');
    if (backend.port === this.acceptedBy) this.delivered += 1;
  }

  /** Rule 1: one back end for the whole life of the flow. */
  private checkBackend(node: ModelNode, backend: Endpoint, kind: string): void {
    if (this.acceptedBy === undefined || this.acceptedBy === backend.port) return;
    if (this.exempt || this.ended) return;
    this.cluster.violate(
      `${kind} of flow ${this.index} went to ${backend.port} instead of ${this.acceptedBy} by ${node.id}`,
    );
  }

  private answer(node: ModelNode, packet: PacketView, backend: Endpoint, reset: boolean): void {
    const reply: PacketView = {
      ...packet,
      sourceAddress: packet.destinationAddress,
      sourcePort: packet.destinationPort,
      destinationAddress: packet.sourceAddress,
      destinationPort: packet.sourcePort,
      syn: !reset,
      ack: !reset,
      rst: reset,
      hops: 0,
      relayedFrom: undefined,
    };
    if (this.cluster.random() < this.cluster.options.lossRate) return;
    this.cluster.later(this.cluster.packetDelay(), () => this.onAnswer(node, reply, backend));
  }

  private onAnswer(node: ModelNode, reply: PacketView, backend: Endpoint): void {
    const suppressed = node.alive && !node.paused && node.keeper.handleReturn(reply, backend);
    if (!node.alive || node.paused || suppressed) return;
    // A back end that resets one SYN and accepts another ends the flow itself.
    if (reply.rst) this.ended = true;
    else this.establish();
  }

  private packet(kind: PacketKind): PacketView {
    return {
      bytes: Buffer.alloc(0),
      sourceAddress: this.index,
      destinationAddress: serviceAddress(this.serviceIndex),
      sourcePort: 1_024 + (this.index % 60_000),
      destinationPort: 80,
      syn: kind === 'syn',
      ack: kind !== 'syn',
      fin: kind === 'fin',
      rst: false,
      hops: 0,
      relayedFrom: undefined,
    };
  }
}
