/**
 * Interfaces that a deployment implements: the edge that carries packets, and the source of routes and back ends. The
 * daemon owns what they return and closes the edge; a deployment relies on `fabric` for the form of a packet and on
 * `routing` for records.
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
  /** Where it is bound. */
  readonly endpoint: Endpoint;
  /** Monotonic ms at which it was bound, or a moment before: nothing in its socket is older. */
  readonly boundAtMs: number;
  /** Closes the socket; packets that are sent afterwards are lost. */
  close(): Promise<void>;
}

/** Arguments of `openEdge`. */
export interface CookieEdgeOptions {
  readonly data: Endpoint;
  readonly handler: CookieEdgeHandler;
  readonly events: EventLog;
  readonly clock: Clock;
}

/** What the deployment's entry point supplies. */
export interface DeploymentAdapters {
  /**
   * Binds the data socket and delivers packets to the handler from then on. Rejects with a `SailquayError` when it
   * cannot.
   */
  openEdge(options: CookieEdgeOptions): Promise<BoundCookieEdge>;
  /** Creates the client of the source at `address`, without calling it. */
  createSource(address: Endpoint, clock: Clock): RoutingSource & CallCountSource & RosterStore;
}
