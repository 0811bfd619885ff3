/**
 * Decides whether an authenticated datagram is fresh: a sliding window over the sequence numbers of each sender and
 * incarnation.
 *
 * What the rule prevents: that a recorded datagram takes effect a second time, from this process of the sender,
 * from an earlier one, or after this member has forgotten the sender.
 *
 * Owns a window of `REPLAY_WINDOW` bits for each sender heard within `REPLAY_FORGET_MS`, and so is bounded by their
 * number. Relies on the sender's wall clock once, when it is new or has restarted; a known sender may have any
 * clock. A sender that nothing is known of has to show a clock within `MAX_CLOCK_SKEW_MS`, and it is forgotten only
 * after more than twice that, so that none of its recorded datagrams passes then.
 */
import type { Clock } from '../../common/clock.js';
import { MAX_CLOCK_SKEW_MS, REPLAY_FORGET_MS, REPLAY_WINDOW } from './constants.js';

/**
 * Verdict on a datagram. `replayed`: its sequence number was seen, or is too old to tell. `stale`: it is from an
 * earlier incarnation, or from a new one whose clock is far off.
 */
type ReplayVerdict = 'fresh' | 'replayed' | 'stale';

interface SenderWindow {
  incarnation: number;
  highest: number;
  /** One bit for each sequence number in (highest - REPLAY_WINDOW, highest], at sequence modulo the window. */
  readonly seen: Uint32Array;
  heardAtMs: number;
}

/** What decides whether a new incarnation of a sender is believed. */
interface IncarnationFacts {
  readonly incarnation: number;
  /** Incarnation that is known; undefined for a sender not known. */
  readonly knownIncarnation: number | undefined;
  /** Time since the known incarnation was heard, in ms. */
  readonly knownSilentMs: number;
  /** Sender's wall clock less this process's, in ms. */
  readonly clockSkewMs: number;
}

/** `earlier-incarnation` and `clock-skew` make a datagram stale. */
export type IncarnationVerdict = 'known' | 'new' | 'earlier-incarnation' | 'clock-skew';

/**
 * Decides whether the incarnation of a datagram is one to take sequence numbers from. An earlier incarnation is
 * over, unless the later one has been silent for more than twice the skew: no recording shows a clock that is fresh
 * enough then. Anything but the known incarnation must show a clock within `MAX_CLOCK_SKEW_MS`, exactly that
 * included.
 */
export function judgeIncarnation(facts: IncarnationFacts): IncarnationVerdict {
  const { incarnation, knownIncarnation, knownSilentMs, clockSkewMs } = facts;
  if (incarnation === knownIncarnation) return 'known';
  const isEarlier = knownIncarnation !== undefined && incarnation < knownIncarnation;
  if (isEarlier && knownSilentMs <= 2 * MAX_CLOCK_SKEW_MS) return 'earlier-incarnation';
  return Math.abs(clockSkewMs) > MAX_CLOCK_SKEW_MS ? 'clock-skew' : 'new';
}

/** Judges each authenticated datagram once. */
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
    const verdict = judgeIncarnation({
      incarnation,
      knownIncarnation: window?.incarnation,
      knownSilentMs: window ? this.clock.now() - window.heardAtMs : Infinity,
      clockSkewMs: wallSeconds * 1_000 - this.clock.wall(),
    });
    if (window && verdict === 'known') return this.judgeKnown(window, sequence);
    if (verdict !== 'new') return 'stale';
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
      if (this.clock.now() - window.heardAtMs > REPLAY_FORGET_MS) this.senders.delete(senderId);
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
