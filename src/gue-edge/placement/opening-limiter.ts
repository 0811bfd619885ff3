/**
 * Limits on openings: connections and openings a second of a service, openings a second of a client address.
 *
 * A limit holds for the whole fleet; each balancer enforces its share of it, limit / number of balancers that own
 * shards. Flows are split over the shards by hash, so the error is small: with n balancers and a limit of L a
 * second, a balancer that gets more than its part refuses although the fleet is below L (about sqrt(n / L) of the
 * limit, one standard deviation), and a client with few flows whose shards fall to one balancer gets about max(1, L
 * / n) there. Each share allows at least one opening a second and one connection, so a fleet larger than the limit
 * admits up to one for each balancer.
 *
 * Owns the token buckets of services and of client addresses; the rule is in `limit-rules.ts`.
 */
import type { Clock } from '../../common/clock.js';
import type { EffectiveService } from '../../settings/types.js';
import { MAX_TRACKED_CLIENTS } from './constants.js';
import { judgeLimits, ownOpenings } from './limit-rules.js';
import { TokenBucket } from './token-bucket.js';
import type { RefusalReason } from './types.js';

/** Options of `OpeningLimiter`. */
interface OpeningLimiterOptions {
  readonly clock: Clock;
  /** This balancer's part (0–1] of fleet-wide limits: 1 / number of balancers that own shards. */
  readonly share: () => number;
  /** Pairs of service and client address remembered at most. */
  readonly maxTrackedClients?: number;
}

/** Admits or refuses openings; memory is bounded by services plus `maxTrackedClients`. */
export class OpeningLimiter {
  private readonly services = new Map<number, TokenBucket>();
  /** Least recently used first. Keys are `service:client`. */
  private readonly clients = new Map<string, TokenBucket>();
  private readonly maxClients: number;

  constructor(private readonly options: OpeningLimiterOptions) {
    this.maxClients = options.maxTrackedClients ?? MAX_TRACKED_CLIENTS;
  }

  /** Number of client buckets held. */
  get trackedClients(): number {
    return this.clients.size;
  }

  /**
   * Decides on one opening and takes its tokens when it is admitted; a refused one takes none.
   *
   * @param clientAddress IPv4 address as an unsigned 32-bit integer
   * @param openFlowsOfService flows of the service that this balancer keeps now
   * @returns undefined when admitted
   */
  admit(
    service: EffectiveService,
    clientAddress: number,
    openFlowsOfService: number,
  ): RefusalReason | undefined {
    const { maxConnections, openingsPerSecond, openingsPerSecondPerClient } = service.limits;
    const share = this.options.share();
    return judgeLimits({
      maxConnections,
      openFlows: openFlowsOfService,
      share,
      serviceTokens: () => this.serviceBucket(service.id, openingsPerSecond, share),
      clientTokens: () => this.clientBucket(service.id, clientAddress, openingsPerSecondPerClient, share),
    });
  }

  private serviceBucket(id: number, limit: number | undefined, share: number): TokenBucket | undefined {
    if (limit === undefined) {
      this.services.delete(id);
      return undefined;
    }
    const bucket = this.configured(this.services.get(id), limit, share);
    this.services.set(id, bucket);
    return bucket;
  }

  private clientBucket(
    serviceId: number,
    clientAddress: number,
    limit: number | undefined,
    share: number,
  ): TokenBucket | undefined {
    if (limit === undefined) return undefined;
    const key = `${serviceId}:${clientAddress}`;
    const bucket = this.configured(this.clients.get(key), limit, share);
    this.clients.delete(key);
    this.clients.set(key, bucket);
    this.forgetOldClients();
    return bucket;
  }

  private configured(known: TokenBucket | undefined, limit: number, share: number): TokenBucket {
    const { rate, burst } = ownOpenings(limit, share);
    if (!known) return new TokenBucket(this.options.clock, rate, burst);
    known.configure(rate, burst);
    return known;
  }

  private forgetOldClients(): void {
    while (this.clients.size > this.maxClients) {
      const oldest = this.clients.keys().next();
      if (oldest.done) return;
      this.clients.delete(oldest.value);
    }
  }
}
