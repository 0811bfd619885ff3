/**
 * Decides whether to hold, deliver or drop a packet that arrives before the daemon has routes and back ends. Does no
 * input or output; `StartupBuffer` acts on the decisions.
 *
 * Prevents two failures. A packet dropped during start-up arrives again only with the caller's next retransmission,
 * which may come after the caller's deadline. A SYN delivered too late can open one flow at two back ends: the caller
 * may already have sent a retransmission, which another daemon may have placed elsewhere. Both matter most after the
 * loss of all daemons, when nearly every caller has a pending SYN and most of these SYNs are retransmissions. While the
 * rule ignored the retransmission count, a fleet of 146 small machines dropped 395 of the 889 packets that it buffered
 * after such a loss as too old, although their callers had not sent a newer SYN.
 *
 * On arrival, the mechanism switch and the edge are checked first, because without them no packet can be buffered, and
 * then the memory bound.
 *
 * When the buffer is flushed, a packet that is not a SYN is always delivered, because the cookie of its flow identifies
 * the back end. A SYN is delivered only if its caller cannot have sent the next retransmission yet. The exact age of a
 * SYN is unknown, because it may have waited in the socket before it was read. Either of two upper bounds suffices: no
 * packet in a socket is older than the binding, and a socket that is read continuously holds a packet only briefly. A
 * SYN with an unknown retransmission count gets the shortest limit, that of a first SYN.
 */
import { untilNextTransmissionMs } from '../forwarding/syn-schedule.js';
import { MAX_BUFFERED_PACKETS, MAX_BUFFERED_SYN_AFTER_READ_MS, MAX_BUFFERED_SYN_MS } from './constants.js';

/**
 * Decision about a packet that arrives before the buffer is flushed. `drop-holding-off`: packets are not buffered,
 * because no edge is attached or the mechanism is switched off.
 */
type ArrivalOutcome = 'hold' | 'drop-holding-off' | 'drop-buffer-full';

/** Decision about a buffered packet when the buffer is flushed. */
type FlushOutcome = 'deliver' | 'drop-too-old';

/** State of the buffer when a packet arrives. */
interface BufferState {
  /** The mechanism `held-packets` is switched on. */
  readonly isBufferingOn: boolean;
  /** The edge is attached; without it a packet cannot be kept. */
  readonly isAttached: boolean;
  /** Number of packets in the buffer. */
  readonly bufferedCount: number;
}

/** A buffered SYN when the buffer is flushed; times in ms. */
interface BufferedSyn {
  /** Number of times that the caller had sent the SYN before. */
  readonly retransmissions: number;
  /** Time since the socket was bound: no packet in it is older. */
  readonly boundForMs: number;
  /** Time since the SYN was read from the socket, where it may have waited before. */
  readonly readAgoMs: number;
}

/** A buffered packet when the buffer is flushed; `retransmissions` is undefined if the packet is not a SYN. */
interface BufferedPacketAge extends Omit<BufferedSyn, 'retransmissions'> {
  readonly retransmissions: number | undefined;
}

/** Decides whether to buffer a packet that arrives before the buffer is flushed. */
export function decideOnArrival({ isBufferingOn, isAttached, bufferedCount }: BufferState): ArrivalOutcome {
  if (!isAttached || !isBufferingOn) return 'drop-holding-off';
  return bufferedCount >= MAX_BUFFERED_PACKETS ? 'drop-buffer-full' : 'hold';
}

/** Decides whether to deliver a buffered packet when the buffer is flushed. */
export function decideOnFlush({ retransmissions, boundForMs, readAgoMs }: BufferedPacketAge): FlushOutcome {
  if (retransmissions === undefined) return 'deliver';
  return mayDeliverBufferedSyn({ retransmissions, boundForMs, readAgoMs }) ? 'deliver' : 'drop-too-old';
}

/** Returns true if the caller of a buffered SYN cannot have sent the next retransmission yet. */
export function mayDeliverBufferedSyn({ retransmissions, boundForMs, readAgoMs }: BufferedSyn): boolean {
  const extraTimeMs = untilNextTransmissionMs(retransmissions) - untilNextTransmissionMs(0);
  return (
    boundForMs <= MAX_BUFFERED_SYN_MS + extraTimeMs ||
    readAgoMs <= MAX_BUFFERED_SYN_AFTER_READ_MS + extraTimeMs
  );
}

/** Upper bound in ms on the time that a buffered packet has waited in the socket and in the buffer. */
export function longestWaitMs(readAgoMs: number, boundForMs: number): number {
  return Math.min(boundForMs, readAgoMs + MAX_BUFFERED_SYN_AFTER_READ_MS);
}
