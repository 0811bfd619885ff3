/** Builds the result document of a run from everything that was recorded. */
import type { PlacementMode } from '../gue-edge/placement/types.js';
import type { BackendStandinReport } from '../standin/backend/types.js';
import type { CallerReport } from '../standin/caller/types.js';
import type { ActionRecord } from './action-record.js';
import type { BackendSampler } from './backend-sampler.js';
import type { BalancerFleet } from './balancer-fleet.js';
import { BROKEN_FLOWS_KEPT, MS_PER_SECOND } from './constants.js';
import type { BrokenFlowRecord, EditRecord, ExperimentDocument, RunSeries } from './document.js';
import type { FleetMonitor } from './fleet-monitor.js';
import { judgeAll } from './goals.js';
import { flowFigures, requestFigures, type Executions } from './join-reports.js';
import * as measure from './measure.js';
import type { OperatorEdit } from './operator.js';
import type { PlainAction } from './run-plan.js';
import type { Scenario } from './scenario.js';

/** Everything a run recorded. */
export interface RunRecord {
  readonly scenario: Scenario;
  readonly seed: number;
  readonly mode: PlacementMode;
  readonly plan: readonly PlainAction[];
  /** Wall ms of the start and the end of the load. */
  readonly startedAtMs: number;
  readonly endedAtMs: number;
  readonly actions: ActionRecord;
  readonly balancers: BalancerFleet;
  readonly monitor: FleetMonitor;
  readonly sampler: BackendSampler;
  readonly edits: readonly OperatorEdit[];
  readonly callers: readonly CallerReport[];
  readonly backends: readonly BackendStandinReport[] | undefined;
  readonly executions: Executions;
  /** Accepted edits that the stored tree's history lacks; undefined when it could not be read. */
  readonly lostEdits: number | undefined;
  readonly problems: readonly string[];
}

/** The result document, judged. */
export function buildDocument(record: RunRecord): ExperimentDocument {
  const figures = figuresOf(record);
  return { ...figures, goals: judgeAll(figures, record.scenario.goals) };
}

function figuresOf(record: RunRecord): Omit<ExperimentDocument, 'goals'> {
  const { scenario, startedAtMs, endedAtMs, actions, monitor, sampler } = record;
  const histories = [...monitor.histories.values()];
  const causes = { faults: actions.faults, crashed: actions.crashed };
  const halfwayMs = (startedAtMs + endedAtMs) / 2;
  const secondHalf = sampler.samples.filter((sample) => sample.atMs >= halfwayMs && sample.atMs <= endedAtMs);
  const edits = record.edits.map((edit) => editRecord(edit, record));
  return {
    scenario: scenario.name,
    seed: record.seed,
    mode: record.mode,
    tree: scenario.tree,
    balancers: histories.length,
    durationSeconds: (endedAtMs - startedAtMs) / MS_PER_SECOND,
    flows: flowFigures(record.callers, record.backends, causes),
    requests: requestFigures(record.callers, record.backends, record.executions),
    brokenFlows: brokenFlowRecords(record),
    imbalance: measure.imbalance(secondHalf, inServiceOf(record)),
    drain: { secondsToLastNewFlow: measure.secondsToLastNewFlow(sampler.samples, actions.withdrawals) },
    health: { secondsToIneligibleEverywhere: ineligibleSeconds(record) },
    config: {
      secondsToEverywhere: largest(edits.map((edit) => edit.secondsToEverywhere)),
      reverts: revertCount(record),
      edits,
    },
    control: measure.controlFigures(histories, startedAtMs),
    exceptionsShare: measure.exceptionsShare(histories),
    events: actions.events,
    series: seriesOf(record),
    problems: [...record.problems, ...missingEdits(record)],
  };
}

