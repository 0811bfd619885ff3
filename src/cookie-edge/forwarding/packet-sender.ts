/**
 * Forwards the current packet to a back end, or answers it with a reset. Owns no state; relies on the edge to hold the
 * current packet.
 */
import type { CookieEdgePort } from '../../fabric/cookie-edge.js';
import type { KnownBackend } from '../routing/index.js';
import type { CookieRegistry } from './cookie-registry.js';
import type { CookieStatistics } from './cookie-statistics.js';

/** What a sender needs. */
interface PacketSenderOptions {
  readonly edge: CookieEdgePort;
  readonly cookies: CookieRegistry;
  readonly statistics: CookieStatistics;
}

/** Translates back ends to endpoints and cookies, and counts what is forwarded. */
export class PacketSender {
  constructor(private readonly options: PacketSenderOptions) {}

  /**
   * Forwards to a back end with the cookie that names it; drops and counts the packet where both of its cookies are
   * taken.
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
