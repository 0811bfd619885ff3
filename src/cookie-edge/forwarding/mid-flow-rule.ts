/**
 * Rule: whether a packet other than a SYN is forwarded to its back end, answered with a reset, or dropped.
 *
 * Prevents three failures. A packet that is forwarded to a guessed back end could reach another service, so a packet
 * whose back end is unknown is dropped. A caller whose packets go to a dead back end would wait for its timeout, so the
 * flow is reset. If copies of a SYN were placed at two back ends, the SYN+ACK that the caller did not acknowledge may
 * arrive last and replace the caller's cookie, so an opening cookie does not move an open flow. Does no input or output
 * and creates no objects, because it runs for each packet.
 *
 * Inputs: the back end of the packet's cookie, whether that is an opening cookie, the back end, phase and
 * acknowledgement of the cached flow, and whether the chosen back end has a dead verdict. Order: a cookie of an
 * established flow comes first, because it is valid at every daemon. An opening cookie yields to a cached flow that the
 * packet continues. A cached flow with another acknowledgement is an earlier flow of the same addresses and is ignored.
 * The cached flow is also used while a caller has no cookie yet. The verdict is tested last. A cookie of an unknown
 * back end is ignored. A departed, draining, cordoned or ejected back end keeps its flows.
 */
import type { KnownBackend } from '../routing/index.js';
import { MAX_ACKNOWLEDGEMENT_ADVANCE_BYTES } from './constants.js';
import type { FlowPhase } from './flow-cache.js';

/** `forward`: send to the back end. `reset`: the back end is dead. `drop`: the back end is unknown. */
export type MidFlowOutcome = 'forward' | 'reset' | 'drop';

/** The part of a cached flow that shows whether a packet continues it. */
interface CachedHandshake {
  readonly phase: FlowPhase;
  readonly acknowledgement: number;
}

/**
 * Returns true if a packet with an opening cookie continues a cached flow whose handshake is complete. Each back end
 * numbers its bytes from a sequence number of its own, so the acknowledgement identifies the back end.
 */
export function continuesCachedFlow(acknowledgement: number, flow: CachedHandshake): boolean {
  const advanceBytes = (acknowledgement - flow.acknowledgement) | 0;
  return flow.phase !== 'opening' && Math.abs(advanceBytes) <= MAX_ACKNOWLEDGEMENT_ADVANCE_BYTES;
}

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
