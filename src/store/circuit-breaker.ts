/**
 * Circuit breaker: decides whether a request may be sent to a platform that may be down.
 *
 * What the rule prevents: a storm of requests on a store that comes back. After `CIRCUIT_FAILURE_THRESHOLD`
 * failures in a row nothing is sent for a while, then one trial is let through. Its success closes the circuit; its
 * failure doubles the time, up to `CIRCUIT_OPEN_MAX_MS`, so that each member sends one request now and then.
 *
 * Owns the count of failures in a row and the time until the next trial. Relies on a monotonic clock and on its
 * callers, which report each request that it let through.
 */
import type { Clock } from '../common/clock.js';
import { jitter, type RandomSource } from '../common/random.js';
import {
  BACKOFF_SPREAD,
  CIRCUIT_FAILURE_THRESHOLD,
  CIRCUIT_OPEN_BASE_MS,
  CIRCUIT_OPEN_MAX_MS,
} from './constants.js';

/** closed: calls pass. open: calls fail at once. half-open: one trial is under way. */
export type CircuitState = 'closed' | 'open' | 'half-open';

/** What decides whether a request may pass; times in monotonic ms. */
interface CircuitFacts {
  /** Failures in a row. */
  readonly failures: number;
  readonly trialUnderWay: boolean;
  readonly nowMs: number;
  readonly openUntilMs: number;
}

/**
 * `pass`: the circuit is closed. `trial`: this request tests the platform. `refused`: too early, or another trial
 * is under way.
 */
export type PassVerdict = 'pass' | 'trial' | 'refused';

/** Decides whether a request may be sent. A trial may start at the very end of the open time. */
export function judgePass({ failures, trialUnderWay, nowMs, openUntilMs }: CircuitFacts): PassVerdict {
  if (failures < CIRCUIT_FAILURE_THRESHOLD) return 'pass';
  return trialUnderWay || nowMs < openUntilMs ? 'refused' : 'trial';
}

/** How long the circuit is open after so many failures in a row, in ms and before jitter; 0 while it stays closed. */
export function openDurationMs(failures: number): number {
  if (failures < CIRCUIT_FAILURE_THRESHOLD) return 0;
  return Math.min(CIRCUIT_OPEN_MAX_MS, CIRCUIT_OPEN_BASE_MS * 2 ** (failures - CIRCUIT_FAILURE_THRESHOLD));
}

/** The circuit of one platform client. */
export class CircuitBreaker {
  private failures = 0;
  private openUntilMs = 0;
  private trialUnderWay = false;

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly onChange: (state: 'open' | 'closed') => void,
  ) {}

  state(): CircuitState {
    if (this.failures < CIRCUIT_FAILURE_THRESHOLD) return 'closed';
    return this.trialUnderWay ? 'half-open' : 'open';
  }

  /** True when a request may be sent now; each true must be followed by `succeeded` or `failed`. */
  tryPass(): boolean {
    const { failures, trialUnderWay, openUntilMs } = this;
    const verdict = judgePass({ failures, trialUnderWay, nowMs: this.clock.now(), openUntilMs });
    if (verdict === 'trial') this.trialUnderWay = true;
    return verdict !== 'refused';
  }

  /** Milliseconds until a trial may be made; 0 when a request may pass now. */
  remainingMs(): number {
    if (this.failures < CIRCUIT_FAILURE_THRESHOLD) return 0;
    return Math.max(0, this.openUntilMs - this.clock.now());
  }

  /** The platform answered, whatever it said. */
  succeeded(): void {
    const wasOpen = this.failures >= CIRCUIT_FAILURE_THRESHOLD;
    this.failures = 0;
    this.trialUnderWay = false;
    if (wasOpen) this.onChange('closed');
  }

  /** The platform could not be reached or did not answer in time. */
  failed(): void {
    this.failures += 1;
    this.trialUnderWay = false;
    if (this.failures < CIRCUIT_FAILURE_THRESHOLD) return;
    const openMs = jitter(openDurationMs(this.failures), BACKOFF_SPREAD, this.random);
    this.openUntilMs = this.clock.now() + openMs;
    if (this.failures === CIRCUIT_FAILURE_THRESHOLD) this.onChange('open');
  }

  /** The caller gave up by itself: neither success nor failure of the platform. */
  abandoned(): void {
    this.trialUnderWay = false;
  }
}
