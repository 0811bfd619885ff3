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
  bytesSent = 0;
  /** Total size of the fetched states. */
  fetchedBytes = 0;
  fetchedBytesBetweenZones = 0;
  private readonly nodes = new Map<string, { receive: DatagramReceiver; provideState: StateProvider }>();

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
      serve: (receive, provideState) => this.nodes.set(self, { receive, provideState }),
      close: () => {
        this.nodes.delete(self);
        return Promise.resolve();
      },
    };
  }

  removeNode(endpoint: Endpoint): void {
    this.nodes.delete(formatEndpoint(endpoint));
  }

  private deliver(self: string, from: Endpoint, to: string, bytes: Uint8Array): void {
    this.bytesSent += bytes.length;
    if (!this.canReach(self, to) || this.random() < this.lossRate) return;
    this.clock.schedule(MEAN_DELAY_MS * (0.5 + this.random()), () => {
      if (this.canReach(self, to)) this.nodes.get(to)?.receive(bytes, from);
    });
  }

  private async fetch(
    self: string,
    from: Endpoint,
    known: KnownRevisions,
  ): Promise<Result<Uint8Array, SpreadingError>> {
    const to = formatEndpoint(from);
    await new Promise<void>((resolve) => void this.clock.schedule(2 * MEAN_DELAY_MS, resolve));
    const node = this.canReach(self, to) ? this.nodes.get(to) : undefined;
    if (!node) return Result.err(fetchError(from, new Error('simulated')));
    const bytes = node.provideState(known);
    this.fetchedBytes += bytes.length;
    if (zoneOf(self) !== zoneOf(to)) this.fetchedBytesBetweenZones += bytes.length;
    return Result.ok(bytes);
  }

  private canReach(self: string, to: string): boolean {
    return !this.isolatedDaemons.has(self) && !this.isolatedDaemons.has(to);
  }
}

/** Returns the zone of the daemon at `host:port`. */
export function zoneOf(endpoint: string): string {
  const host = endpoint.split(':')[0] ?? '';
  return `zone-${Number(host.split('.').at(-1)) % 3}`;
}
