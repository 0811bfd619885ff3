/**
 * Reports in `docs/measurements/scale-*.json`, recorded by runs of hollow daemons that this project had until 2026-12. They are
 * history: new slopes come from the users' bench.
 */

/** What a measurement can vary; an idle fleet is the zero of several. */
export type ScaleDimension =
  | 'members'
  | 'backends'
  | 'flows'
  | 'openings'
  | 'peak-openings'
  | 'changes'
  | 'full-tree-changes'
  | 'small-site'
  | 'single-daemon'
  | 'regions';

/** Figures of one step of a scale run; rates are for one daemon. */
export interface StepFigures {
  readonly members: number;
  readonly regions: number;
  readonly backends: number;
  readonly services: number;
  readonly flowsPerDaemon: number;
  readonly openingsPerSecond: number;
  readonly changesPerSecond: number;
  readonly seconds: number;
  /** Median over daemons, bytes a second sent. */
  readonly bytesOutPerSecond: number;
  readonly bytesOutPerSecondMax: number;
  readonly bytesInPerSecond: number;
  /** Mean over daemons, bytes a second sent by kind. */
  readonly bytesOutByKind: Readonly<Record<string, number>>;
  /** Processor time for one daemon, share of a core. */
  readonly cpuFraction: number;
  /** Resident memory of a host divided by its daemons, MB (1,000,000 bytes), the empty process taken off. */
  readonly residentMegabytes: number;
  /** Seconds from an accepted edit until the last daemon had it in force: worst and median edit. */
  readonly secondsToEverywhereMax: number | null;
  readonly secondsToEverywhereMedian: number | null;
  readonly storeReaders: number;
  readonly storeRequestsPerSecond: number;
  /** Running members that any daemon saw suspect, or gone, while the step was measured. */
  readonly falseSuspicions: number;
  readonly falseRemovals: number;
  /** Seconds from the start of the first process until every shard was kept, and bytes a daemon sent until then. */
  readonly settleSeconds: number;
  readonly settleBytesPerDaemon: number;
  readonly settleHandoverBytesPerDaemon: number;
  readonly exceptionsShare: number | null;
  readonly flowTableBytesPerFlow: number | null;
  readonly probesPerSecond: number;
}

/** Cost of real HTTP probes, and of the stub that hollow daemons use, measured without a fleet. */
export interface ProbeCost {
  readonly backends: number;
  readonly httpProbesPerSecond: number;
  /** Processor time of the probing process, share of a core. */
  readonly httpCpuFraction: number;
  readonly stubCpuFraction: number;
  readonly seconds: number;
}

/** One edit of the whole tree by an operator's command, at one size of tree. */
export interface OperatorCost {
  readonly backends: number;
  readonly edits: number;
  readonly treeBytes: number;
  /** Medians for one edit: processor time and elapsed time, ms. */
  readonly cpuMs: number;
  readonly elapsedMs: number;
}

/** What a fault did. */
export interface FaultFigures {
  readonly fault: string;
  readonly members: number;
  readonly failed: number;
  /** Seconds from the fault until half of, and all, survivors saw every failed member gone; null: not all did. */
  readonly secondsToHalfDetected: number | null;
  readonly secondsToAllDetected: number | null;
  /** Members seen suspect or gone although they ran. */
  readonly falselySuspected: number;
  /** Seconds until no daemon was still taking shards over; null: not within the time given. */
  readonly secondsToRecovered: number | null;
  /** Bytes of hand-over messages for each failed or replaced daemon. */
  readonly handoverBytesPerFailed: number;
  /** Seconds until the versions written meanwhile were everywhere; null where none was written. */
  readonly secondsToCatchUp: number | null;
}

/** The run's report. */
export interface ScaleReport {
  readonly scenario: 'scale';
  readonly seed: number;
  readonly machine: { readonly cores: number; readonly memoryMegabytes: number; readonly node: string };
  readonly emptyHostMegabytes: number;
  readonly steps: readonly (StepFigures & { readonly dimensions: readonly string[] })[];
  readonly faults: readonly FaultFigures[];
  readonly probes: readonly ProbeCost[];
  readonly operator: readonly OperatorCost[];
  /** One-minute load average of the machine when the run began and ended; other work makes times longer. */
  readonly loadAverage: readonly [number, number];
  /** Commit that was measured, as the caller named it. */
  readonly commit: string | null;
  readonly peakProcesses: number;
  readonly peakResidentMegabytes: number;
  readonly notRun: readonly string[];
}
