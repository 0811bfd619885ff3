/**
 * Compares a measure of the process with its limit and reports when it is reached and when it has fallen again.
 *
 * What the rule prevents: that openings are refused and accepted in turns while the measure moves about its limit
 * (hysteresis).
 *
 * Owns the last verdict. Relies on a clock for the checks, so a limit is passed by what comes within
 * `LIMIT_CHECK_INTERVAL_MS`.
 */
import type { Clock, TimerHandle } from '../../common/clock.js';
import type { EventDefinition, EventLog } from '../../observability/event.js';
import { LIMIT_CHECK_INTERVAL_MS, LIMIT_RECOVERY_SHARE } from './constants.js';

/** What a guard watches. `measure` and `limit` have the same unit. */
interface LimitGuardOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly measure: () => number;
  /** Asked at each check, since a reread of the configuration may change it. */
  readonly limit: () => number;
  readonly reached: EventDefinition;
  readonly recovered: EventDefinition;
}

/**
 * True when `value` counts as above `limit`, in the same unit: at the limit itself it does, and once it did, until
 * it is below `LIMIT_RECOVERY_SHARE` of the limit.
 */
export function isLimitExceeded(wasExceeded: boolean, value: number, limit: number): boolean {
  return value >= (wasExceeded ? limit * LIMIT_RECOVERY_SHARE : limit);
}

/** Checks once a second; a limit that was reached counts as exceeded until the measure falls below 90% of it. */
export class LimitGuard {
  private above = false;
  private timer: TimerHandle | undefined;

  constructor(private readonly options: LimitGuardOptions) {}

  /** True from the time the limit was reached until the measure has fallen again. */
  exceeded(): boolean {
    return this.above;
  }

  start(): void {
    this.timer = this.options.clock.schedule(LIMIT_CHECK_INTERVAL_MS, () => {
      this.check();
      this.start();
    });
  }

  stop(): void {
    this.timer?.cancel();
  }

  private check(): void {
    const { events, reached, recovered } = this.options;
    const value = this.options.measure();
    const limit = this.options.limit();
    const above = isLimitExceeded(this.above, value, limit);
    if (above === this.above) return;
    this.above = above;
    events.emit(above ? reached : recovered, { value: Math.round(value), limit });
  }
}
