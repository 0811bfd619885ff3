/** Writes a fleet report as text. */
import type { BackendStatus, DaemonStatus } from '../daemon/status.js';
import type { BalancerReport, FleetReport } from './fleet-status.js';

const MS_PER_SECOND = 1_000;

/** The whole report, one line each. */
export function describeFleet(report: FleetReport): string[] {
  const rows = report.balancers.map(balancerRow);
  const statuses = report.balancers.flatMap(({ status }) => (status ? [status] : []));
  return [
    `region ${report.region}, as ${report.askedFirst} sees it: ${report.balancers.length} balancers`,
    '',
    ...table([['BALANCER', 'ZONE', 'STATE', 'READY', 'SETTINGS', 'FLOWS', 'SHARDS', 'REMARK'], ...rows]),
    '',
    ...table([
      ['BACK END', 'ZONE', 'CONDITION', 'NEW FLOWS', 'FLOWS', 'SEEN BY', 'REASON'],
      ...backendRows(statuses),
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

/** One row a back end: flows are summed over the balancers, the condition is the one most of them believe. */
function backendRows(statuses: readonly DaemonStatus[]): string[][] {
  const byName = new Map<string, BackendStatus[]>();
  for (const backend of statuses.flatMap(({ backends }) => backends)) {
    byName.set(backend.name, [...(byName.get(backend.name) ?? []), backend]);
  }
  return [...byName.entries()]
    .sort(([left], [right]) => left.localeCompare(right))
    .map(([name, views]) => backendRow(name, views));
}

function backendRow(name: string, views: readonly BackendStatus[]): string[] {
  const conditions = new Map<string, BackendStatus[]>();
  for (const view of views) conditions.set(view.condition, [...(conditions.get(view.condition) ?? []), view]);
  const [condition, believers] = [...conditions.entries()].reduce((most, next) =>
    next[1].length > most[1].length ? next : most,
  );
  const eligible = views.filter((view) => view.eligible).length;
  const flows = views.reduce((sum, view) => sum + (view.openFlows ?? 0), 0);
  const [reason] = [...(believers[0]?.evidence ?? [])].sort((left, right) => left.ageMs - right.ageMs);
  const because = reason ? `${reason.source}: ${reason.text} (${seconds(reason.ageMs)} ago)` : '';
  const zone = views[0]?.zone ?? '';
  return [
    name,
    zone,
    condition,
    `${eligible}/${views.length}`,
    `${flows}`,
    `${believers.length}/${views.length}`,
    because,
  ];
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
