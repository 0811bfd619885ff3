/** Writes a fleet report as text. */
import type { BackendStatus, DaemonSummary } from '../gue-edge/daemon/status.js';
import { MS_PER_SECOND } from './constants.js';
import type { BalancerReport, FleetReport } from './fleet-status.js';

const NO_BACKEND = { name: '', zone: '', id: 0 };

/** The whole report, one line each. */
export function describeFleet(report: FleetReport): string[] {
  const rows = report.balancers.map(balancerRow);
  return [
    `region ${report.region}, as ${report.askedFirst} sees it: ${report.balancers.length} balancers`,
    '',
    ...table([['BALANCER', 'ZONE', 'STATE', 'READY', 'SETTINGS', 'FLOWS', 'SHARDS', 'REMARK'], ...rows]),
    '',
    ...table([
      ['BACK END', 'ZONE', 'CONDITION', 'NEW FLOWS', 'FLOWS', 'SEEN BY', 'REASON'],
      ...backendRows(report),
    ]),
  ];
}

function balancerRow({ id, zone, state, status, error }: BalancerReport): string[] {
  if (!status) return [id, zone, state, '-', '-', '-', '-', `unreachable: ${error ?? 'no answer'}`];
  const { flow, settings } = status;
  const shards = `${flow.shardsKept}+${flow.shardsBackedUp}`;
  const ready = status.ready ? 'yes' : 'no';
  return [id, zone, state, ready, `v${settings.version}`, `${flow.open}`, shards, status.reasons.join(', ')];
}

/** One row a back end: flows are summed over all balancers, the condition is the one most witnesses believe. */
function backendRows(report: FleetReport): string[][] {
  const byName = new Map<string, BackendStatus[]>();
  for (const backend of report.balancers.flatMap(({ backends }) => backends ?? [])) {
    byName.set(backend.name, [...(byName.get(backend.name) ?? []), backend]);
  }
  const summaries = report.balancers.flatMap(({ status }) => (status ? [status] : []));
  return [...byName.values()]
    .sort(([left], [right]) => (left?.name ?? '').localeCompare(right?.name ?? ''))
    .map((views) => backendRow(views, summaries));
}

function backendRow(views: readonly BackendStatus[], summaries: readonly DaemonSummary[]): string[] {
  const [{ name, zone, id } = NO_BACKEND] = views;
  const believers = majority(views);
  const eligible = views.filter((view) => view.eligible).length;
  const flows = summaries.reduce((sum, { flowsByBackend }) => sum + (flowsByBackend[id] ?? 0), 0);
  // The weightiest evidence comes first.
  const [reason] = believers[0]?.evidence ?? [];
  const because = reason ? `${reason.source}: ${reason.text} (${seconds(reason.ageMs)} ago)` : '';
  const condition = believers[0]?.condition ?? 'unknown';
  const seenBy = `${believers.length}/${views.length}`;
  return [name, zone, condition, `${eligible}/${views.length}`, `${flows}`, seenBy, because];
}

/** The views that agree on the most frequent condition. */
function majority(views: readonly BackendStatus[]): readonly BackendStatus[] {
  const groups = new Map<string, BackendStatus[]>();
  for (const view of views) groups.set(view.condition, [...(groups.get(view.condition) ?? []), view]);
  return [...groups.values()].reduce((most, next) => (next.length > most.length ? next : most), []);
}

function seconds(milliseconds: number): string {
  return `${(milliseconds / MS_PER_SECOND).toFixed(1)} s`;
}

function table(rows: readonly (readonly string[])[]): string[] {
  const widths = (rows[0] ?? []).map((_, column) => Math.max(...rows.map((row) => row[column]?.length ?? 0)));
  return rows.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
}
