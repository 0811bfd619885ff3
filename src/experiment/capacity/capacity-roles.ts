/** What each role costs one daemon at the size to design for, read from the parts of the accounts. */
import {
  contributions,
  cpuContributions,
  total,
  type Contribution,
  type FigureReader,
  type RecordedStep,
} from './capacity-model.js';
import { DAEMON_SHARE } from './design-size.js';
import { formatNumber, markdownTable } from './markdown-table.js';
import type { RecordedData } from './recorded-data.js';

const NOT_MEASURED = 'not measured';
const BYTES_PER_KILOBYTE = 1_000;
const READERS_PER_REGION = 2;

/** The parts that roles are read from. */
interface RoleParts {
  readonly cpu: readonly Contribution[];
  readonly memory: readonly Contribution[];
  readonly kind: (name: string) => string;
}

/** Roles with their messages, processor time and memory. */
export function rolesTable(data: RecordedData): string {
  const parts = rolePartsOf(data);
  const cpu = (...dimensions: string[]): string => sumOf(parts.cpu, dimensions, 100, 2, '%');
  const memory = (...dimensions: string[]): string => sumOf(parts.memory, dimensions, 1, 1, 'MB');
  const rows = [
    [
      'gossip member, and all that runs idle',
      parts.kind('membership'),
      cpu('base', 'members'),
      memory('base', 'members'),
    ],
    [
      'holder of the tree',
      parts.kind('dissemination'),
      cpu('full-tree-changes'),
      memory('backends', 'full-tree-changes'),
    ],
    ['prober and believer', parts.kind('health'), cpu('probes', 'backends'), 'in the tree'],
    ['keeper and backup', parts.kind('replication'), cpu('openings', 'flows'), memory('openings', 'flows')],
    ['new keeper', parts.kind('handover'), 'see faults', 'in the keeper'],
    ['relay', '0 (data path)', 'see forwarding', 'none'],
    ['store reader', readerBytes(data), 'in the holder of the tree', 'one document while it is read'],
    operatorRow(data),
    smallSiteRow(data.steps),
    ...singleDaemonRows(data),
    ['process without duties', '0', '-', emptyProcess(data)],
  ];
  return markdownTable(['role', 'bytes sent', 'processor', 'memory'], rows);
}

function rolePartsOf({ steps, probes }: RecordedData): RoleParts {
  const kind = (name: string): string => {
    const read: FigureReader = (step) => step.bytesOutByKind[name] ?? 0;
    const parts = contributions(steps, read);
    return parts.length === 0 ? NOT_MEASURED : `${formatNumber(total(parts), 0)} B/s`;
  };
  return {
    cpu: cpuContributions(steps, probes),
    memory: contributions(steps, (step) => step.residentMegabytes),
    kind,
  };
}

function sumOf(
  parts: readonly Contribution[],
  dimensions: readonly string[],
  factor: number,
  digits: number,
  unit: string,
): string {
  const chosen = parts.filter(({ dimension }) => dimensions.includes(dimension));
  if (chosen.length < dimensions.length) return NOT_MEASURED;
  return `${formatNumber(factor * total(chosen), digits)} ${unit}`;
}

function readerBytes({ operator }: RecordedData): string {
  const largest = operator.at(-1);
  if (!largest) return NOT_MEASURED;
  const bytesPerSecond = largest.treeBytes * DAEMON_SHARE.changesPerSecond;
  return `${formatNumber(bytesPerSecond / BYTES_PER_KILOBYTE, 0)} KB/s from the platform to each of ${READERS_PER_REGION} a region`;
}

function operatorRow({ operator }: RecordedData): string[] {
  const largest = operator.at(-1);
  if (!largest) return ["operator's command line", NOT_MEASURED, NOT_MEASURED, NOT_MEASURED];
  const kilobytes = formatNumber(largest.treeBytes / BYTES_PER_KILOBYTE, 0);
  const times = `${largest.cpuMs} ms an edit, ${largest.elapsedMs} ms elapsed`;
  return [
    "operator's command line",
    `${kilobytes} KB read and written an edit`,
    times,
    'ends after each command',
  ];
}

function smallSiteRow(steps: readonly RecordedStep[]): string[] {
  const site = steps.find((step) => step.dimensions.includes('small-site'));
  const name = 'balancer of a small site';
  if (!site) return [name, NOT_MEASURED, NOT_MEASURED, NOT_MEASURED];
  return [
    `${name} (${site.members} daemons, ${site.backends} back ends, ${site.openingsPerSecond} openings/s each)`,
    `${formatNumber(site.bytesOutPerSecond, 0)} B/s`,
    `${formatNumber(100 * site.cpuFraction, 2)} %`,
    `${formatNumber(site.residentMegabytes, 1)} MB and the process`,
  ];
}

/** One daemon alone in its process: what many daemons of a process share is counted here for one. */
function singleDaemonRows({ steps, reports }: RecordedData): string[][] {
  const empty = Math.max(0, ...reports.map(({ report }) => report.emptyHostMegabytes));
  const single = steps.filter((step) => step.dimensions.includes('single-daemon'));
  return single.map((step) => [
    `one daemon alone in its process, ${step.backends} back ends`,
    '0',
    `${formatNumber(100 * step.cpuFraction, 2)} %`,
    `${formatNumber(empty + step.residentMegabytes, 0)} MB with the process`,
  ]);
}

function emptyProcess({ reports }: RecordedData): string {
  const sizes = reports.flatMap(({ report }) => report.emptyHostMegabytes || []);
  return sizes.length === 0 ? NOT_MEASURED : `${Math.max(...sizes)} MB`;
}
