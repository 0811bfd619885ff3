/**
 * One hollow daemon: the control plane and the flow keeper of a balancer over its own control socket, with a stub in
 * place of the data path. Openings are made up here; back ends answer at once.
 */
import { SystemClock } from '../../common/clock.js';
import { seededRandom } from '../../common/random.js';
import type { Endpoint } from '../../common/types.js';
import { CONTROL_KINDS, UdpControlChannel, type ControlKind } from '../../control/index.js';
import { createControlPlane, type ControlPlane } from '../../daemon/control-plane.js';
import { FlowKeeper, SHARD_COUNT } from '../../flow/index.js';
import type { MembershipView } from '../../membership/index.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import {
  createPlacementPolicy,
  DEFAULT_EXCEPTION_BYTES_PER_SECOND,
  ExceptionBudget,
} from '../../placement/index.js';
import type { StoreClient } from '../../store/index.js';
import { flowPacket, type FlowPool } from './flow-generator.js';
import { GatedPlatform } from './gated-platform.js';
import { NullEdge } from './null-edge.js';
import { stubProbe } from './stub-probe.js';
import type { HollowLoad, HollowSample, HollowSpecification, KindTotals, ObservedChange } from './types.js';

const LOOPBACK = '127.0.0.1';
const NO_ENDPOINT: Endpoint = { host: LOOPBACK, port: 9 };
const ACTIVATION_POLL_MS = 50;
const LOAD_TICK_MS = 50;
const OWN_SHARDS_REFRESH_MS = 1_000;
const MAX_OPENINGS_A_TICK = 2_000;
const MAX_FLOWS = 1_000_000;
const MAX_PENDING_OPENINGS = 10_000;
const HANDOVER_LIMIT_MS = 20_000;

/** What a hollow daemon shares with the others of its process. */
export interface HollowSurroundings {
  readonly keyFile: string;
  readonly platform: StoreClient;
  readonly seed: number;
  readonly seeds: readonly Endpoint[];
  readonly pool: FlowPool;
  readonly service: { readonly address: number; readonly port: number };
}

export class HollowDaemon {
  private readonly stopping = new AbortController();
  private readonly clock = new SystemClock();
  private readonly applied: { version: number; atWallMs: number }[] = [];
  private readonly changes: ObservedChange[] = [];
  private lastStates = new Map<string, string>();
  private owed = 0;
  private load: HollowLoad = { openingsPerSecond: 0, preloadedFlows: 0, lifetimeMs: 0 };
  private preloaded = 0;
  private ownShards: readonly number[] = [];
  private ownShardsAtMs = Number.NEGATIVE_INFINITY;
  private nextShard = 0;

  private constructor(
    readonly specification: HollowSpecification,
    private readonly surroundings: HollowSurroundings,
    private readonly channel: UdpControlChannel,
    private readonly platform: GatedPlatform,
    private readonly plane: ControlPlane,
    private readonly flows: FlowKeeper,
    private readonly probeCounter: { count: number },
  ) {}

  get control(): Endpoint {
    return this.channel.endpoint;
  }

  /** Binds a control socket and starts the daemon. Throws when the socket cannot be bound. */
  static async start(
    specification: HollowSpecification,
    surroundings: HollowSurroundings,
  ): Promise<HollowDaemon> {
    const clock = new SystemClock();
    const incarnation = clock.wall();
    const opened = await UdpControlChannel.open({
      bind: { host: LOOPBACK, port: 0 },
      memberId: specification.id,
      incarnation,
      keyFile: surroundings.keyFile,
      clock,
    });
    if (opened.isErr) throw opened.error;
    return HollowDaemon.wire(specification, surroundings, opened.value, incarnation);
  }

  private static wire(
    specification: HollowSpecification,
    surroundings: HollowSurroundings,
    channel: UdpControlChannel,
    incarnation: number,
  ): HollowDaemon {
    const clock = new SystemClock();
    const random = seededRandom(surroundings.seed);
    const platform = new GatedPlatform(surroundings.platform, clock);
    const { id, region, zone } = specification;
    const probeCounter = { count: 0 };
    const identity = {
      id,
      region,
      zone,
      control: channel.endpoint,
      data: NO_ENDPOINT,
      admin: NO_ENDPOINT,
      incarnation,
    };
    const plane = createControlPlane({
      ...{ identity, clock, random, platform },
      events: SILENT_EVENT_LOG,
      control: channel,
      seeds: surroundings.seeds,
      load: { openFlows: (backendId): number => flows.openFlows(backendId) },
      probe: stubProbe(probeCounter),
    });
    const { membership, settings, health } = plane;
    const edge = new NullEdge();
    const budget = new ExceptionBudget({ clock, bytesPerSecond: DEFAULT_EXCEPTION_BYTES_PER_SECOND });
    const flows: FlowKeeper = new FlowKeeper({
      ...{ selfId: id, zone, clock, random, membership, settings, health, edge },
      control: channel,
      policy: createPlacementPolicy('bounded-load', {
        clock,
        random,
        targetExceptionShare: budget.countOpening,
      }),
      events: SILENT_EVENT_LOG,
      limits: { maxFlows: MAX_FLOWS, maxPendingOpenings: MAX_PENDING_OPENINGS },
    });
    const daemon = new HollowDaemon(
      specification,
      surroundings,
      channel,
      platform,
      plane,
      flows,
      probeCounter,
    );
    edge.onAnswer = (packet, from) => void daemon.flows.handleReturn(packet, from);
    daemon.run();
    return daemon;
  }

