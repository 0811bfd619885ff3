/** What a back end says about its load, truthful or not. */
import type { Clock, TimerHandle } from '../../common/clock.js';
import type { BackendFaults } from './types.js';

/** Body of `GET /load`. */
export interface LoadReport {
  readonly openFlows: number;
  readonly busySlots: number;
  readonly capacity: number;
}

/** Time between two samples of the load, ms. Short beside HISTORY_MS. */
const SAMPLE_INTERVAL_MS = 50;
/** Samples are kept this long, ms: the longest lag that can be told. No scenario asks for more. */
const HISTORY_MS = 30_000;

/** Samples the load so that an old one can be told. */
export class LoadReporter {
  private readonly history: { readonly atMs: number; readonly load: LoadReport }[] = [];
  private timer: TimerHandle | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly current: () => LoadReport,
  ) {}

  start(): void {
    this.history.push({ atMs: this.clock.now(), load: this.current() });
    while (this.history.length * SAMPLE_INTERVAL_MS > HISTORY_MS) this.history.shift();
    this.timer = this.clock.schedule(SAMPLE_INTERVAL_MS, () => this.start());
  }

  stop(): void {
    this.timer?.cancel();
  }

  report(faults: BackendFaults): LoadReport {
    const load =
      faults.loadLagMs > 0 ? this.sampleBefore(this.clock.now() - faults.loadLagMs) : this.current();
    return faults.loadLies ? { ...load, openFlows: 0, busySlots: 0 } : load;
  }

  private sampleBefore(atMs: number): LoadReport {
    const sample = this.history.findLast((entry) => entry.atMs <= atMs);
    return sample?.load ?? { ...this.current(), openFlows: 0, busySlots: 0 };
  }
}
