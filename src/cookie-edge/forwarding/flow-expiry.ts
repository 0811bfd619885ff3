/** Forgets flows that were silent too long, and departed back ends whose flows must have ended. */
import type { RoutingKnowledge } from '../routing/index.js';
import { CLOSING_MS, EXPIRY_INTERVAL_MS } from './constants.js';
import type { FlowCache } from './flow-cache.js';

/** What expiry needs. */
interface FlowExpiryOptions {
  readonly knowledge: RoutingKnowledge;
  readonly cache: FlowCache;
  /** Longest life of a flow, in ms. */
  readonly maxFlowAgeMs: number;
}

/** Owns the time of the next sweep. Times are monotonic ms. */
export class FlowExpiry {
  private nextSweepMs = 0;

  constructor(private readonly options: FlowExpiryOptions) {}

  /** Sweeps, unless the last sweep was less than `EXPIRY_INTERVAL_MS` ago. */
  check(nowMs: number): void {
    if (nowMs < this.nextSweepMs) return;
    const { knowledge, cache, maxFlowAgeMs } = this.options;
    this.nextSweepMs = nowMs + EXPIRY_INTERVAL_MS;
    knowledge.backends.prune();
    const idleMs = Math.min(knowledge.routes()?.table.idleTimeoutMs ?? maxFlowAgeMs, maxFlowAgeMs);
    cache.expire(cache.size, (flow) => {
      const silentMs = nowMs - flow.lastPacketMs;
      return silentMs >= (flow.phase === 'open' ? idleMs : CLOSING_MS);
    });
  }
}
