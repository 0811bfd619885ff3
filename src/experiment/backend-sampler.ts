/** Samples what the back ends truly hold, each SAMPLE_INTERVAL_MS, and keeps points for plots. */
import type { BackendReport } from '../standin/backend/types.js';
import type { BackendProcesses } from './backend-processes.js';
import { SAMPLE_INTERVAL_MS, SERIES_INTERVAL_MS } from './constants.js';

/** All back ends at one moment. */
export interface BackendSample {
  /** Wall ms. */
  readonly atMs: number;
  readonly backends: readonly SampledBackend[];
}

export type SampledBackend = Pick<BackendReport, 'name' | 'service' | 'openFlows' | 'busySlots' | 'opened'>;

/** What the runner adds to each plotted point. */
interface SeriesExtras {
  readonly broken: number;
  readonly controlBytesPerSecond: number | null;
}

/** One plotted point. */
interface SeriesPoint extends SeriesExtras {
  readonly atMs: number;
  readonly flowsByBackend: Readonly<Record<string, number>>;
}

export class BackendSampler {
  readonly samples: BackendSample[] = [];
  readonly series: SeriesPoint[] = [];
  /** Samples that were due but that a process did not answer in time. */
  missed = 0;
  private sampling = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly backends: BackendProcesses,
    private readonly extras: () => SeriesExtras,
  ) {}

  /** Share of the samples due that were missed, 0–1. */
  get missedShare(): number {
    return this.missed / Math.max(1, this.missed + this.samples.length);
  }

  start(): void {
    this.timer = setInterval(() => void this.sample(), SAMPLE_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private async sample(): Promise<void> {
    if (this.sampling) {
      this.missed += 1;
      return;
    }
    this.sampling = true;
    const reports = await this.backends.reports();
    this.sampling = false;
    if (!reports) {
      this.missed += 1;
      return;
    }
    const backends = reports.flatMap((report) => report.backends.map(reduce));
    const sample = { atMs: Date.now(), backends };
    this.samples.push(sample);
    this.addPoint(sample);
  }

  private addPoint({ atMs, backends }: BackendSample): void {
    if (atMs - (this.series.at(-1)?.atMs ?? 0) < SERIES_INTERVAL_MS) return;
    const flowsByBackend = Object.fromEntries(backends.map((backend) => [backend.name, backend.openFlows]));
    this.series.push({ atMs, flowsByBackend, ...this.extras() });
  }
}

function reduce({ name, service, openFlows, busySlots, opened }: BackendReport): SampledBackend {
  return { name, service, openFlows, busySlots, opened };
}
