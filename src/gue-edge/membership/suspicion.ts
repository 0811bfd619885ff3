/**
 * Running suspicions: each ends by a refutation or, after a time that confirmations shorten, by removal.
 *
 * Owns the accusers and the timer of each suspicion. Relies on `suspicion-timeout.ts` for the time, and on timers
 * that stand still while the process is paused.
 */
import type { TimerHandle } from '../../common/clock.js';
import { SUSPICION_CONFIRMATIONS, type MembershipTiming } from './constants.js';
import type { GuardedTimers } from './guarded-timers.js';
import { suspicionTimeoutMs } from './suspicion-timeout.js';

interface Suspicion {
  startedMs: number;
  readonly accusers: Set<number>;
  fullyConfirmed: boolean;
  timer: TimerHandle;
}

const NO_TIMER: TimerHandle = { cancel: () => undefined };

/** Suspicions by the id hash of the suspected member. */
export class Suspicions {
  private readonly running = new Map<number, Suspicion>();

  constructor(
    private readonly timers: GuardedTimers,
    private readonly timing: MembershipTiming,
    private readonly memberCount: () => number,
    private readonly onExpired: (idHash: number) => void,
  ) {}

  /** Starts or confirms a suspicion; true when `accuserHash` is a new accuser worth passing on. */
  accuse(idHash: number, accuserHash: number): boolean {
    const suspicion = this.running.get(idHash);
    if (!suspicion) {
      this.running.set(idHash, this.start(idHash, accuserHash));
      return true;
    }
    if (suspicion.accusers.has(accuserHash) || suspicion.accusers.size > SUSPICION_CONFIRMATIONS)
      return false;
    suspicion.accusers.add(accuserHash);
    suspicion.timer.cancel();
    suspicion.timer = this.arm(idHash, suspicion);
    return true;
  }

  /** A member that watched the suspicion to its end says so: only the shortest time is left to refute it. */
  confirmFully(idHash: number): void {
    const suspicion = this.running.get(idHash);
    if (!suspicion || suspicion.fullyConfirmed) return;
    suspicion.fullyConfirmed = true;
    suspicion.timer.cancel();
    suspicion.timer = this.arm(idHash, suspicion);
  }

  /** Ends a suspicion without removal. */
  clear(idHash: number): void {
    this.running.get(idHash)?.timer.cancel();
    this.running.delete(idHash);
  }

  /** Monotonic ms at which the suspicion started here; undefined when there is none. */
  startedMs(idHash: number): number | undefined {
    return this.running.get(idHash)?.startedMs;
  }

  /** Starts all suspicions anew with their first accuser only, after this process was paused. */
  restart(): void {
    for (const [idHash, suspicion] of this.running) {
      const first = [...suspicion.accusers][0] ?? 0;
      suspicion.timer.cancel();
      this.running.set(idHash, this.start(idHash, first));
    }
  }

  /** Ends all suspicions without removal. */
  stop(): void {
    for (const idHash of [...this.running.keys()]) this.clear(idHash);
  }

  private start(idHash: number, accuserHash: number): Suspicion {
    const startedMs = this.timers.now();
    const suspicion: Suspicion = {
      startedMs,
      accusers: new Set([accuserHash]),
      fullyConfirmed: false,
      timer: NO_TIMER,
    };
    suspicion.timer = this.arm(idHash, suspicion);
    return suspicion;
  }

  private arm(idHash: number, suspicion: Suspicion): TimerHandle {
    const accusers = suspicion.fullyConfirmed ? Infinity : suspicion.accusers.size;
    const timeoutMs = suspicionTimeoutMs(accusers, this.memberCount(), this.timing);
    const remainingMs = Math.max(0, suspicion.startedMs + timeoutMs - this.timers.now());
    return this.timers.schedule(remainingMs, () => {
      this.running.delete(idHash);
      this.onExpired(idHash);
    });
  }
}