function brokenFlowRecords({ callers, startedAtMs }: RunRecord): BrokenFlowRecord[] {
  return callers
    .flatMap((report) => report.brokenFlows)
    .sort((left, right) => left.brokenAtMs - right.brokenAtMs)
    .slice(0, BROKEN_FLOWS_KEPT)
    .map((flow) => ({
      atSeconds: (flow.brokenAtMs - startedAtMs) / MS_PER_SECOND,
      reason: flow.reason,
      service: flow.service,
      backend: flow.backend ?? null,
      openSeconds: (flow.brokenAtMs - flow.openedAtMs) / MS_PER_SECOND,
    }));
}

function editRecord(edit: OperatorEdit, record: RunRecord): EditRecord {
  const { acceptedAtMs, operator, version, outcome } = edit;
  const spread = outcome === 'accepted' ? spreadOf(edit, record) : undefined;
  const atSeconds = (acceptedAtMs - record.startedAtMs) / MS_PER_SECOND;
  return { atSeconds, operator, version, outcome, secondsToEverywhere: spread?.seconds ?? null };
}

function spreadOf(edit: OperatorEdit, record: RunRecord): measure.EditSpread {
  const histories = [...record.monitor.histories.values()];
  return measure.editSpread(edit, histories, record.balancers.absences, record.endedAtMs);
}

function missingEdits(record: RunRecord): string[] {
  return record.edits.flatMap((edit) => {
    const missing = edit.outcome === 'accepted' ? spreadOf(edit, record).missing : [];
    return missing.length === 0
      ? []
      : [`version ${edit.version} never came into force on ${missing.join(', ')}`];
  });
}

/** Versions that fell at a daemon, and accepted edits missing from the stored history; null when nothing was seen. */
function revertCount(record: RunRecord): number | null {
  const histories = [...record.monitor.histories.values()];
  if (histories.length === 0) return null;
  const fallen = histories.reduce((sum, history) => sum + history.reverts, 0);
  return fallen + (record.lostEdits ?? 0);
}

function ineligibleSeconds(record: RunRecord): number | null {
  const daemons = record.balancers.all.map((balancer) => balancer.name);
  const { withdrawals } = record.actions;
  return measure.secondsToIneligible(withdrawals, record.monitor.eligibility, daemons, record.endedAtMs);
}

/** Back ends count for the balance unless spare and not yet added, drained, removed or crashed. */
function inServiceOf({ scenario, plan, startedAtMs }: RunRecord): measure.InService {
  const spare = new Set(scenario.topology.spareBackends);
  return (path, atMs) => {
    const seconds = (atMs - startedAtMs) / MS_PER_SECOND;
    const name = path.slice(path.lastIndexOf('/') + 1);
    let inService = !spare.has(name);
    for (const action of plan) {
      if (action.at > seconds || !('backend' in action) || action.backend !== name) continue;
      if (OUT_OF_SERVICE.has(action.do)) inService = false;
      if (INTO_SERVICE.has(action.do)) inService = true;
      if (action.do === 'backend-faults' && action.faults.blackhole) inService = false;
    }
    return inService;
  };
}

const OUT_OF_SERVICE: ReadonlySet<string> = new Set(['backend-drain', 'backend-remove', 'backend-crash']);
const INTO_SERVICE: ReadonlySet<string> = new Set(['backend-add', 'backend-undrain', 'backend-restart']);

function seriesOf({ sampler, startedAtMs }: RunRecord): RunSeries {
  const points = sampler.series;
  const names = Object.keys(points[0]?.flowsByBackend ?? {});
  const flows = names.map((name) => [name, points.map((point) => point.flowsByBackend[name] ?? null)]);
  return {
    seconds: points.map((point) => (point.atMs - startedAtMs) / MS_PER_SECOND),
    flowsByBackend: Object.fromEntries(flows),
    broken: points.map((point) => point.broken),
    controlBytesPerSecond: points.map((point) => point.controlBytesPerSecond),
  };
}

function largest(values: readonly (number | null)[]): number | null {
  const numbers = values.filter((value) => value !== null);
  return numbers.length === 0 ? null : Math.max(...numbers);
}
