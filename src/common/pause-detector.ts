/**
 * Rule: whether a datagram that is read now may have waited through a pause of the process.
 *
 * Prevents two failures: a queued SYN is placed although its retransmission has opened the flow through another
 * balancer, and a queued message between daemons counts as newer than it is. Does no input or output; owns the time
 * of the last tick and the reads of the current turn of the event loop.
 *
 * Inputs: monotonic ms of the ticks, and the reads of each socket. Order: each tick is followed by a read of both
 * sockets, so the time since the last tick bounds how long a datagram that is read now can have waited. If that bound
 * is too long, also before the late tick has run, the process was paused; from then on any datagram may have waited
 * until one turn has read both sockets empty. That end does not depend on time, because a backlog may take any time to
 * read.
 */

/** Time between two calls of `recordTick`, in ms. */
export const PAUSE_TICK_MS = 50;

/**
 * Longest time that a datagram may have waited in its socket, in ms. A SYN that waited less is placed, and its SYN+ACK
 * has 50 ms to reach the caller before the caller retransmits the SYN after 200 ms.
 */
const MAX_WAIT_MS = 150;

/**
 * Datagrams that Node.js reads from one socket in one turn of its event loop, at most; a turn that reads fewer has
 * read the socket empty. Source: a bound of the platform, `uv__udp_recvmsg` of libuv, which stops after 32 or at
 * the first read without a datagram.
 */
export const READS_A_TURN = 32;

/** Sockets in which datagrams wait through a pause. */
type PausedSocket = 'edge' | 'peers';

/** Calls back at the end of the turn of the event loop, after its reads. */
type AfterReads = (callback: () => void) => void;

/** Detects pauses and their end. Times are monotonic ms. */
export class PauseDetector {
  private lastTickMs: number;
  /** True from the end of a pause until everything that waited through it has been read. */
  private isCatchingUp = false;
  /** Datagrams read in this turn while catching up, by socket. */
  private readonly reads: Record<PausedSocket, number> = { edge: 0, peers: 0 };

  constructor(
    nowMs: number,
    private readonly afterReads: AfterReads = setImmediate,
  ) {
    this.lastTickMs = nowMs;
  }

  /** Records a tick; returns the length of the pause before it, or 0. */
  recordTick(nowMs: number): number {
    const pausedMs = this.pausedFor(nowMs);
    this.lastTickMs = nowMs;
    if (pausedMs > 0 && !this.isCatchingUp) this.catchUp();
    return pausedMs;
  }

  /** Records that a datagram was read. */
  recordRead(socket: PausedSocket): void {
    if (this.isCatchingUp) this.reads[socket] += 1;
  }

  /** True when a datagram that is read now may have waited through a pause. */
  mayHaveWaited(nowMs: number): boolean {
    return this.isCatchingUp || this.pausedFor(nowMs) > 0;
  }

  /** Continues from turn to turn until one has read both sockets empty. */
  private catchUp(): void {
    this.isCatchingUp = true;
    this.reads.edge = 0;
    this.reads.peers = 0;
    this.afterReads(() => {
      const isEmpty = Math.max(this.reads.edge, this.reads.peers) < READS_A_TURN;
      this.isCatchingUp = false;
      if (!isEmpty) this.catchUp();
    });
  }

  private pausedFor(nowMs: number): number {
    const sinceTickMs = nowMs - this.lastTickMs;
    return sinceTickMs >= MAX_WAIT_MS ? sinceTickMs - PAUSE_TICK_MS : 0;
  }
}
