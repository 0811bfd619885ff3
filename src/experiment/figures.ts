/** The figures of a document as named rows, for tables of one run, of a run beside baselines, and of comparisons. */
import { CONTROL_KINDS } from '../gue-edge/control/types.js';
import type { ExperimentDocument } from './document.js';
import { figureAt } from './goals.js';

/** Paths of the figures in the order they are printed; per-service tables are printed by service. */
const FIGURE_PATHS: readonly string[] = [
  'flows.opened',
  'flows.refused',
  'flows.openTimeouts',
  'flows.broken',
  'flows.brokenByPlannedChange',
  'flows.brokenByBackendCrash',
  'flows.misdelivered',
  'requests.sent',
  'requests.answered',
  'requests.foreignOrPartialAnswers',
  'requests.refusedButRun',
  'requests.unrepeatableRunTwice',
  'imbalance.peakToMean',
  'imbalance.coefficientOfVariation',
  'imbalance.busySlots.peakToMean',
  'imbalance.busySlots.mean',
  'imbalance.busySlots.peakToMeanOfAverages',
  'exceptionsShare',
  'drain.secondsToLastNewFlow',
  'health.secondsToIneligibleEverywhere',
  'config.secondsToEverywhere',
  'config.reverts',
  'control.bytesPerSecondPerDaemon.max',
  'control.bytesPerSecondPerDaemon.median',
  'control.bytesSentPerSecondPerDaemon.max',
  'control.bytesSentPerSecondPerDaemon.median',
  ...CONTROL_KINDS.map((kind) => `control.bytesPerSecondByKind.${kind}.median`),
  'control.cpuFraction.max',
  'control.cpuFraction.median',
  'control.residentMegabytes.max',
  'control.residentMegabytes.median',
];

/** Every printed figure path of a set of documents; tables by service become one path a service. */
export function figurePaths(documents: readonly ExperimentDocument[]): readonly string[] {
  return FIGURE_PATHS.flatMap((path) => {
    const services = new Set(documents.flatMap((document) => serviceNames(document, path)));
    return services.size === 0 ? [path] : [...services].sort().map((service) => `${path}.${service}`);
  });
}

/** Writes a figure for people: counts as they are, others with three decimals, null as `-`. */
export function formatFigure(value: number | null): string {
  if (value === null) return '-';
  return Number.isInteger(value) ? String(value) : value.toFixed(3);
}

/** The rows of a table: a path and one formatted figure a document. */
export function figureRows(documents: readonly ExperimentDocument[]): readonly (readonly string[])[] {
  return figurePaths(documents).map((path) => [
    path,
    ...documents.map((document) => formatFigure(figureAt(document, path))),
  ]);
}

/** Writes rows as a text table; the first column is left-aligned, the others right-aligned. */
export function formatTable(header: readonly string[], rows: readonly (readonly string[])[]): string {
  const widths = header.map((cell, column) =>
    Math.max(cell.length, ...rows.map((row) => (row[column] ?? '').length)),
  );
  const line = (row: readonly string[]): string =>
    row
      .map((cell, column) => (column === 0 ? cell.padEnd(widths[column]!) : cell.padStart(widths[column]!)))
      .join('  ')
      .trimEnd();
  return [line(header), widths.map((width) => '-'.repeat(width)).join('  '), ...rows.map(line)].join('\n');
}

function serviceNames(document: ExperimentDocument, path: string): string[] {
  let value: unknown = document;
  for (const part of path.split('.')) {
    value =
      typeof value === 'object' && value !== null ? (value as Record<string, unknown>)[part] : undefined;
  }
  return typeof value === 'object' && value !== null ? Object.keys(value) : [];
}
