/**
 * Decides when a pending handshake counts as slow. A back end that refuses openings answers its callers directly,
 * which this daemon does not see, and the caller's next attempt follows within milliseconds. Avoiding back ends with a
 * slow handshake sends that attempt to another back end, long before the first opening counts as unanswered. Does no
 * input or output; owns the moving average. Times are ms.
 */
import {
  HANDSHAKE_AVERAGE_START_MS,
  HANDSHAKE_AVERAGE_WEIGHT,
  SLOW_HANDSHAKE_FACTOR,
  SLOW_HANDSHAKE_MARGIN_MS,
} from './constants.js';

/** Moving average of the handshake times of all back ends. */
export class HandshakeTimes {
  private averageMs = HANDSHAKE_AVERAGE_START_MS;

  /** A handshake that waits longer than this is slow. */
  get slowHandshakeMs(): number {
    return SLOW_HANDSHAKE_MARGIN_MS + this.averageMs * SLOW_HANDSHAKE_FACTOR;
  }

  /** Records how long an answered opening took. */
  record(tookMs: number): void {
    this.averageMs += (tookMs - this.averageMs) * HANDSHAKE_AVERAGE_WEIGHT;
  }
}

/** True while openings have been pending at a back end without a break for more than `slowHandshakeMs`. */
export function hasSlowHandshake(
  pendingOpenings: number,
  pendingSinceMs: number,
  nowMs: number,
  slowHandshakeMs: number,
): boolean {
  return pendingOpenings > 0 && nowMs - pendingSinceMs > slowHandshakeMs;
}
