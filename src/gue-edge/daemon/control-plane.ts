/**
 * The control plane of one balancer: membership, spreading of settings and health, over a given control channel. A
 * real daemon adds the data path; tests do without.
 */
import type { Clock } from '../../common/clock.js';
import type { RandomSource } from '../../common/random.js';
import type { Endpoint } from '../../common/types.js';
import type { ControlChannel } from '../control/types.js';
import { SettingsDistributor } from '../dissemination/index.js';
import { HealthMonitor, httpProbe, type Probe } from '../health/index.js';
import { SwimMembership } from '../membership/index.js';
import type { EventLog } from '../../observability/event.js';
import type { LoadView } from '../placement/types.js';
import type { StoreClient } from '../../store/index.js';

/** Who this balancer is and where it is reached; all ports are bound already. */
export interface BalancerIdentity {
  readonly id: string;
  readonly region: string;
  readonly zone: string;
  readonly control: Endpoint;
  readonly data: Endpoint;
  readonly admin: Endpoint;
  /** Milliseconds since the epoch at process start. */
  readonly incarnation: number;
}

/** What a control plane is made with. */
interface ControlPlaneOptions {
  readonly identity: BalancerIdentity;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly control: ControlChannel;
  /** Absent: settings and members are learnt from peers only. */
  readonly platform?: StoreClient;
  /** Control addresses of some other members. */
  readonly seeds: readonly Endpoint[];
  /** Flows kept per back end; none without a data path. */
  readonly load?: LoadView;
  /** How back ends are probed; over HTTP unless given. */
  readonly probe?: Probe;
}

/** The running parts. */
export interface ControlPlane {
  readonly membership: SwimMembership;
  readonly settings: SettingsDistributor;
  readonly health: HealthMonitor;
  /** True once settings are loaded and another member was met, or this balancer is a quorum by itself. */
  mayActivate(): boolean;
  /** Starts probing peers, reading settings and probing back ends, and joins the region. */
  start(): void;
  /** Stops everything and tells the other members that this one is gone. */
  stop(): Promise<void>;
}

const NO_FLOWS: LoadView = { openFlows: () => 0 };

/** Wires the control plane; nothing is sent before `start`. */
export function createControlPlane(options: ControlPlaneOptions): ControlPlane {
  const { identity, clock, random, events, control, platform, seeds } = options;
  const { region, incarnation } = identity;
  let joined = false;
  const membership = new SwimMembership({
    identity,
    region,
    incarnation,
    channel: control,
    clock,
    random,
    seeds,
    platform,
    settingsVersion: () => settings.current()?.version ?? 0,
    events,
  });
  const settings: SettingsDistributor = new SettingsDistributor({
    region,
    clock,
    random,
    events,
    channel: control,
    membership,
    platform,
  });
  const health = new HealthMonitor({
    clock,
    random,
    events,
    settings,
    membership,
    control,
    load: options.load ?? NO_FLOWS,
    probe: options.probe ?? httpProbe,
  });
  const stopping = new AbortController();
  return {
    membership,
    settings,
    health,
    mayActivate: () => {
      const meetsRegion = joined || membership.view().quorate || membership.mayFoundRegion();
      return settings.current() !== undefined && meetsRegion;
    },
    start: () => {
      void membership.join().then(() => {
        joined = true;
      });
      settings.start();
      health.start(stopping.signal);
    },
    stop: async () => {
      stopping.abort();
      await settings.close();
      membership.stop();
    },
  };
}
