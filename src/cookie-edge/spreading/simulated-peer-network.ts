/** Simulated network between daemons on a virtual clock, for tests: delays, losses and isolated daemons. */
import Result from 'true-myth/result';
import type { Clock } from '../../common/clock.js';
import type { RandomSource } from '../../common/random.js';
import { formatEndpoint, type Endpoint } from '../../common/types.js';
import { fetchError, type SpreadingError } from './errors.js';
import type { DatagramReceiver, KnownRevisions, PeerTransport, StateProvider } from './types.js';

/** Mean one-way network delay in ms. */
const MEAN_DELAY_MS = 2;

/** Creates the transports of daemons, and delays or drops their messages. */
export class SimulatedPeerNetwork {
  lossRate = 0;
  /** Daemons (`host:port`) that are isolated from all others. */
  readonly isolatedDaemons = new Set<string>();
  /** Daemons (`host:port`) whose fetches fail. */
  readonly daemonsWithoutFetch = new Set<string>();
  bytesSent = 0;
  /** Total size of the fetched states. */
  fetchedBytes = 0;
  fetchedBytesBetweenZones = 0;
  /** Handlers of each open transport, by `host:port`. */
  private readonly handlers = new Map<string, { receive: DatagramReceiver; provideState: StateProvider }>();

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  openTransport(endpoint: Endpoint): PeerTransport {
    const self = formatEndpoint(endpoint);
    return {
      endpoint,
      send: (to, bytes) => this.deliver(self, endpoint, formatEndpoint(to), bytes),
      fetch: (from, known) => this.fetch(self, from, known),
      serve: (receive, provideState) => this.handlers.set(self, { receive, provideState }),
      close: () => {
        this.handlers.delete(self);
        return Promise.resolve();
      },
    };
  }

  removeDaemon(endpoint: Endpoint): void {
    this.handlers.delete(formatEndpoint(endpoint));
  }

  private deliver(senderKey: string, sender: Endpoint, receiverKey: string, bytes: Uint8Array): void {
    this.bytesSent += bytes.length;
    if (!this.canReach(senderKey, receiverKey) || this.random() < this.lossRate) return;
    this.clock.schedule(MEAN_DELAY_MS * (0.5 + this.random()), () => {
      if (this.canReach(senderKey, receiverKey)) this.handlers.get(receiverKey)?.receive(bytes, sender);
    });
  }

  private async fetch(
    requesterKey: string,
    peer: Endpoint,
    known: KnownRevisions,
  ): Promise<Result<Uint8Array, SpreadingError>> {
    const peerKey = formatEndpoint(peer);
    await new Promise<void>((resolve) => void this.clock.schedule(2 * MEAN_DELAY_MS, resolve));
    const canFetch = this.canReach(requesterKey, peerKey) && !this.daemonsWithoutFetch.has(requesterKey);
    const handler = canFetch ? this.handlers.get(peerKey) : undefined;
    if (!handler) return Result.err(fetchError(peer, new Error('simulated')));
    const bytes = handler.provideState(known);
    this.fetchedBytes += bytes.length;
    if (zoneOf(requesterKey) !== zoneOf(peerKey)) this.fetchedBytesBetweenZones += bytes.length;
    return Result.ok(bytes);
  }

  private canReach(oneKey: string, otherKey: string): boolean {
    return !this.isolatedDaemons.has(oneKey) && !this.isolatedDaemons.has(otherKey);
  }
}

/** Returns the zone of the daemon at `host:port`. */
export function zoneOf(endpoint: string): string {
  const host = endpoint.split(':')[0] ?? '';
  return `zone-${Number(host.split('.').at(-1)) % 3}`;
}
