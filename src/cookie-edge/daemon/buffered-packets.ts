/**
 * Rule: hold, deliver or drop a packet that arrives before the daemon knows routes and back ends. Does no input or
 * output; `StartupBuffer` carries the outcomes out.
 *
 * Prevents two failures. A packet dropped during start-up reaches the daemon again only with its caller's next
 * retransmission, which may come after the caller's deadline. A SYN delivered too late opens one flow at two back ends:
 * its caller has sent a retransmission meanwhile, which another balancer may have placed elsewhere. Both matter most
 * after the loss of all daemons, when nearly every caller has a SYN under way and most of these are retransmissions: on
 * a day of 146 small machines 395 of the 889 packets buffered after such a loss were dropped as too old before the rule
 * counted retransmissions, although their callers had nothing newer under way.
 *
 * On arrival the switch and the edge come first (nothing can be buffered without them), then the bound on memory. At
 * the opening a packet without SYN is always delivered: the cookie of its flow names the back end. A SYN is delivered
 * while its caller cannot have sent the next retransmission. The age of a SYN is not known exactly: it may have waited
 * in the socket before it was read. Two upper bounds exist, and either suffices: nothing in a socket is older than the
 * binding, and a socket that has been read for a while holds a packet for a moment only. An unknown retransmission
 * count gets the shortest time, that of a first SYN.
 */
import { untilNextTransmissionMs } from '../forwarding/syn-schedule.js';
import { MAX_BUFFERED_PACKETS, MAX_BUFFERED_SYN_AFTER_READ_MS, MAX_BUFFERED_SYN_MS } from './constants.js';

/** What becomes of a packet that arrives before the buffer opens. */
type ArrivalOutcome = 'hold' | 'drop-holding-off' | 'drop-buffer-full';

/** What becomes of a buffered packet at the opening of the buffer. */
type FlushOutcome = 'deliver' | 'drop-too-old';

/** State of the buffer when a packet arrives. */
interface BufferState {
  /** The mechanism `held-packets` is on. */
  readonly isBufferingOn: boolean;
  /** The edge is attached, so that packets can be kept. */
  readonly isAttached: boolean;
  /** Packets buffered now. */
  readonly bufferedCount: number;
}

/** What is known of a SYN at the opening; times in ms. */
interface BufferedSyn {
  /** How many times its caller had sent the SYN before. */
  readonly retransmissions: number;
  /** Time since the socket was bound: nothing in it is older. */
  readonly boundForMs: number;
  /** Time since the SYN was read from the socket, where it may have waited for a moment. */
  readonly readAgoMs: number;
}

/** A packet at the opening; `retransmissions` is undefined for one that is no SYN. */
interface BufferedPacketAge extends Omit<BufferedSyn, 'retransmissions'> {
  readonly retransmissions: number | undefined;
}

/** Decides on a packet that arrives before the opening. */
export function decideOnArrival({ isBufferingOn, isAttached, bufferedCount }: BufferState): ArrivalOutcome {
  if (!isAttached || !isBufferingOn) return 'drop-holding-off';
  return bufferedCount >= MAX_BUFFERED_PACKETS ? 'drop-buffer-full' : 'hold';
}

/** Decides on a buffered packet at the opening of the buffer. */
export function decideOnFlush({ retransmissions, boundForMs, readAgoMs }: BufferedPacketAge): FlushOutcome {
  if (retransmissions === undefined) return 'deliver';
  return mayDeliverBufferedSyn({ retransmissions, boundForMs, readAgoMs }) ? 'deliver' : 'drop-too-old';
}

/** True while the caller of a buffered SYN cannot have sent a further one. */
export function mayDeliverBufferedSyn({ retransmissions, boundForMs, readAgoMs }: BufferedSyn): boolean {
  const extraTimeMs = untilNextTransmissionMs(retransmissions) - untilNextTransmissionMs(0);
  return (
    boundForMs <= MAX_BUFFERED_SYN_MS + extraTimeMs ||
    readAgoMs <= MAX_BUFFERED_SYN_AFTER_READ_MS + extraTimeMs
  );
}

/** Longest time in ms that a buffered packet can have waited, in the buffer and in the socket before it was read. */
export function longestWaitMs(readAgoMs: number, boundForMs: number): number {
  return Math.min(boundForMs, readAgoMs + MAX_BUFFERED_SYN_AFTER_READ_MS);
}
