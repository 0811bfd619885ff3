/** Latency histograms. */
import { build } from 'hdr-histogram-js';
import type { LatencySummary } from './types.js';

const MICROSECONDS_PER_MS = 1_000;
/** Longest duration that is told apart: two minutes. Above every limit of a caller. */
const HIGHEST_MICROSECONDS = 120_000_000;

/** Records durations with two significant digits or better. */
export class LatencyRecorder {
  private readonly histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MICROSECONDS,
    numberOfSignificantValueDigits: 3,
    useWebAssembly: false,
  });

  record(milliseconds: number): void {
    const microseconds = Math.max(1, Math.round(milliseconds * MICROSECONDS_PER_MS));
    this.histogram.recordValue(Math.min(microseconds, HIGHEST_MICROSECONDS));
  }

  summary(): LatencySummary {
    const { histogram } = this;
    return {
      count: histogram.totalCount,
      meanMs: histogram.totalCount > 0 ? histogram.mean / MICROSECONDS_PER_MS : 0,
      p50Ms: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
      p99Ms: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
      maxMs: histogram.maxValue / MICROSECONDS_PER_MS,
    };
  }
}
