/** Forwards the current packet to a back end, or answers it with a reset. The edge holds the current packet. */
import type { CookieEdgePort } from '../../fabric/cookie-edge.js';
import type { KnownBackend } from '../routing/index.js';
import type { CookieRegistry } from './cookie-registry.js';
import type { CookieStatistics } from './cookie-statistics.js';

/** Dependencies of `PacketSender`. */
interface PacketSenderOptions {
  readonly edge: CookieEdgePort;
  readonly cookies: CookieRegistry;
  readonly statistics: CookieStatistics;
}

/** Looks up a back end's endpoint and cookie, and counts forwarded packets. */
export class PacketSender {
  constructor(private readonly options: PacketSenderOptions) {}

  /**
   * Forwards the packet with the back end's cookie. If other back ends own both of its cookies, drops and counts the
   * packet.
   */
  forwardTo(backend: KnownBackend): void {
    const { edge, cookies, statistics } = this.options;
    const cookie = cookies.cookieOf(backend);
    if (cookie === 0) return statistics.countDrop('no-cookie');
    statistics.forwarded += 1;
    edge.sendToBackend(backend.id, backend.record.endpoint, cookie);
  }

  /** Answers the caller with a reset. */
  sendReset(): void {
    this.options.edge.sendReset();
  }
}
