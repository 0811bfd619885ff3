/** What a policy is made with. */
import type { Clock } from '../../common/clock.js';
import type { RandomSource } from '../../common/random.js';
import type { EventLog } from '../../observability/event.js';

/** Options of `createPlacementPolicy`. */
export interface PlacementOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events?: EventLog;
  /** This balancer's part (0–1) of each back end's connections; 1 when left out. */
  readonly capacityShare?: () => number;
  /**
   * Share (0–1) of openings that may be exceptions; asked at each opening, so that it can follow a byte budget: see
   * `exceptionShareForBudget`.
   */
  readonly targetExceptionShare?: () => number;
}

/**
 * Share of openings that a byte budget can carry as exceptions.
 *
 * @param bytesPerSecond bytes a second that replication may spend
 * @param openingsPerSecond openings a second on this balancer
 * @param bytesPerException bytes that one exception costs (record and acknowledgement)
 * @param largestShare upper bound of the answer, 0–1
 */
export function exceptionShareForBudget(
  bytesPerSecond: number,
  openingsPerSecond: number,
  bytesPerException: number,
  largestShare: number,
): number {
  if (openingsPerSecond <= 0) return largestShare;
  const affordable = bytesPerSecond / (openingsPerSecond * bytesPerException);
  return Math.max(0, Math.min(largestShare, affordable));
}
