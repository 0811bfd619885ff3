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

  /** Forwards a packet of an established flow with the back end's cookie. */
  forwardTo(backend: KnownBackend): void {
    this.forwardWithCookie(backend, this.options.cookies.cookieOf(backend));
  }

  /** Forwards a SYN with the back end's opening cookie. */
  forwardSynTo(backend: KnownBackend): void {
    this.forwardWithCookie(backend, this.options.cookies.openingCookieOf(backend));
  }

  /** Answers the caller with a reset. */
  sendReset(): void {
    this.options.edge.sendReset();
  }

  /** If other back ends own both cookies of the back end, drops and counts the packet. */
  private forwardWithCookie(backend: KnownBackend, cookie: number): void {
    const { edge, statistics } = this.options;
    if (cookie === 0) return statistics.countDrop('no-cookie');
    statistics.forwarded += 1;
    edge.sendToBackend(backend.id, backend.record.endpoint, cookie);
  }
}
