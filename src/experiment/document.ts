/** The result of one run, as it is written to JSON. A figure that a run does not measure is null, never 0. */
import type { ControlKind } from '../gue-edge/control/types.js';
import type { PlacementMode } from '../gue-edge/placement/types.js';
import type { MaxAndMedian } from './statistics.js';

/** A figure for each service, by the service's name below the site. */
export type PerService = Readonly<Record<string, number | null>>;

export interface FlowFigures {
  readonly opened: number | null;
  readonly refused: number | null;
  /** Openings without an answer until the caller gave up. */
  readonly openTimeouts: number | null;
  readonly broken: number | null;
  /** Broken flows that no unplanned fault explains. */
  readonly brokenByPlannedChange: number | null;
  /** Broken because their own back end crashed; counted in `broken` too. */
  readonly brokenByBackendCrash: number | null;
  /** Packets of a flow that reached a back end of another service. */
  readonly misdelivered: number | null;
}

/** One flow that broke, as its caller saw it. */
export interface BrokenFlowRecord {
  readonly atSeconds: number;
  readonly reason: string;
  readonly service: string;
  readonly backend: string | null;
  readonly openSeconds: number;
}

export interface RequestFigures {
  readonly sent: number | null;
  readonly answered: number | null;
  readonly foreignOrPartialAnswers: number | null;
  readonly refusedButRun: number | null;
  readonly unrepeatableRunTwice: number | null;
}

/** Mean over the run's second half, sampled each 100 ms, from what the back ends truly hold. */
export interface ImbalanceFigures {
  /** Open flows: largest over mean. */
  readonly peakToMean: PerService;
  readonly coefficientOfVariation: PerService;
  /** The same for busy slots; with few slots a back end this is mostly the noise of single requests. */
  readonly busySlots: {
    readonly peakToMean: PerService;
    readonly coefficientOfVariation: PerService;
    /**
     * Busy slots of a back end on average: with few slots the most that one can hold over this bounds `peakToMean`
     * from above.
     */
    readonly mean: PerService;
    /** Largest over mean of each back end's busy slots averaged over the second half. */
    readonly peakToMeanOfAverages: PerService;
  };
}

/** Over the daemons of a run. Bytes are those sent and received, with all headers. */
export interface ControlFigures {
  readonly bytesPerSecondPerDaemon: MaxAndMedian;
  /** Sent alone. */
  readonly bytesSentPerSecondPerDaemon: MaxAndMedian;
  readonly bytesPerSecondByKind: Readonly<Record<ControlKind, MaxAndMedian>>;
  /** Processor time of the whole process, data path included, over time. */
  readonly cpuFraction: MaxAndMedian;
  readonly residentMegabytes: MaxAndMedian;
}

export type Verdict = 'pass' | 'fail' | 'not-measured';

/** One goal and how the run met it. */
export interface GoalResult {
  readonly figure: string;
  /** E.g. `<= 2`. */
  readonly goal: string;
  readonly measured: number | null;
  readonly verdict: Verdict;
}

/** Something that the runner did during the run. */
export interface RunEvent {
  /** Seconds since the start of the load. */
  readonly atSeconds: number;
  readonly text: string;
  readonly failed: boolean;
}

/** Points for plots. */
export interface RunSeries {
  readonly seconds: readonly number[];
  /** Open flows by back end. */
  readonly flowsByBackend: Readonly<Record<string, readonly (number | null)[]>>;
  /** Flows broken so far, from the callers' reports. */
  readonly broken: readonly number[];
  /** Control bytes a second, median over daemons. */
  readonly controlBytesPerSecond: readonly (number | null)[];
}

/** One accepted edit and how long each balancer took to have it in force. */
export interface EditRecord {
  readonly atSeconds: number;
  readonly operator: string;
  readonly version: number | null;
  /** Null: not in force everywhere by the end of the run. */
  readonly secondsToEverywhere: number | null;
  readonly outcome: 'accepted' | 'conflict' | 'failed';
}

export interface ExperimentDocument {
  readonly scenario: string;
  readonly seed: number;
  readonly mode: PlacementMode;
  readonly tree: string;
  readonly balancers: number;
  readonly durationSeconds: number;
  readonly flows: FlowFigures;
  readonly requests: RequestFigures;
  /** The first broken flows, by time. */
  readonly brokenFlows: readonly BrokenFlowRecord[];
  readonly imbalance: ImbalanceFigures;
  readonly drain: { readonly secondsToLastNewFlow: number | null };
  /** From a back end's fault until every balancer held it ineligible; the longest of the run. */
  readonly health: { readonly secondsToIneligibleEverywhere: number | null };
  readonly config: {
    readonly secondsToEverywhere: number | null;
    readonly reverts: number | null;
    readonly edits: readonly EditRecord[];
  };
  readonly control: ControlFigures;
  /** Flows placed elsewhere than on their first choice, over flows opened; null when no daemon says. */
  readonly exceptionsShare: number | null;
  readonly goals: readonly GoalResult[];
  readonly events: readonly RunEvent[];
  readonly series: RunSeries;
  /** What failed in the run itself; a document with entries here is not a complete measurement. */
  readonly problems: readonly string[];
}

/** A run with its baselines, when they were asked for. */
export interface ExperimentResult extends ExperimentDocument {
  readonly baselines?: readonly ExperimentDocument[];
}
