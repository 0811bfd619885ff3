/** Interfaces that a deployment implements: the edge that carries packets, and the source of routes and back ends. */
import type { Clock } from '../../common/clock.js';
import type { Endpoint } from '../../common/types.js';
import type { CookieEdgeHandler, CookieEdgePort } from '../../fabric/cookie-edge.js';
import type { EventLog } from '../../observability/event.js';
import type { CallCountSource } from '../load/index.js';
import type { RoutingSource } from '../routing/index.js';

/** An edge whose socket is bound. */
export interface BoundCookieEdge extends CookieEdgePort {
  /** Where it is bound. */
  readonly endpoint: Endpoint;
  /** Monotonic ms at which it was bound, or a moment before. */
  readonly boundAtMs: number;
  close(): Promise<void>;
}

/** Arguments of `openEdge`. */
export interface CookieEdgeOptions {
  readonly data: Endpoint;
  readonly handler: CookieEdgeHandler;
  readonly events: EventLog;
  readonly clock: Clock;
}

/** Made by the deployment's entry point. */
export interface DeploymentAdapters {
  /** Binds the data socket and delivers packets to the handler from then on. */
  openEdge(options: CookieEdgeOptions): Promise<BoundCookieEdge>;
  createSource(address: Endpoint, clock: Clock): RoutingSource & CallCountSource;
}
