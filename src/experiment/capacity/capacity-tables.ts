/** The generated tables of the capacity page. */
import type { LinearFit } from './slopes.js';
import {
  contributions,
  cpuContributions,
  missingDimensions,
  total,
  totalResidual,
  type Contribution,
  type RecordedStep,
} from './capacity-model.js';
import { DAEMON_BUDGET, DAEMON_SHARE } from './design-size.js';
import { rolesTable } from './capacity-roles.js';
import { formatNumber as number, markdownTable as table } from './markdown-table.js';
import type { RecordedData } from './recorded-data.js';

interface Account {
  readonly title: string;
  readonly unit: string;
  readonly digits: number;
  readonly budget: number;
  readonly parts: readonly Contribution[];
}

/** Every generated section by name. */
export function capacitySections(data: RecordedData): Record<string, string> {
  return {
    sources: sourcesTable(data),
    totals: totalsTable(accounts(data), data),
    parts: accounts(data).map(accountTable).join('\n\n'),
    kinds: kindsTable(data.steps),
    roles: rolesTable(data),
    steps: stepsTable(data.steps),
    probes: probesTable(data),
    operator: operatorTable(data),
    faults: faultsTable(data),
  };
}

function accounts({ steps, probes, reports }: RecordedData): Account[] {
  const cpu = cpuContributions(steps, probes).map((part) => percent(part));
  return [
    {
      title: 'Bytes sent',
      unit: 'B/s',
      digits: 0,
      budget: DAEMON_BUDGET.bytesPerSecond,
      parts: contributions(steps, (step) => step.bytesOutPerSecond),
    },
    {
      title: 'Processor',
      unit: '% of a core',
      digits: 2,
      budget: 100 * DAEMON_BUDGET.cpuFraction,
      parts: cpu,
    },
    {
      title: 'Resident memory',
      unit: 'MB',
      digits: 1,
      budget: DAEMON_BUDGET.megabytes,
      parts: [...processMemory(reports), ...contributions(steps, (step) => step.residentMegabytes)],
    },
  ];
}

/** Memory of a process without daemons; hollow daemons share it, a real one has it for itself. */
function processMemory(reports: RecordedData['reports']): Contribution[] {
  const megabytes = Math.max(0, ...reports.map(({ report }) => report.emptyHostMegabytes));
  const variable = 'a process without daemons';
  if (megabytes === 0) return [];
  return [
    {
      dimension: 'process',
      variable,
      target: 0,
      base: 0,
      largestMeasured: 0,
      fit: undefined,
      value: megabytes,
    },
  ];
}

function percent(part: Contribution): Contribution {
  const { fit } = part;
  const scaled = fit && {
    ...fit,
    intercept: 100 * fit.intercept,
    slope: 100 * fit.slope,
    residual: 100 * fit.residual,
  };
  return { ...part, fit: scaled, value: 100 * part.value };
}

function sourcesTable({ reports }: RecordedData): string {
  const rows = reports.map(({ file, report }) => [
    `\`${file}\``,
    report.commit ?? 'not named',
    String(report.steps.length + report.faults.length + report.probes.length + report.operator.length),
    `${report.machine.cores} cores, Node ${report.machine.node}`,
    report.loadAverage.map((load) => load.toFixed(1)).join(' → '),
    `${report.peakProcesses} processes, ${report.peakResidentMegabytes} MB`,
    report.notRun.join('; ') || '-',
  ]);
  return table(
    ['file', 'commit', 'rows', 'machine', 'load average', 'peak', 'not run, or with a remark'],
    rows,
  );
}

function totalsTable(all: readonly Account[], { steps }: RecordedData): string {
  const rows = all.map((account) => {
    if (account.parts.length === 0) return [account.title, 'not measured', budgetOf(account), '-'];
    const sum = total(account.parts);
    const share = account.budget > 0 ? sum / account.budget : 0;
    return [
      account.title,
      `${number(sum, account.digits)} ± ${number(totalResidual(account.parts), account.digits)} ${account.unit}`,
      budgetOf(account),
      share > 1 ? `**over budget: ${number(share, 2)} times**` : `${number(100 * share, 0)}% of the budget`,
    ];
  });
  const missing = missingDimensions(steps);
  const note = missing.length > 0 ? `\n\nNot in the sums, because not measured: ${missing.join(', ')}.` : '';
  return table(['one daemon', 'at the size to design for', 'budget', ''], rows) + note;
}

function budgetOf(account: Account): string {
  return `${number(account.budget, account.digits === 0 ? 0 : 1)} ${account.unit}`;
}

