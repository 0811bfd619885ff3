/**
 * Tracks whether the source responds, over all calls of this daemon together, and computes the delay of retries. It
 * never stops calls. Owns the outage state and the count of failed calls; `source-retry.ts` and `lapsed-records.ts`
 * decide. Relies on each follower to report its responses and failures.
 */
import type { Clock } from '../../common/clock.js';
import { jitter, type RandomSource } from '../../common/random.js';
import type { EventLog } from '../../observability/event.js';
import { RETRY_DELAY_JITTER } from './constants.js';
import type { RoutingSourceError } from './errors.js';
import { ROUTING_EVENTS } from './events.js';
import { recordsMayLapse } from './lapsed-records.js';
import { isOutage, retryDelayMs } from './source-retry.js';
import type { RoutingTopic } from './types.js';

/** The outage state of the source. Times are monotonic ms. */
export class SourceAvailability {
  private lastResponseMs: number;
  private failedCalls = 0;
  private lost = false;
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
   * Sets the function that returns the shortest delay after a failed call, in ms without jitter; called at each
   * failure.
   */
  setMinimumRetryDelay(minimumRetryDelayMs: () => number): void {
    this.minimumRetryDelayMs = minimumRetryDelayMs;
  }

  /** True while calls have failed for longer than `OUTAGE_AFTER_MS`. */
  get isLost(): boolean {
    return this.lost;
  }

  /** True during an outage and for a while after it: records may vanish because their owners cannot write. */
  recordsMayLapse(): boolean {
    return recordsMayLapse(this.lost, this.clock.now() - this.regainedAtMs);
  }

  /** Call when this daemon begins to read the source: silence counts from now. */
  beginReading(): void {
    this.lastResponseMs = this.clock.now();
    this.failedCalls = 0;
  }

  /** Call when this daemon stops reading the source: only readers can see whether an outage continues. */
  endReading(): void {
    if (this.lost) this.regainedAtMs = this.clock.now();
    this.lost = false;
  }

  /** Records a response, which ends an outage. */
  recordResponse(): void {
    const nowMs = this.clock.now();
    if (this.lost) {
      this.regainedAtMs = nowMs;
      const silentMs = Math.round(nowMs - this.lastResponseMs);
      this.events.emit(ROUTING_EVENTS.sourceRegained, { silentMs });
    }
    this.lost = false;
    this.failedCalls = 0;
    this.lastResponseMs = nowMs;
  }

  /**
   * Records and logs a failed call; returns the jittered delay before the next one, in ms. `failuresInARow`: as the
   * follower counts them, where calls succeed in between that bring it no further.
   */
  recordFailure(topic: RoutingTopic, error: RoutingSourceError, failuresInARow = 1): number {
    const silentMs = Math.round(this.clock.now() - this.lastResponseMs);
    this.failedCalls += 1;
    this.events.emit(ROUTING_EVENTS.sourceCallFailed, {
      topic,
      kind: error.kind,
      error: error.problem,
      silentMs,
    });
    if (!this.lost && isOutage(silentMs)) {
      this.lost = true;
      this.events.emit(ROUTING_EVENTS.sourceLost, { silentMs, kind: error.kind });
    }
    const failures = Math.max(this.failedCalls, failuresInARow);
    const delayMs = retryDelayMs(failures, this.minimumRetryDelayMs());
    return jitter(delayMs, RETRY_DELAY_JITTER, this.random);
  }
}
