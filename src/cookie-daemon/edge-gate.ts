/** Stands between the edge, which is bound first, and the forwarder, which needs the edge. */
import type { CookieEdgeHandler, CookiePacket } from '../fabric/cookie-edge.js';
import type { EdgeDropReason } from '../fabric/types.js';

/** Drops everything until it is opened. */
export class EdgeGate implements CookieEdgeHandler {
  private handler: CookieEdgeHandler | undefined;

  open(handler: CookieEdgeHandler): void {
    this.handler = handler;
  }

  onPacket(packet: CookiePacket): void {
    this.handler?.onPacket(packet);
  }

  onDrop(reason: EdgeDropReason): void {
    this.handler?.onDrop(reason);
  }
}
