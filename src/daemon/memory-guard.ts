/** Refuses openings while the process uses more memory than its limit. */
import type { Clock, TimerHandle } from '../common/clock.js';
import type { EventLog } from '../observability/event.js';
import { MEMORY_CHECK_INTERVAL_MS, MEMORY_RECOVERY_SHARE } from './constants.js';
import { DAEMON_EVENTS } from './events.js';

const BYTES_PER_MEGABYTE = 1_048_576;

/** What a memory guard works with. */
export interface MemoryGuardOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  /** Limit in megabytes (2^20 bytes); asked at each check, since a reread may change it. */
  readonly limitMegabytes: () => number;
  /** Resident bytes of the process. */
  readonly residentBytes: () => number;
}

/** Compares resident memory with its limit once a second; openings come back below 90% of the limit. */
export class MemoryGuard {
  private above = false;
  private timer: TimerHandle | undefined;

  constructor(private readonly options: MemoryGuardOptions) {}

  /** True while openings are to be refused. */
  exceeded(): boolean {
    return this.above;
  }

  start(): void {
    this.timer = this.options.clock.schedule(MEMORY_CHECK_INTERVAL_MS, () => {
      this.check();
      this.start();
    });
  }

  stop(): void {
    this.timer?.cancel();
  }

  private check(): void {
    const residentMegabytes = this.options.residentBytes() / BYTES_PER_MEGABYTE;
    const limitMegabytes = this.options.limitMegabytes();
    const threshold = this.above ? limitMegabytes * MEMORY_RECOVERY_SHARE : limitMegabytes;
    const above = residentMegabytes > threshold;
    if (above === this.above) return;
    this.above = above;
    const event = above ? DAEMON_EVENTS.memoryLimit : DAEMON_EVENTS.memoryRecovered;
    this.options.events.emit(event, { residentMegabytes: Math.round(residentMegabytes), limitMegabytes });
  }
}
