/**
 * Sweeps the flow cache by the rule in `flow-expiry-rule.ts`, and prunes departed back ends whose flows must have
 * ended. Housekeeping calls it once per tick.
 */
import type { RoutingKnowledge } from '../routing/index.js';
import { EXPIRY_INTERVAL_MS } from './constants.js';
import type { FlowCache } from './flow-cache.js';
import { idleTimeoutMs, isExpired } from './flow-expiry-rule.js';

/** Dependencies and settings of flow expiry. */
interface FlowExpiryOptions {
  readonly knowledge: RoutingKnowledge;
  readonly cache: FlowCache;
  /** Maximum lifetime of a flow, in ms. */
  readonly maxFlowAgeMs: number;
}

/** Sweeps at most once per `EXPIRY_INTERVAL_MS`. Times are monotonic ms. */
export class FlowExpiry {
  private nextSweepMs = 0;

  constructor(private readonly options: FlowExpiryOptions) {}

  /** Sweeps, unless the last sweep was less than `EXPIRY_INTERVAL_MS` ago. */
  sweepIfDue(nowMs: number): void {
    if (nowMs < this.nextSweepMs) return;
    const { knowledge, cache, maxFlowAgeMs } = this.options;
    this.nextSweepMs = nowMs + EXPIRY_INTERVAL_MS;
    knowledge.prune();
    const idleMs = idleTimeoutMs(knowledge.routes()?.table.idleTimeoutMs, maxFlowAgeMs);
    cache.removeExpired(cache.size, ({ phase, lastPacketAtMs }) =>
      isExpired(phase, nowMs - lastPacketAtMs, idleMs),
    );
  }
}
