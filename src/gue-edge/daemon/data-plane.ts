/**
 * The data path of one balancer: the edge, placement and the flow keeper (or a baseline in its place).
 *
 * Owns the gate that counts packets before the flow keeper exists, and the addresses from which packets are
 * accepted. Relies on the control plane for the view, the settings and the health of back ends.
 */
import { merge } from 'most';
import type { Clock } from '../../common/clock.js';
import { observe, streamOf } from '../../common/event-stream.js';
import type { RandomSource } from '../../common/random.js';
import { formatEndpoint, type Endpoint } from '../../common/types.js';
import type { ControlChannel } from '../control/types.js';
import type { SettingsFeed } from '../dissemination/types.js';
import { createEdgePort, type BoundEdgePort, type EdgeHandler } from '../../fabric/index.js';
import type { EdgePort } from '../../fabric/types.js';
import { createForwarder, type FlowLimits, type PacketForwarder } from '../flow/index.js';
import type { HealthFeed } from '../health/types.js';
import type { MembershipFeed, MembershipView } from '../membership/types.js';
import type { EventLog } from '../../observability/event.js';
import {
  createPlacementPolicy,
  ExceptionBudget,
  OpeningLimiter,
  type CountingPolicy,
} from '../placement/index.js';
import type { EffectiveSettings } from '../../settings/types.js';
import type { DaemonConfig } from './config.js';
import { LimitedAdmission } from './opening-admission.js';

/** Receives packets before the flow keeper exists, then passes them to it; counts what arrives. */
export class EdgeGate implements EdgeHandler {
  forwarder: PacketForwarder | undefined;
  /** Packets from callers and back ends since start. */
  packetsReceived = 0;
  private readonly dropCounts = new Map<string, number>();

  onForward: EdgeHandler['onForward'] = (packet) => {
    this.packetsReceived += 1;
    this.forwarder?.handlePacket(packet);
  };

  onReturn: EdgeHandler['onReturn'] = (packet, from) => {
    this.packetsReceived += 1;
    return this.forwarder?.handleReturn(packet, from) ?? false;
  };

  onDrop: EdgeHandler['onDrop'] = (reason) => {
    this.dropCounts.set(reason, (this.dropCounts.get(reason) ?? 0) + 1);
  };

  /** Packets dropped at the edge by reason, since start. */
  drops(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.dropCounts);
  }
}

/**
 * The data addresses of other balancers and of back ends. Balancers follow the view; back ends are remembered since
 * start, because a back end that left the settings tree still answers on its open flows.
 */
export class KnownSources {
  private peers = new Set<string>();
  private readonly backends = new Set<string>();

  constructor(private readonly selfId: string) {}

  readonly isPeer = (endpoint: Endpoint): boolean => this.peers.has(formatEndpoint(endpoint));
  readonly isBackend = (endpoint: Endpoint): boolean => this.backends.has(formatEndpoint(endpoint));

  setView(view: MembershipView): void {
    const others = view.members.filter((member) => member.id !== this.selfId);
    this.peers = new Set(others.map((member) => formatEndpoint(member.data)));
  }

  setSettings(settings: EffectiveSettings): void {
    const backends = settings.services.flatMap((service) => service.backends);
    backends.forEach((backend) => this.backends.add(formatEndpoint(backend.endpoint)));
  }
}

/** What the data path is made with. */
interface DataPlaneOptions {
  readonly config: DaemonConfig;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly control: ControlChannel;
  readonly edge: EdgePort;
  readonly gate: EdgeGate;
  readonly sources: KnownSources;
  readonly membership: MembershipFeed;
  readonly settings: SettingsFeed;
  readonly health: HealthFeed;
  /** Limits in force now. */
  readonly limits: () => DaemonConfig['limits'];
  readonly memoryExceeded: () => boolean;
}

/** The running data path. */
export interface DataPlane {
  readonly forwarder: PacketForwarder;
  readonly policy: CountingPolicy;
}

/** What the data socket is bound with. */
interface EdgeBinding {
  readonly config: DaemonConfig;
  readonly sources: KnownSources;
  readonly gate: EdgeGate;
  readonly events: EventLog;
  readonly clock: Clock;
}

/** Binds the data socket; packets go to `gate`. */
export function bindEdge({ config, sources, gate, events, clock }: EdgeBinding): Promise<BoundEdgePort> {
  const { data, fabricReturn } = config;
  const { isPeer, isBackend } = sources;
  return createEdgePort({ data, fabricReturn, isPeer, isBackend, handler: gate, events, clock });
}

/** Wires the data path and starts it; it ends with `signal`. */
export function startDataPlane(options: DataPlaneOptions, signal: AbortSignal): DataPlane {
  const { config, clock, random, events, membership, settings } = options;
  const share = (): number => 1 / Math.max(1, owners(membership.view()));
  const limiter = new OpeningLimiter({ clock, share });
  const admission = new LimitedAdmission(options.memoryExceeded, limiter);
  const budget = new ExceptionBudget({ clock, bytesPerSecond: config.exceptionBytesPerSecond });
  const policy = createPlacementPolicy(config.placement, {
    clock,
    random,
    events,
    capacityShare: share,
    targetExceptionShare: budget.countOpening,
  });
  const forwarder = createForwarder(config.placement, {
    selfId: config.id,
    zone: config.zone,
    clock,
    random,
    membership,
    control: options.control,
    edge: options.edge,
    health: options.health,
    policy,
    settings,
    limiter: admission,
    events,
    limits: liveLimits(options.limits),
  });
  followSources(options, signal);
  forwarder.start(signal);
  options.gate.forwarder = forwarder;
  return { forwarder, policy };
}

/** Limits that follow a reread of the configuration. */
function liveLimits(limits: DataPlaneOptions['limits']): FlowLimits {
  return {
    get maxFlows() {
      return limits().maxFlows;
    },
    get maxPendingOpenings() {
      return limits().maxPendingOpenings;
    },
  };
}

function followSources({ sources, membership, settings }: DataPlaneOptions, signal: AbortSignal): void {
  sources.setView(membership.view());
  const current = settings.current();
  if (current) sources.setSettings(current);
  const views = streamOf<MembershipView>((listener) => membership.subscribe(listener));
  const versions = streamOf<EffectiveSettings>((listener) => settings.subscribe(listener));
  const updates = merge(
    views.map((view) => () => sources.setView(view)),
    versions.map((version) => () => sources.setSettings(version)),
  );
  const end = observe(updates, (update) => update());
  signal.addEventListener('abort', end);
}

/** Number of members that own shards. */
function owners(view: MembershipView): number {
  return view.members.filter(({ state }) => state === 'active' || state === 'suspect').length;
}
