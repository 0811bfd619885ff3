/** Whether the source answers, as all calls of this balancer see it together. */
import type { Clock } from '../../common/clock.js';
import { jitter, type RandomSource } from '../../common/random.js';
import type { EventLog } from '../../observability/event.js';
import {
  LAPSE_AFTER_OUTAGE_MS,
  OUTAGE_AFTER_MS,
  RETRY_JITTER,
  RETRY_MAX_MS,
  RETRY_MIN_MS,
} from './constants.js';
import type { RoutingSourceError } from './errors.js';
import { ROUTING_EVENTS } from './events.js';
import type { RoutingTopic } from './types.js';

/** See the module. */
export class SourceCircuit {
  private lastAnswerMs: number;
  private failuresInRow = 0;
  private lost = false;
  private regainedAtMs = Number.NEGATIVE_INFINITY;
  private leastRetryMs: () => number = () => 0;

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly events: EventLog,
  ) {
    this.lastAnswerMs = clock.now();
  }

  /** From now on the wait after a failed call is not shorter than `minimumRetryDelayMs` says at that moment, jitter apart. */
  retryNoSoonerThan(leastRetryMs: () => number): void {
    this.leastRetryMs = leastRetryMs;
  }

  /** True while calls have failed for longer than `OUTAGE_AFTER_MS`. */
  get isLost(): boolean {
    return this.lost;
  }

  /** True during an outage and for a while after it: records may vanish because their owners cannot write. */
  recordsMayLapse(): boolean {
    return this.lost || this.clock.now() - this.regainedAtMs < LAPSE_AFTER_OUTAGE_MS;
  }

  /** To be called when this balancer begins to call the source: silence counts from now. */
  begin(): void {
    this.lastAnswerMs = this.clock.now();
    this.failuresInRow = 0;
  }

  /** To be called when it leaves the source to others: whether an outage goes on is for them to see. */
  end(): void {
    if (this.lost) this.regainedAtMs = this.clock.now();
    this.lost = false;
  }

  noteAnswer(): void {
    const nowMs = this.clock.now();
    if (this.lost) {
      this.regainedAtMs = nowMs;
      const silentMs = Math.round(nowMs - this.lastAnswerMs);
      this.events.emit(ROUTING_EVENTS.sourceRegained, { silentMs });
    }
    this.lost = false;
    this.failuresInRow = 0;
    this.lastAnswerMs = nowMs;
  }

  /** Counts a failed call; returns the time to wait before the next one. */
  noteFailure(topic: RoutingTopic, error: RoutingSourceError): number {
    const silentMs = Math.round(this.clock.now() - this.lastAnswerMs);
    this.failuresInRow += 1;
    this.events.emit(ROUTING_EVENTS.sourceCallFailed, {
      topic,
      kind: error.kind,
      error: error.problem,
      silentMs,
    });
    if (!this.lost && silentMs >= OUTAGE_AFTER_MS) {
      this.lost = true;
      this.events.emit(ROUTING_EVENTS.sourceLost, { silentMs, kind: error.kind });
    }
    const doubled = RETRY_MIN_MS * 2 ** Math.min(this.failuresInRow - 1, 10);
    const waitMs = Math.max(Math.min(doubled, RETRY_MAX_MS), this.leastRetryMs());
    return jitter(waitMs, RETRY_JITTER, this.random);
  }
}
