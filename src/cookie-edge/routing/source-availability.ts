/**
 * Tracks whether the source responds, across all calls of this daemon, and computes the retry delay. It never blocks
 * calls. Owns the outage state and the count of failed calls; `source-retry.ts` and `lapsed-records.ts` contain the
 * rules. Relies on each follower to report its responses and failures.
 */
import type { Clock } from '../../common/clock.js';
import { jitter, type RandomSource } from '../../common/random.js';
import type { EventLog } from '../../observability/event.js';
import { RETRY_DELAY_JITTER } from './constants.js';
import type { RoutingSourceError } from './errors.js';
import { ROUTING_EVENTS } from './events.js';
import { recordsMayLapse } from './lapsed-records.js';
import { RetryWait } from './retry-wait.js';
import { isOutage, retryDelayMs } from './source-retry.js';
import type { RoutingTopic } from './types.js';

/** Tracks outages of the source. Times are monotonic ms. */
export class SourceAvailability {
  private lastResponseMs: number;
  private failedCalls = 0;
  private isSourceLost = false;
  private regainedAtMs = Number.NEGATIVE_INFINITY;
  private minimumRetryDelayMs: () => number = () => 0;

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly events: EventLog,
  ) {
    this.lastResponseMs = clock.now();
  }

  /**
   * Sets the function that returns the minimum retry delay in ms, before jitter. It is called at each failure, and
   * again during the wait that follows.
   */
  setMinimumRetryDelay(minimumRetryDelayMs: () => number): void {
    this.minimumRetryDelayMs = minimumRetryDelayMs;
  }

  /** True once calls have failed for `OUTAGE_AFTER_MS`, until the next response or `endReading`. */
  get isLost(): boolean {
    return this.isSourceLost;
  }

  /** Returns true during and shortly after an outage, when records may expire because back ends cannot renew them. */
  recordsMayLapse(): boolean {
    return recordsMayLapse(this.isSourceLost, this.clock.now() - this.regainedAtMs);
  }

  /** Call when this daemon starts to read the source; the time without a response counts from now. */
  beginReading(): void {
    this.lastResponseMs = this.clock.now();
    this.failedCalls = 0;
  }

  /**
   * Call when this daemon stops reading the source. It ends an outage, since only readers can see whether it
   * continues.
   */
  endReading(): void {
    if (this.isSourceLost) this.regainedAtMs = this.clock.now();
    this.isSourceLost = false;
  }

  /** Records a response; it ends an outage. */
  recordResponse(): void {
    const nowMs = this.clock.now();
    if (this.isSourceLost) {
      this.regainedAtMs = nowMs;
      const silentMs = Math.round(nowMs - this.lastResponseMs);
      this.events.emit(ROUTING_EVENTS.sourceRegained, { silentMs });
    }
    this.isSourceLost = false;
    this.failedCalls = 0;
    this.lastResponseMs = nowMs;
  }

  /**
   * Records and logs a failed call; returns the jittered wait before the next one. A follower passes its own
   * `consecutiveFailures` when calls in between succeed without making progress.
   */
  recordFailure(topic: RoutingTopic, error: RoutingSourceError, consecutiveFailures = 1): RetryWait {
    const silentMs = Math.round(this.clock.now() - this.lastResponseMs);
    this.failedCalls += 1;
    this.events.emit(ROUTING_EVENTS.sourceCallFailed, {
      topic,
      kind: error.kind,
      error: error.problem,
      silentMs,
    });
    if (!this.isSourceLost && isOutage(silentMs)) {
      this.isSourceLost = true;
      this.events.emit(ROUTING_EVENTS.sourceLost, { silentMs, kind: error.kind });
    }
    const failures = Math.max(this.failedCalls, consecutiveFailures);
    const jitterFactor = jitter(1, RETRY_DELAY_JITTER, this.random);
    return new RetryWait(() => jitterFactor * retryDelayMs(failures, this.minimumRetryDelayMs()));
  }
}
