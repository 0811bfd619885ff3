/** One balancer of the model check: a real flow keeper over a scripted membership and a recording edge. */
import { Subject } from '../../../common/event-stream.js';
import type { RandomSource } from '../../../common/random.js';
import type { Endpoint } from '../../../common/types.js';
import type { PausableClock } from '../pausable-clock.js';
import type { SimulatedChannel } from '../simulated-network.js';
import type { EdgePort, PacketView } from '../../../fabric/types.js';
import type { BackendHealth } from '../../health/types.js';
import type { Member, MembershipView, MemberState } from '../../membership/types.js';
import { createPlacementPolicy } from '../../placement/index.js';
import { SILENT_EVENT_LOG } from '../../../observability/event.js';
import type { EffectiveSettings } from '../../../settings/types.js';
import { FlowKeeper } from '../../flow/flow-keeper.js';

/** Short, so that rebases happen while flows are still unknown to their keeper. */
const LEARNING_MS = 12_000;

/** Where the node's packets go. */
export interface ModelWire {
  toBackend(node: ModelNode, packet: PacketView, backend: Endpoint): void;
  relay(node: ModelNode, packet: PacketView, balancer: Endpoint): void;
  reset(node: ModelNode, packet: PacketView): void;
}

/** Parts of a node that the cluster makes. */
export interface ModelNodeParts {
  readonly id: string;
  readonly zone: string;
  readonly number: number;
  readonly boot: number;
  readonly clock: PausableClock;
  readonly channel: SimulatedChannel;
  readonly random: RandomSource;
  readonly wire: ModelWire;
}

/** A balancer in the model. */
export class ModelNode {
  readonly keeper: FlowKeeper;
  alive = true;
  paused = false;
  quorate = true;
  /** What this node believes of each member. */
  readonly beliefs = new Map<string, Member>();
  readonly ineligible = new Set<number>();
  readonly inbox: PacketView[] = [];
  private readonly views = new Subject<MembershipView>();
  private readonly settingsChanges = new Subject<EffectiveSettings>();
  private settings: EffectiveSettings | undefined;
  private sequence = 0;
  private view: MembershipView = { sequence: 0, members: [], digest: 0, quorate: true };
  private readonly controller = new AbortController();

  constructor(readonly parts: ModelNodeParts) {
    const { clock, random, channel } = parts;
    this.keeper = new FlowKeeper({
      selfId: parts.id,
      zone: parts.zone,
      clock,
      random,
      control: channel,
      membership: {
        selfId: parts.id,
        view: () => this.view,
        subscribe: (listener) => this.views.subscribe(listener),
      },
      edge: this.edge(),
      health: { health: (backendId) => this.health(backendId), recordPassive: () => undefined },
      policy: createPlacementPolicy('bounded-load', { clock, random }),
      settings: {
        current: () => this.settings,
        subscribe: (listener) => this.settingsChanges.subscribe(listener),
      },
      events: SILENT_EVENT_LOG,
      limits: { maxFlows: 100_000, maxPendingOpenings: 10_000, rebaseLearningMs: LEARNING_MS },
    });
  }

  get id(): string {
    return this.parts.id;
  }

  get member(): Member {
    const { id, zone, number, boot } = this.parts;
    const endpoint = (port: number): Endpoint => ({ host: `127.0.0.${number}`, port });
    return {
      id,
      zone,
      region: 'region',
      control: endpoint(7_000),
      admin: endpoint(8_000),
      data: endpoint(9_000),
      incarnation: boot,
      state: 'active',
      settingsVersion: 0,
    };
  }

  start(): void {
    this.keeper.start(this.controller.signal);
  }

  /** Changes the belief about one member and publishes the view. */
  believe(member: Member, state: MemberState): void {
    if (!this.alive) return;
    // News about an earlier boot of a member that has restarted.
    if ((this.beliefs.get(member.id)?.incarnation ?? 0) > member.incarnation) return;
    if (state === 'gone') this.beliefs.delete(member.id);
    else this.beliefs.set(member.id, { ...member, state });
    this.publish();
  }

  setQuorate(quorate: boolean): void {
    this.quorate = quorate;
    this.publish();
  }

  apply(settings: EffectiveSettings): void {
    if (!this.alive || settings.version <= (this.settings?.version ?? 0)) return;
    this.settings = settings;
    this.settingsChanges.push(settings);
  }

  receive(packet: PacketView): void {
    if (!this.alive) return;
    if (this.paused) this.inbox.push(packet);
    else this.keeper.handlePacket(packet);
  }

  pause(): void {
    this.paused = true;
    this.parts.clock.pause();
    this.parts.channel.pause();
  }

  /** Goes on; which of sockets and timers comes first differs from run to run. */
  resume(timersFirst: boolean): void {
    this.paused = false;
    if (timersFirst) this.parts.clock.resume();
    for (const packet of this.inbox.splice(0)) this.keeper.handlePacket(packet);
    this.parts.channel.resume();
    if (!timersFirst) this.parts.clock.resume();
  }

  crash(): void {
    this.alive = false;
    this.controller.abort();
    this.parts.channel.close();
    this.parts.clock.pause();
  }

  private publish(): void {
    this.sequence += 1;
    const members = [...this.beliefs.values()].sort((left, right) => (left.id < right.id ? -1 : 1));
    this.view = { sequence: this.sequence, members, digest: 0, quorate: this.quorate };
    this.views.push(this.view);
  }

  private health(backendId: number): BackendHealth {
    const eligible = !this.ineligible.has(backendId);
    const condition = eligible ? 'healthy' : 'ejected';
    return { backendId, condition, eligible, warmup: 1, reportedLoad: undefined, evidence: [] };
  }

  private edge(): EdgePort {
    const { wire } = this.parts;
    return {
      sendToBackend: (packet, backend) => wire.toBackend(this, packet, backend),
      relay: (packet, balancer) => wire.relay(this, packet, balancer),
      sendReset: (packet) => wire.reset(this, packet),
      retain: (packet) => ({ ...packet }),
      close: () => Promise.resolve(),
    };
  }
}
