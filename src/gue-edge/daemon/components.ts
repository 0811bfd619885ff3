/**
 * Everything one daemon is made of, in one place.
 *
 * Owns nothing: types alone.
 */
import type { Clock } from '../../common/clock.js';
import type { RandomSource } from '../../common/random.js';
import type { UdpControlChannel } from '../control/index.js';
import type { BoundEdgePort } from '../../fabric/index.js';
import type { AdminServer, EventLog } from '../../observability/index.js';
import type { ConnectedStoreClient } from '../../store/index.js';
import type { BalancerIdentity, ControlPlane } from './control-plane.js';
import type { DataPlane, EdgeGate } from './data-plane.js';
import type { FaultInjection } from './fault-injection.js';
import type { LimitGuard } from './limit-guard.js';

/** What a daemon needs from its surroundings; tests give their own. */
export interface DaemonEnvironment {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  /** Lets experiments inject faults over the admin address; absent in production. */
  readonly faults?: FaultInjection;
}

/** The sockets of a daemon. */
export interface DaemonSockets {
  readonly admin: AdminServer;
  readonly control: UdpControlChannel;
  readonly edge: BoundEdgePort;
  /** Between the edge and the flow keeper, which is made later. */
  readonly gate: EdgeGate;
}

/** The wired parts of a running daemon. */
export interface Components extends DaemonEnvironment, DaemonSockets {
  readonly identity: BalancerIdentity;
  readonly platform: ConnectedStoreClient | undefined;
  readonly controlPlane: ControlPlane;
  readonly dataPlane: DataPlane;
  /** Guards of resident memory and of open flows. */
  readonly guards: readonly LimitGuard[];
}
