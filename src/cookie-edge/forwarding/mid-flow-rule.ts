/**
 * Rule: where a packet that is no SYN goes.
 *
 * Prevents two failures. A packet that is forwarded to a guess could reach a back end of another service, so a packet
 * whose back end is unknown is dropped. A packet to a dead back end would leave its caller waiting for its timeout, so
 * its flow is reset. Does no input or output and creates no objects, because it runs for each packet.
 *
 * Inputs: the back end that the packet's cookie names, the back end of the remembered flow, and whether the chosen one
 * has a dead verdict. Order: the cookie comes first, because it is what the caller got with its last packet and is
 * valid at every balancer; the memory serves a caller that has not received a cookie yet. Only then is the verdict
 * tested. Missing knowledge: a cookie of an unknown back end counts as none. A departed, draining, cordoned or ejected
 * back end keeps its flows.
 */
import type { KnownBackend } from '../routing/index.js';

/** `forward`: to the back end. `reset`: its back end is dead. `drop`: its back end is unknown. */
export type MidFlowOutcome = 'forward' | 'reset' | 'drop';

/** The back end that a packet belongs to; undefined when neither its cookie nor a remembered flow names one. */
export function backendOfPacket(
  namedByCookie: KnownBackend | undefined,
  remembered: KnownBackend | undefined,
): KnownBackend | undefined {
  return namedByCookie ?? remembered;
}

/** The outcome for a packet of `backend`; `isDead` is true while a dead verdict on it is in force. */
export function decideMidFlow(backend: KnownBackend | undefined, isDead: boolean): MidFlowOutcome {
  if (!backend) return 'drop';
  return isDead ? 'reset' : 'forward';
}
