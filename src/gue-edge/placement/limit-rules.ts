/**
 * Rule of the limits on openings. It prevents one client or service from using up what the back ends or the others
 * need. A limit holds for the whole fleet, and each balancer enforces its share of it. No input or output.
 */
import { BURST_MS } from './constants.js';
import type { RefusalReason } from './types.js';

const MS_PER_SECOND = 1_000;

/** A bucket of tokens, one for each opening. */
interface Tokens {
  /** True when `take` would succeed. */
  available(): boolean;
  take(): boolean;
}

/** What an opening is limited by; a limit that is not configured is undefined. */
interface LimitInput {
  /** Connections of the service that the fleet may keep. */
  readonly maxConnections: number | undefined;
  /** Connections of the service that this balancer keeps. */
  readonly openFlows: number;
  /** This balancer's part (0–1] of the fleet's limits. */
  readonly share: number;
  readonly serviceTokens: () => Tokens | undefined;
  /**
   * Tokens of the client address; asked for only when the service has some, so that other refusals remember no
   * clients.
   */
  readonly clientTokens: () => Tokens | undefined;
}

/**
 * Judges one opening and takes its tokens when it is admitted; a refused one takes none. Order: connections cost
 * nothing to compare; the service's tokens are only looked at until the client's are taken, so that a client beyond
 * its limit does not use up the service's. Returns undefined when admitted.
 */
export function judgeLimits(input: LimitInput): RefusalReason | undefined {
  const { maxConnections, openFlows, share } = input;
  if (maxConnections !== undefined && openFlows >= ownConnections(maxConnections, share)) {
    return 'service-connections';
  }
  const serviceTokens = input.serviceTokens();
  if (serviceTokens && !serviceTokens.available()) return 'service-openings';
  const clientTokens = input.clientTokens();
  if (clientTokens && !clientTokens.take()) return 'client-openings';
  serviceTokens?.take();
  return undefined;
}

/** Connections that this balancer may keep; at least one, so that a fleet larger than the limit admits any at all. */
function ownConnections(maxConnections: number, share: number): number {
  return Math.max(1, Math.ceil(maxConnections * share));
}

/** Rate (tokens a second) and burst (tokens) of this balancer's share of a limit on openings; at least one of each. */
export function ownOpenings(
  perSecond: number,
  share: number,
): { readonly rate: number; readonly burst: number } {
  const rate = Math.max(1, perSecond * share);
  return { rate, burst: Math.max(1, (rate * BURST_MS) / MS_PER_SECOND) };
}
