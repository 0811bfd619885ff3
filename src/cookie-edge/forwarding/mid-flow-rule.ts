/**
 * Rule: whether a packet other than a SYN is forwarded to its back end, answered with a reset, or dropped.
 *
 * Prevents two failures. A packet that is forwarded to a guessed back end could reach another service, so a packet
 * whose back end is unknown is dropped. A caller whose packets go to a dead back end would wait for its timeout, so the
 * flow is reset. Does no input or output and creates no objects, because it runs for each packet.
 *
 * Inputs: the back end of the packet's cookie, the back end of the cached flow, and whether the chosen one has a dead
 * verdict. Order: the cookie comes first, because the caller received it with its last packet and it is valid at every
 * daemon. The cached flow is used while a caller has no cookie yet. The verdict is tested last. A cookie of an unknown
 * back end is ignored. A departed, draining, cordoned or ejected back end keeps its flows.
 */
import type { KnownBackend } from '../routing/index.js';

/** `forward`: send to the back end. `reset`: the back end is dead. `drop`: the back end is unknown. */
export type MidFlowOutcome = 'forward' | 'reset' | 'drop';

/** Returns the back end of a packet, or undefined if neither its cookie nor a cached flow identifies one. */
export function backendOfPacket(
  cookieBackend: KnownBackend | undefined,
  cachedFlowBackend: KnownBackend | undefined,
): KnownBackend | undefined {
  return cookieBackend ?? cachedFlowBackend;
}

/** Returns the outcome for a packet of `backend`. `isDead` is true while a dead verdict is in force. */
export function decideMidFlow(backend: KnownBackend | undefined, isDead: boolean): MidFlowOutcome {
  if (!backend) return 'drop';
  return isDead ? 'reset' : 'forward';
}
