/**
 * Interfaces that a deployment implements: the edge that carries packets, and the source of routes and back ends. The
 * daemon owns the objects that they return and closes the edge. `fabric` defines the packets, `routing` the records.
 */
import type { Clock } from '../../common/clock.js';
import type { Endpoint } from '../../common/types.js';
import type { CookieEdgeHandler, CookieEdgePort } from '../../fabric/cookie-edge.js';
import type { EventLog } from '../../observability/event.js';
import type { CallCountSource } from '../load/index.js';
import type { RosterStore } from '../roster/index.js';
import type { RoutingSource } from '../routing/index.js';

/** An edge whose socket is bound. */
export interface BoundCookieEdge extends CookieEdgePort {
  /** Address to which the socket is bound. */
  readonly endpoint: Endpoint;
  /** Monotonic ms at or shortly before the binding: no packet in the socket is older. */
  readonly boundAtMs: number;
  /** Closes the socket. Packets sent afterwards are lost. */
  close(): Promise<void>;
}

/** Arguments of `openEdge`. */
export interface CookieEdgeOptions {
  readonly data: Endpoint;
  readonly handler: CookieEdgeHandler;
  readonly events: EventLog;
  readonly clock: Clock;
}

/** Adapters that the deployment's entry point supplies. */
export interface DeploymentAdapters {
  /**
   * Binds the data socket and delivers its packets to the handler. Rejects with a `SailquayError` if the binding fails.
   */
  openEdge(options: CookieEdgeOptions): Promise<BoundCookieEdge>;
  /** Creates the client of the source at `address`, without calling it. */
  createSource(address: Endpoint, clock: Clock): RoutingSource & CallCountSource & RosterStore;
}
