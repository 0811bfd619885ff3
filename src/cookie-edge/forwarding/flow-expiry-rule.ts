/**
 * Rule: when a remembered flow is forgotten.
 *
 * Removes flows that ended unseen, which would fill the cache and the counts of open flows, and keeps flows that their
 * callers may still use. Does no input or output.
 *
 * Inputs: the phase of the flow, the time since its caller's last packet, and the idle timeout; all in ms. The phase is
 * tested first: an open flow may pause for long, while nothing but stray packets follows in the other phases. Without a
 * route table the longest life of a flow is the idle timeout; it also bounds a longer one in the table. A flow that was
 * forgotten too early is still forwarded by its cookie.
 */
import { TRANSIENT_FLOW_TIMEOUT_MS } from './constants.js';
import type { FlowPhase } from './flow-cache.js';

/**
 * Time in ms without a packet after which an open flow may be forgotten; `configuredMs` is undefined without a route
 * table.
 */
export function idleTimeoutMs(configuredMs: number | undefined, maxFlowAgeMs: number): number {
  return Math.min(configuredMs ?? maxFlowAgeMs, maxFlowAgeMs);
}

/** True for a flow whose caller was silent long enough. */
export function isExpired(phase: FlowPhase, silentMs: number, idleMs: number): boolean {
  return silentMs >= (phase === 'open' ? idleMs : TRANSIENT_FLOW_TIMEOUT_MS);
}
