/**
 * Writes a warning event at most once a minute for each topic, so that a peer that sends forged datagrams cannot
 * fill the log.
 *
 * Owns when each topic was last written. Relies on a monotonic clock.
 */
import type { Clock } from '../../common/clock.js';
import type { EventDefinition, EventFields, EventLog } from '../../observability/event.js';

/** An operator who looks at the last minutes of a log still sees it. */
const WARNING_INTERVAL_MS = 60_000;

/** One for each channel. */
export class WarningLimiter {
  private readonly warnedAtMs = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly events: EventLog,
  ) {}

  /** Emits `event` unless `topic` was warned of within the last minute. */
  warn(topic: string, event: EventDefinition, fields: EventFields): void {
    const nowMs = this.clock.now();
    const lastMs = this.warnedAtMs.get(topic);
    if (lastMs !== undefined && nowMs - lastMs < WARNING_INTERVAL_MS) return;
    this.warnedAtMs.set(topic, nowMs);
    this.events.emit(event, fields);
  }
}
