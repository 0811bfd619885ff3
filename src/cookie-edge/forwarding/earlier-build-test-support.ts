/**
 * Plays a daemon of a build that has neither opening cookies nor opening lookups. It knows both cookies of a back end,
 * but writes the same one into all packets, follows every cookie that it knows, asks no peer and answers none.
 */
import type { CookiePacket } from '../../fabric/cookie-edge.js';
import type { KnownBackend, RoutedBackend } from '../routing/index.js';
import { CookieRegistry } from './cookie-registry.js';

/** Called with the back end to which a packet was sent and with its cookie. */
type SentListener = (backend: string, cookie: number, packet: Partial<CookiePacket>) => void;

/** A daemon that handles the packets of one flow. */
export class EarlierBuildDaemon {
  /** It neither asks nor answers peers. */
  readonly forwarder = undefined;
  private readonly cookies = new CookieRegistry();
  /** Back end of the cached flow. */
  private cachedBackend: KnownBackend | undefined;
  private readonly preferred: KnownBackend | undefined;

  /** `preferredId`: the back end at which the daemon places a flow. */
  constructor(
    records: readonly RoutedBackend[],
    preferredId: string,
    private readonly onSent: SentListener,
  ) {
    const backends = records.map((record) => knownBackend(record));
    for (const backend of backends) this.cookies.add(backend);
    this.preferred = backends.find(({ id }) => id === preferredId);
  }

  deliver(packet: Partial<CookiePacket>): void {
    const cookieBackend = this.cookies.backendOf(packet.cookie ?? 0);
    const backend = packet.syn
      ? (this.cachedBackend ?? this.preferred)
      : (cookieBackend ?? this.cachedBackend);
    if (!backend) return;
    this.cachedBackend = backend;
    this.onSent(backend.id, this.cookies.cookieOf(backend), packet);
  }

  /** Does nothing: it has no timers. */
  stop(): void {}
}

function knownBackend(record: RoutedBackend): KnownBackend {
  return {
    id: record.id,
    record,
    departed: false,
    lapsed: false,
    removedRevision: -1,
    departedAtMs: undefined,
    coldUntilMs: 0,
  };
}
