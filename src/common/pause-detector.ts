/**
 * Detects that the process was paused. What was queued in a socket meanwhile is old: a later retransmission of a SYN may have
 * opened its flow through another daemon, and a message between daemons seems newer than it is.
 *
 * Owns the time of the last tick and whether datagrams from before it are still being read. Relies on its caller for ticks and reads.
 */

/** A tick this late, in ms, means that the process was paused. Not measured; chosen longer than the 100 ms between two ticks. */
const PAUSE_MS = 150;

/**
 * Datagrams that node reads from one socket in one turn of its event loop, at most; a turn that reads fewer has read the
 * socket empty. Source: `uv__udp_recvmsg` of libuv, which stops after 32 or at the first read without a datagram.
 */
export const READS_A_TURN = 32;

/** Sockets whose datagrams wait through a pause. */
type PausedSocket = 'edge' | 'peers';

/** Calls back at the end of the turn of the event loop, after what could be read was read. */
type AfterReads = (callback: () => void) => void;

/** One for each process with a data path. Times are monotonic ms. */
export class PauseDetector {
  private lastTickMs: number;
  /** True from the end of a pause until all that waited through it has been read. */
  private isCatchingUp = false;
  /** Datagrams read in this turn, by socket. */
  private readonly reads: Record<PausedSocket, number> = { edge: 0, peers: 0 };

  /** @param tickMs time between two calls of `noteTick` */
  constructor(
    nowMs: number,
    private readonly tickMs: number,
    private readonly afterReads: AfterReads = setImmediate,
  ) {
    this.lastTickMs = nowMs;
  }

  /** Notes a tick of the housekeeping timer; returns the length of the pause before it, or 0. */
  noteTick(nowMs: number): number {
    const pausedMs = this.pausedFor(nowMs);
    this.lastTickMs = nowMs;
    if (pausedMs > 0 && !this.isCatchingUp) this.catchUp();
    return pausedMs;
  }

  /** Notes that a datagram was read. */
  noteRead(socket: PausedSocket): void {
    if (this.isCatchingUp) this.reads[socket] += 1;
  }

  /** True when a datagram that is read now may have waited through a pause. */
  mayBeOld(nowMs: number): boolean {
    return this.isCatchingUp || this.pausedFor(nowMs) > 0;
  }

  /** Goes on from turn to turn until one has read both sockets empty. */
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
    const lateMs = nowMs - this.lastTickMs - this.tickMs;
    return lateMs >= PAUSE_MS ? lateMs : 0;
  }
}
