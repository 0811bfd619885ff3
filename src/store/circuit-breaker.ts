/**
 * Circuit breaker: after some consecutive failures nothing is sent for a while, then one trial is let through.
 * So a store that is down sees one request per member now and then, not a storm when it comes back.
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
    if (this.failures < CIRCUIT_FAILURE_THRESHOLD) return true;
    if (this.trialUnderWay || this.clock.now() < this.openUntilMs) return false;
    this.trialUnderWay = true;
    return true;
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
    const doublings = this.failures - CIRCUIT_FAILURE_THRESHOLD;
    const openMs = Math.min(CIRCUIT_OPEN_MAX_MS, CIRCUIT_OPEN_BASE_MS * 2 ** doublings);
    this.openUntilMs = this.clock.now() + jitter(openMs, BACKOFF_SPREAD, this.random);
    if (doublings === 0) this.onChange('open');
  }

  /** The caller gave up by itself: neither success nor failure of the platform. */
  abandoned(): void {
    this.trialUnderWay = false;
  }
}
