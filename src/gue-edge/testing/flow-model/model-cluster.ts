/** Several balancers on a simulated network, callers and back ends, and the rules that must hold. */
import { VirtualClock } from '../../../common/clock.js';
import { pick, seededRandom, type RandomSource } from '../../../common/random.js';
import type { Endpoint } from '../../../common/types.js';
import { PausableClock } from '../pausable-clock.js';
import { SimulatedNetwork } from '../simulated-network.js';
import type { PacketView } from '../../../fabric/types.js';
import type { Member, MemberState } from '../../membership/types.js';
import { SHARD_COUNT } from '../../flow/constants.js';
import { ModelFlow } from './model-flow.js';
import { ModelNode, type ModelWire } from './model-node.js';
import { ModelPartition } from './model-partition.js';
import { GONE_AFTER_MS, SUSPECT_AFTER_MS, type ModelOptions, type ModelWorld } from './model-world.js';
import { SettingsScript } from './settings-script.js';

const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const PACKET_DELAY_MS = [0.5, 4] as const;

/** The world of the model check. */
export class ModelCluster implements ModelWire, ModelWorld {
  readonly clock = new VirtualClock();
  readonly random: RandomSource;
  readonly nodes: ModelNode[] = [];
  readonly flows: ModelFlow[] = [];
  readonly settings = new SettingsScript(4);
  readonly violations: string[] = [];
  readonly trace: string[] = [];
  private readonly network: SimulatedNetwork;
  /** Highest base seen of each checked shard. */
  private readonly bases = new Map<number, number>();
  private cut: ModelPartition | undefined;
  private nextBoot = 1;

  constructor(readonly options: ModelOptions) {
    this.random = seededRandom(options.seed);
    this.network = new SimulatedNetwork({
      clock: this.clock,
      random: this.random,
      delayMs: [0.5, 6],
      lossRate: options.lossRate,
      duplicateRate: 0.01,
      budgetBytesPerSecond: options.budgetBytesPerSecond,
    });
    for (let index = 0; index < options.nodes; index += 1) this.addNode();
    for (const node of this.nodes) for (const other of this.nodes) node.believe(other.member, 'active');
  }

  now(): number {
    return this.clock.now();
  }

  note(text: string): void {
    this.trace.push(`${Math.round(this.now())} ms: ${text}`);
  }

  violate(text: string): void {
    this.note(`VIOLATION ${text}`);
    this.violations.push(text);
  }

  liveNodes(): ModelNode[] {
    return this.nodes.filter((node) => node.alive);
  }

  later(delayMs: number, action: () => void): void {
    this.clock.schedule(delayMs, action);
  }

  /** A new process; `id` of a crashed node makes it a restart. */
  addNode(id?: string): ModelNode {
    const number = id ? Number(id.slice(id.indexOf('-') + 1)) : this.nodes.length + 1;
    const name = id ?? `node-${number}`;
    const zone = ZONES[number % ZONES.length]!;
    const boot = this.nextBoot++;
    const node = new ModelNode({
      id: name,
      zone,
      number,
      boot,
      clock: new PausableClock(this.clock),
      channel: this.network.channel({ host: `127.0.0.${number}`, port: 7_000 }, name, boot),
      random: seededRandom(this.options.seed * 31 + boot),
      wire: this,
    });
    this.nodes.push(node);
    node.apply(this.settings.snapshot());
    node.start();
    return node;
  }

  /** A process joins: it knows the others, they learn of it one by one. */
  join(id?: string): void {
    const node = this.addNode(id);
    this.note(`${node.id} joins`);
    for (const other of this.liveNodes()) node.believe(other.member, 'active');
    node.believe(node.member, 'joining');
    this.spread(node.member, 'joining', 0);
    this.spread(node.member, 'active', this.options.spreadMs + 200);
    // The newcomer has the view of one other node, which may be stale.
  }

  crash(node: ModelNode): void {
    this.note(`${node.id} crashes`);
    node.crash();
    this.spread(node.member, 'suspect', SUSPECT_AFTER_MS);
    this.spread(node.member, 'gone', GONE_AFTER_MS + this.options.spreadMs);
  }

  /** Planned leave: leaving in every view, hand-over, then gone. */
  leave(node: ModelNode): void {
    this.note(`${node.id} leaves`);
    const member = node.member;
    this.spread(member, 'leaving', 0);
    const abort = new AbortController();
    this.later(20_000, () => abort.abort());
    this.later(this.random() * this.options.spreadMs, () => {
      void node.keeper.handOver(abort.signal).then((report) => {
        this.note(`${node.id} handed over: ${JSON.stringify(report)}`);
        if (report.left > 0) this.violate(`${node.id} left ${report.left} shards behind`);
        this.later(500, () => {
          node.crash();
          this.spread(member, 'gone', 0);
        });
      });
    });
  }

  /** Stops a process for a while; long pauses make the others believe that it is gone. */
  pause(node: ModelNode, durationMs: number): void {
    this.note(`${node.id} pauses for ${Math.round(durationMs)} ms`);
    node.pause();
    const suspected = durationMs > SUSPECT_AFTER_MS;
    const gone = durationMs > GONE_AFTER_MS + this.options.spreadMs * 2;
    if (suspected) this.spread(node.member, 'suspect', SUSPECT_AFTER_MS);
    if (gone) this.spread(node.member, 'gone', GONE_AFTER_MS + this.options.spreadMs);
    this.later(durationMs, () => {
      if (!node.alive) return;
      this.note(`${node.id} resumes`);
      node.resume(this.random() < 0.5);
      if (suspected) this.spread(node.member, 'active', this.options.spreadMs + 300);
    });
  }

