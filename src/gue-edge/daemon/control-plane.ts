/**
 * The control plane of one balancer: membership, spreading of settings and health, over a given control channel.
 * Owns the order in which they start and stop; relies on the channel and, if there is one, on the store. A daemon
 * adds the data path.
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
import { mayBecomeActive } from './readiness.js';

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
  const common = { clock, random, events };
  // Membership tells others the version of the settings in force, and the settings are spread among the members.
  const inForce: { settings?: SettingsDistributor } = {};
  const membership = new SwimMembership({
    ...common,
    identity,
    region,
    incarnation,
    channel: control,
    seeds,
    platform,
    settingsVersion: () => inForce.settings?.current()?.version ?? 0,
  });
  const settings = new SettingsDistributor({ ...common, region, channel: control, membership, platform });
  inForce.settings = settings;
  const health = new HealthMonitor({
    ...common,
    settings,
    membership,
    control,
    load: options.load ?? NO_FLOWS,
    probe: options.probe ?? httpProbe,
  });
  return new WiredControlPlane(membership, settings, health);
}

/** The parts with the order in which they start and stop. */
class WiredControlPlane implements ControlPlane {
  private readonly stopping = new AbortController();
  /** Another member was met, or there was none to look for. */
  private joined = false;

  constructor(
    readonly membership: SwimMembership,
    readonly settings: SettingsDistributor,
    readonly health: HealthMonitor,
  ) {}

  mayActivate(): boolean {
    return mayBecomeActive({
      hasSettings: this.settings.current() !== undefined,
      hasJoined: this.joined,
      isQuorate: this.membership.view().quorate,
      mayFoundRegion: this.membership.mayFoundRegion(),
    });
  }

  start(): void {
    void this.membership.join().then(() => {
      this.joined = true;
    });
    this.settings.start();
    this.health.start(this.stopping.signal);
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await this.settings.close();
    this.membership.stop();
  }
}