  setLoad(load: HollowLoad): void {
    this.load = load;
  }

  setPlatformBlocked(blocked: boolean): void {
    this.platform.setBlocked(blocked);
  }

  /** Forgets what was observed so far. */
  mark(): void {
    this.applied.length = 0;
    this.changes.length = 0;
  }

  /** Ends without telling anyone, as a failed machine does. */
  async crash(): Promise<void> {
    await this.channel.close();
    this.stopping.abort();
    await this.plane.stop();
  }

  /** Hands its shards over and leaves. */
  async leave(): Promise<void> {
    this.plane.membership.leave();
    await this.flows.handOver(AbortSignal.timeout(HANDOVER_LIMIT_MS));
    this.stopping.abort();
    await this.plane.stop();
    await this.channel.close();
  }

  sample(): HollowSample {
    const { plane, flows } = this;
    const view = plane.membership.view();
    const description = flows.describeFlows();
    const { statistics } = description;
    return {
      ...this.specification,
      version: plane.settings.status().version,
      members: view.members.length,
      quorate: view.quorate,
      storeReader: plane.settings.status().readerLease !== undefined,
      kinds: this.kindTotals(),
      openFlows: statistics.open,
      replicatedFlows: statistics.replicated,
      flowTableBytes: description.memoryBytes,
      openings: statistics.opened,
      exceptions: statistics.exceptions,
      shardsKept: statistics.shardsKept,
      shardsAcquiring: statistics.shardsAcquiring,
      probes: this.probeCounter.count,
      applied: [...this.applied],
      changes: [...this.changes],
    };
  }

  private run(): void {
    const { plane, flows, stopping, clock } = this;
    plane.settings.subscribe((settings) => {
      this.applied.push({ version: settings.version, atWallMs: Date.now() });
    });
    plane.membership.subscribe((view) => this.observe(view));
    flows.start(stopping.signal);
    plane.start();
    this.activateWhenPossible();
    const tick = (): void => {
      if (stopping.signal.aborted) return;
      this.makeLoad();
      clock.schedule(LOAD_TICK_MS, tick);
    };
    clock.schedule(LOAD_TICK_MS, tick);
  }

  private activateWhenPossible(): void {
    if (this.stopping.signal.aborted) return;
    if (this.plane.mayActivate()) this.plane.membership.activate();
    else this.clock.schedule(ACTIVATION_POLL_MS, () => this.activateWhenPossible());
  }

  private observe(view: MembershipView): void {
    const states = new Map(view.members.map((member) => [member.id, member.state]));
    const atWallMs = Date.now();
    for (const [memberId, state] of states) {
      if (this.lastStates.get(memberId) !== state) this.changes.push({ memberId, state, atWallMs });
    }
    for (const memberId of this.lastStates.keys()) {
      if (!states.has(memberId)) this.changes.push({ memberId, state: 'gone', atWallMs });
    }
    this.lastStates = states;
  }

  private refreshOwnShards(): void {
    const nowMs = this.clock.now();
    if (nowMs - this.ownShardsAtMs < OWN_SHARDS_REFRESH_MS) return;
    this.ownShardsAtMs = nowMs;
    const shards = Array.from({ length: SHARD_COUNT }, (_unused, shard) => shard);
    this.ownShards = shards.filter((shard) => this.flows.baseVersionOf(shard) !== undefined);
  }

  private makeLoad(): void {
    const { openingsPerSecond, preloadedFlows } = this.load;
    if (openingsPerSecond === 0 && this.preloaded >= preloadedFlows) return;
    this.refreshOwnShards();
    if (this.ownShards.length === 0 || !this.flows.isServing()) return;
    this.owed = Math.min(this.owed + (openingsPerSecond * LOAD_TICK_MS) / 1_000, MAX_OPENINGS_A_TICK);
    let openings = Math.floor(this.owed);
    this.owed -= openings;
    if (this.preloaded < preloadedFlows) {
      const batch = Math.min(MAX_OPENINGS_A_TICK, preloadedFlows - this.preloaded);
      this.preloaded += batch;
      openings += batch;
    }
    for (let count = 0; count < openings; count += 1) this.openFlow();
  }

  private openFlow(): void {
    const { pool, service } = this.surroundings;
    const shard = this.ownShards[this.nextShard % this.ownShards.length] as number;
    this.nextShard += 1;
    const flow = pool.take(shard);
    this.flows.handlePacket(flowPacket(flow, service, 'syn'));
    const { lifetimeMs } = this.load;
    if (lifetimeMs > 0) {
      this.clock.schedule(lifetimeMs, () => this.flows.handlePacket(flowPacket(flow, service, 'rst')));
    }
  }

  private kindTotals(): Record<ControlKind, KindTotals> {
    const { byKind } = this.channel.meter();
    const totals = CONTROL_KINDS.map((kind) => {
      const { bytesOut, bytesIn, messagesOut } = byKind[kind];
      return [kind, { bytesOut, bytesIn, messagesOut }];
    });
    return Object.fromEntries(totals) as Record<ControlKind, KindTotals>;
  }
}