function accountTable(account: Account): string {
  const rows = account.parts.map((part) => [
    part.dimension,
    part.variable,
    part.fit ? `${number(part.base, 2)} → ${number(part.target, 2)}` : '-',
    part.fit ? `${slope(part.fit)} ${account.unit}` : '-',
    part.fit ? `± ${number(part.fit.residual, account.digits + 1)}` : '-',
    part.fit?.rSquared === undefined || part.fit.rSquared === null ? '-' : part.fit.rSquared.toFixed(2),
    part.fit ? String(part.fit.points) : '1',
    `${number(part.value, account.digits)} ${account.unit}`,
    rangeOf(part),
  ]);
  const header = [
    ...['part', 'runs over', 'from → to', 'slope for each', 'residual'],
    ...['R²', 'points', 'adds', 'range'],
  ];
  return `**${account.title}**\n\n${table(header, rows)}`;
}

function rangeOf(part: Contribution): string {
  if (part.fit && part.fit.slope < 0) return 'falls with the size: counted as 0';
  if (!part.fit || part.target <= part.largestMeasured) return 'measured';
  return `extrapolated ×${number(part.target / part.largestMeasured, 1)}`;
}

function slope(fit: LinearFit): string {
  return fit.slope.toPrecision(3);
}

function kindsTable(steps: readonly RecordedStep[]): string {
  const kinds = Object.keys(steps[0]?.bytesOutByKind ?? {});
  const rows = kinds.map((kind) => {
    const parts = contributions(steps, (step) => step.bytesOutByKind[kind] ?? 0);
    const cells = parts.map((part) => `${part.dimension} ${number(part.value, 0)}`);
    return [kind, `${number(total(parts), 0)} ± ${number(totalResidual(parts), 0)}`, cells.join(', ')];
  });
  return table(['kind', 'B/s of a daemon', 'of which (B/s)'], rows);
}

function stepsTable(steps: readonly RecordedStep[]): string {
  const rows = steps.map((step) => [
    step.dimensions.join(', '),
    ...[step.members, step.backends, step.flowsPerDaemon].map(String),
    ...[step.openingsPerSecond, step.changesPerSecond].map(String),
    `${number(step.bytesOutPerSecond, 0)} / ${number(step.bytesOutPerSecondMax, 0)}`,
    number(100 * step.cpuFraction, 2),
    number(step.residentMegabytes, 1),
    step.secondsToEverywhereMax === null ? '-' : number(step.secondsToEverywhereMax, 2),
    `${step.storeReaders}, ${step.storeRequestsPerSecond}/s`,
    `${step.falseSuspicions} / ${step.falseRemovals}`,
    `${number(step.settleSeconds, 0)} s, ${number(step.settleBytesPerDaemon / 1_000, 0)} KB`,
    step.flowTableBytesPerFlow === null ? '-' : String(step.flowTableBytesPerFlow),
  ]);
  const header = [
    ...['step', 'daemons', 'back ends', 'flows a daemon', 'openings/s', 'changes/s'],
    ...['B/s median / most', '% core', 'MB', 's to all', 'store readers, requests'],
    ...['suspected / removed wrongly', 'to settle', 'table B a flow'],
  ];
  return table(header, rows);
}

function probesTable({ probes }: RecordedData): string {
  const rows = probes.map((probe) => [
    String(probe.backends),
    String(probe.httpProbesPerSecond),
    number(100 * probe.httpCpuFraction, 2),
    number(100 * probe.stubCpuFraction, 2),
  ]);
  const rate = number(DAEMON_SHARE.probesPerSecond, 0);
  const note = `\n\nProbes/s of a daemon at the size to design for, at the default interval: ${rate}.`;
  return table(['back ends probed', 'probes/s', '% core over HTTP', '% core with the stub'], rows) + note;
}

function operatorTable({ operator }: RecordedData): string {
  const rows = operator.map((cost) => [
    ...[cost.backends, cost.edits].map(String),
    number(cost.treeBytes / 1_000, 0),
    ...[cost.cpuMs, cost.elapsedMs].map(String),
  ]);
  return table(['back ends', 'edits', 'tree KB', 'processor ms', 'elapsed ms'], rows);
}

function faultsTable({ faults }: RecordedData): string {
  const seconds = (value: number | null): string => (value === null ? 'not seen' : number(value, 1));
  const rows = faults.map((fault) => [
    fault.fault,
    `${fault.failed} of ${fault.members}`,
    fault.failed === 0
      ? '-'
      : `${seconds(fault.secondsToHalfDetected)} / ${seconds(fault.secondsToAllDetected)}`,
    fault.failed === 0 ? '-' : seconds(fault.secondsToRecovered),
    String(fault.falselySuspected),
    number(fault.handoverBytesPerFailed / 1_000, 1),
    fault.secondsToCatchUp === null ? '-' : number(fault.secondsToCatchUp, 2),
  ]);
  const header = [
    ...['fault', 'daemons', 's until half / all saw it', 's until every shard is kept'],
    ...['wrongly suspected', 'hand-over KB each', 's to catch up'],
  ];
  return table(header, rows);
}
