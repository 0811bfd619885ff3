/** Joins what callers and back ends counted: broken flows by cause, and requests that ran when they must not have. */
import type { BackendStandinReport } from '../standin/backend/types.js';
import type { BrokenFlow, CallerReport } from '../standin/caller/types.js';
import type { FaultPeriod } from './action-record.js';
import { FAULT_ATTRIBUTION_MS } from './constants.js';
import type { FlowFigures, RequestFigures } from './document.js';

/** What may explain a break. */
interface BreakCauses {
  readonly faults: readonly FaultPeriod[];
  /** Back ends that crashed or went silent, by full path. */
  readonly crashed: ReadonlySet<string>;
}

/** Broken flows of all callers by cause. */
interface BreakCounts {
  readonly total: number;
  readonly byBackendCrash: number;
  /** Explained by neither a crashed back end nor an unplanned fault shortly before. */
  readonly unexplained: number;
}

/**
 * Counts breaks by cause. Callers name only their first broken flows: those not named count as unexplained, unless an
 * unplanned fault happened at all.
 */
function countBreaks(reports: readonly CallerReport[], causes: BreakCauses): BreakCounts {
  const named = reports.flatMap((report) => report.brokenFlows);
  const total = sum(reports.map((report) => report.flows.broken));
  const byBackendCrash = named.filter((flow) => causes.crashed.has(flow.backend ?? '')).length;
  const unexplainedNamed = named.filter((flow) => !isExplained(flow, causes)).length;
  const unnamed = causes.faults.length === 0 ? total - named.length : 0;
  return { total, byBackendCrash, unexplained: unexplainedNamed + unnamed };
}

/** The flow figures; null when no caller or back end reported. */
export function flowFigures(
  callers: readonly CallerReport[],
  backends: readonly BackendStandinReport[] | undefined,
  causes: BreakCauses,
): FlowFigures {
  const reported = callers.length > 0;
  const breaks = countBreaks(callers, causes);
  return {
    opened: reported ? sum(callers.map((report) => report.flows.opened)) : null,
    refused: reported ? sum(callers.map((report) => report.flows.refused)) : null,
    openTimeouts: reported ? sum(callers.map((report) => report.flows.openTimeouts)) : null,
    broken: reported ? breaks.total : null,
    brokenByPlannedChange: reported ? breaks.unexplained : null,
    brokenByBackendCrash: reported ? breaks.byBackendCrash : null,
    misdelivered: backends ? sum(backends.map((report) => report.misdelivered)) : null,
  };
}

/** What the back-end processes ran; undefined where they could not be asked. */
export interface Executions {
  /** For each process those of the callers' not-run ids that ran there. */
  readonly ofNotRun: readonly (readonly string[])[] | undefined;
  /** For each process the ids of requests that must not run twice and ran there. */
  readonly unrepeatable: readonly (readonly string[])[] | undefined;
}

/** The request figures. */
export function requestFigures(
  callers: readonly CallerReport[],
  backends: readonly BackendStandinReport[] | undefined,
  executions: Executions,
): RequestFigures {
  const reported = callers.length > 0;
  const count = (key: 'sent' | 'answered' | 'foreignOrPartial'): number | null =>
    reported ? sum(callers.map((report) => report.requests[key])) : null;
  const { ofNotRun, unrepeatable } = executions;
  return {
    sent: count('sent'),
    answered: count('answered'),
    foreignOrPartialAnswers: count('foreignOrPartial'),
    refusedButRun: ofNotRun && reported ? new Set(ofNotRun.flat()).size : null,
    unrepeatableRunTwice: unrepeatable && backends ? runTwice(unrepeatable, backends).size : null,
  };
}

/** Ids that ran twice in one process, or in two processes. */
function runTwice(
  unrepeatable: readonly (readonly string[])[],
  backends: readonly BackendStandinReport[],
): ReadonlySet<string> {
  const twice = new Set(backends.flatMap((report) => report.unrepeatableRunTwice));
  const seen = new Set<string>();
  for (const ids of unrepeatable) {
    for (const id of new Set(ids)) {
      if (seen.has(id)) twice.add(id);
      seen.add(id);
    }
  }
  return twice;
}

function isExplained(flow: BrokenFlow, causes: BreakCauses): boolean {
  if (causes.crashed.has(flow.backend ?? '')) return true;
  return causes.faults.some((fault) => {
    const untilMs = (fault.untilMs ?? Infinity) + FAULT_ATTRIBUTION_MS;
    return flow.brokenAtMs >= fault.fromMs && flow.brokenAtMs <= untilMs;
  });
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
