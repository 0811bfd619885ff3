/** Replay protection: a sliding window over the sequence numbers of each sender and incarnation. */
import type { Clock } from '../../common/clock.js';
import { MAX_CLOCK_SKEW_MS, REPLAY_FORGET_MS, REPLAY_WINDOW } from './constants.js';

/** Verdict on a datagram: `stale` is from an earlier incarnation, or from a new sender whose clock is far off. */
type ReplayVerdict = 'fresh' | 'replayed' | 'stale';

interface SenderWindow {
  incarnation: number;
  highest: number;
  /** One bit for each sequence number in (highest - REPLAY_WINDOW, highest], at sequence modulo the window. */
  readonly seen: Uint32Array;
  heardAtMs: number;
}

/** Judges each authenticated datagram once; bounded by the number of senders heard lately. */
export class ReplayGuard {
  private readonly senders = new Map<string, SenderWindow>();

  constructor(private readonly clock: Clock) {}

  /** Number of senders remembered. */
  get size(): number {
    return this.senders.size;
  }

  /** Judges a datagram and, when it is fresh, remembers it. `wallSeconds` is the sender's clock. */
  judge(senderId: string, incarnation: number, sequence: number, wallSeconds: number): ReplayVerdict {
    const window = this.senders.get(senderId);
    if (window && window.incarnation === incarnation) return this.judgeKnown(window, sequence);
    if (window && incarnation < window.incarnation && !this.isForgettable(window, 2 * MAX_CLOCK_SKEW_MS)) {
      return 'stale';
    }
    if (Math.abs(wallSeconds * 1_000 - this.clock.wall()) > MAX_CLOCK_SKEW_MS) return 'stale';
    const fresh = {
      incarnation,
      highest: sequence,
      seen: new Uint32Array(REPLAY_WINDOW / 32),
      heardAtMs: this.clock.now(),
    };
    mark(fresh.seen, sequence);
    this.senders.set(senderId, fresh);
    return 'fresh';
  }

  /** Forgets senders not heard for REPLAY_FORGET_MS. */
  prune(): void {
    for (const [senderId, window] of this.senders) {
      if (this.isForgettable(window, REPLAY_FORGET_MS)) this.senders.delete(senderId);
    }
  }

  private judgeKnown(window: SenderWindow, sequence: number): ReplayVerdict {
    if (sequence <= window.highest - REPLAY_WINDOW) return 'replayed';
    if (sequence > window.highest) slide(window, sequence);
    else if (isMarked(window.seen, sequence)) return 'replayed';
    mark(window.seen, sequence);
    window.heardAtMs = this.clock.now();
    return 'fresh';
  }

  private isForgettable(window: SenderWindow, silentMs: number): boolean {
    return this.clock.now() - window.heardAtMs > silentMs;
  }
}

function slide(window: SenderWindow, sequence: number): void {
  if (sequence - window.highest >= REPLAY_WINDOW) window.seen.fill(0);
  else for (let passed = window.highest + 1; passed < sequence; passed += 1) unmark(window.seen, passed);
  window.highest = sequence;
}

function mark(seen: Uint32Array, sequence: number): void {
  const bit = sequence % REPLAY_WINDOW;
  seen[bit >>> 5] = (seen[bit >>> 5] ?? 0) | (1 << (bit & 31));
}

function unmark(seen: Uint32Array, sequence: number): void {
  const bit = sequence % REPLAY_WINDOW;
  seen[bit >>> 5] = (seen[bit >>> 5] ?? 0) & ~(1 << (bit & 31));
}

function isMarked(seen: Uint32Array, sequence: number): boolean {
  const bit = sequence % REPLAY_WINDOW;
  return ((seen[bit >>> 5] ?? 0) & (1 << (bit & 31))) !== 0;
}