  /** Cuts a zone off from the others for a while; see `ModelPartition`. */
  partition(zone: string, durationMs: number): void {
    if (this.cut) return;
    const cut = new ModelPartition(this, zone);
    if (!cut.leavesMajority()) return;
    this.note(`${zone} is cut off for ${Math.round(durationMs)} ms`);
    this.cut = cut;
    this.network.partition(cut.ids(cut.inside), cut.ids(cut.outside));
    cut.begin();
    this.later(durationMs, () => {
      this.note('the cut is healed');
      this.network.heal();
      this.cut = undefined;
      cut.heal();
    });
  }

  /** Some nodes suspect a healthy node for a while. */
  suspect(node: ModelNode): void {
    this.note(`${node.id} is suspected by some`);
    for (const other of this.liveNodes()) {
      if (other === node || this.random() < 0.5) continue;
      this.later(this.random() * this.options.spreadMs, () => this.believeIfKnown(other, node, 'suspect'));
      const refutedMs = this.options.spreadMs + this.random() * 3_000;
      this.later(refutedMs, () => this.believeIfKnown(other, node, 'active'));
    }
  }

  /** Edits the settings; each node applies the version at its own time. */
  editSettings(): void {
    this.settings.edit(this.random);
    const snapshot = this.settings.snapshot();
    this.note(`settings version ${snapshot.version}`);
    for (const node of this.liveNodes()) {
      this.later(this.random() * this.options.spreadMs, () => node.apply(snapshot));
    }
  }

  /** One node stops trusting a random back end, or trusts it again. */
  toggleHealth(node: ModelNode): void {
    const services = this.settings.snapshot().services;
    const backend = pick(pick(services, this.random).backends, this.random);
    if (!node.ineligible.delete(backend.id)) node.ineligible.add(backend.id);
  }

  openFlow(): ModelFlow {
    const flow = new ModelFlow(this, this.flows.length, Math.floor(this.random() * 2));
    this.flows.push(flow);
    flow.open();
    return flow;
  }

  /** Sprays a packet of a caller to a random live node. */
  spray(packet: PacketView): void {
    const candidates = this.liveNodes().filter((node) => node.beliefs.get(node.id)?.state !== 'joining');
    if (candidates.length === 0 || this.random() < this.options.lossRate) return;
    const node = pick(candidates, this.random);
    this.later(this.packetDelay(), () => node.receive({ ...packet, hops: 0, relayedFrom: undefined }));
  }

  toBackend(node: ModelNode, packet: PacketView, backend: Endpoint): void {
    const flow = this.flowOf(packet);
    const copy = { ...packet };
    if (this.settings.serviceOfPort(backend.port) !== flow.serviceIndex) {
      this.violate(`flow ${flow.index} went to back end ${backend.port} of another service by ${node.id}`);
    }
    if (this.random() < this.options.lossRate) return;
    this.later(this.packetDelay(), () => flow.onBackendPacket(node, copy, backend));
  }

  relay(node: ModelNode, packet: PacketView, balancer: Endpoint): void {
    const copy = { ...packet, hops: packet.hops + 1, relayedFrom: node.member.data };
    if (this.random() < this.options.lossRate) return;
    this.later(this.packetDelay(), () => {
      const target = this.liveNodes().find((other) => other.member.data.host === balancer.host);
      if (target && !this.cut?.separates(node, target)) target.receive(copy);
    });
  }

  reset(node: ModelNode, packet: PacketView): void {
    this.flowOf(packet).onReset(node, { ...packet });
  }

  /** Runs for a time, checking the bases of the kept shards at intervals. */
  run(durationMs: number): void {
    const stepMs = 500;
    for (let passed = 0; passed < durationMs; passed += stepMs) {
      this.clock.advance(Math.min(stepMs, durationMs - passed));
      this.checkBases();
    }
  }

  /** Lets the promise callbacks of hand-overs run. */
  async runAsync(durationMs: number): Promise<void> {
    for (let passed = 0; passed < durationMs; passed += 1_000) {
      this.run(Math.min(1_000, durationMs - passed));
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  packetDelay(): number {
    return PACKET_DELAY_MS[0] + (PACKET_DELAY_MS[1] - PACKET_DELAY_MS[0]) * this.random();
  }

  private spread(member: Member, state: MemberState, delayMs: number): void {
    for (const node of this.liveNodes()) {
      if (node.id === member.id && state !== 'active' && state !== 'joining' && state !== 'leaving') continue;
      this.later(delayMs + this.random() * this.options.spreadMs, () => node.believe(member, state));
    }
  }

  private believeIfKnown(observer: ModelNode, node: ModelNode, state: MemberState): void {
    const current = observer.beliefs.get(node.id)?.state;
    if (!node.alive || node.paused || (current !== 'active' && current !== 'suspect')) return;
    observer.believe(node.member, state);
  }

  private flowOf(packet: PacketView): ModelFlow {
    return this.flows[packet.sourceAddress]!;
  }

  /**
   * Rule 3: the base version of a shard never goes down. Two balancers may hold a shard for a moment, with different
   * bases: one hands it over, or was paused or cut off and does not know yet that it was taken over.
   */
  private checkBases(): void {
    for (let shard = 0; shard < SHARD_COUNT; shard += 64) {
      const holders = this.liveNodes().filter((node) => node.keeper.baseVersionOf(shard) !== undefined);
      if (holders.every((node) => node.paused)) continue;
      const version = Math.max(...holders.map((node) => node.keeper.baseVersionOf(shard)!));
      const highest = this.bases.get(shard) ?? 0;
      if (version < highest) {
        const ids = holders.map((node) => node.id).join(' and ');
        this.violate(`shard ${shard} fell from base ${highest} to ${version} at ${ids}`);
      }
      this.bases.set(shard, Math.max(version, highest));
    }
  }
}
