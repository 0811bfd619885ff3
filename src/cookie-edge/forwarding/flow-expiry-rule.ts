/**
 * Rule: when a cached flow expires.
 *
 * Removes flows whose end this daemon did not see; they would fill the cache and inflate the open-flow counts. Keeps
 * flows that their callers may still use. Does no input or output.
 *
 * Inputs: the phase of the flow, the time since its caller's last packet, and the idle timeout; times are in ms. The
 * phase is tested first: an open flow may be idle for long, while only stray packets follow in the other phases. The
 * idle timeout is the maximum lifetime of a flow if there is no route table, and never exceeds that lifetime. Packets
 * of a flow that expired too early are still forwarded by their cookie.
 */
import { TRANSIENT_FLOW_TIMEOUT_MS } from './constants.js';
import type { FlowPhase } from './flow-cache.js';

/** Idle timeout of an open flow, in ms. `configuredMs` is undefined without a route table. */
export function idleTimeoutMs(configuredMs: number | undefined, maxFlowAgeMs: number): number {
  return Math.min(configuredMs ?? maxFlowAgeMs, maxFlowAgeMs);
}

/** Returns true if the caller has been silent long enough for the flow to expire. */
export function isExpired(phase: FlowPhase, silentMs: number, idleMs: number): boolean {
  return silentMs >= (phase === 'open' ? idleMs : TRANSIENT_FLOW_TIMEOUT_MS);
}
