/** Saved runs as Markdown tables for docs/records/MEASUREMENTS.md: one row a run, and the goals that were not met. */
import type { ExperimentDocument } from './document.js';
import { formatFigure } from './figures.js';
import { figureAt } from './goals.js';

/** Columns: heading and path of the figure; a per-service figure shows its worst service. */
const COLUMNS: readonly (readonly [heading: string, path: string])[] = [
  ['opened', 'flows.opened'],
  ['refused', 'flows.refused'],
  ['broken', 'flows.broken'],
  ['by planned change', 'flows.brokenByPlannedChange'],
  ['by back-end crash', 'flows.brokenByBackendCrash'],
  ['misdelivered', 'flows.misdelivered'],
  ['foreign or partial', 'requests.foreignOrPartialAnswers'],
  ['refused but run', 'requests.refusedButRun'],
  ['run twice', 'requests.unrepeatableRunTwice'],
  ['peak to mean', 'imbalance.peakToMean'],
  ['exceptions', 'exceptionsShare'],
  ['last new flow, s', 'drain.secondsToLastNewFlow'],
  ['in force, s', 'config.secondsToEverywhere'],
  ['reverts', 'config.reverts'],
  ['control B/s, median', 'control.bytesPerSecondPerDaemon.median'],
  ['sent B/s, median', 'control.bytesSentPerSecondPerDaemon.median'],
];

/** Writes the tables. */
export function markdownReport(documents: readonly ExperimentDocument[]): string {
  const header = ['scenario', 'mode', 'tree', 'seed', ...COLUMNS.map(([heading]) => heading)];
  const rows = documents.map((document) => [
    document.scenario,
    document.mode,
    document.tree,
    String(document.seed),
    ...COLUMNS.map(([, path]) => shortFigure(figureAt(document, path))),
  ]);
  return `${markdownTable(header, rows)}\n\n${missedGoals(documents)}\n`;
}

function missedGoals(documents: readonly ExperimentDocument[]): string {
  const rows = documents.flatMap((document) =>
    document.goals
      .filter((goal) => goal.verdict === 'fail')
      .map((goal) => [
        document.scenario,
        document.mode,
        String(document.seed),
        goal.figure,
        goal.goal,
        formatFigure(goal.measured),
      ]),
  );
  if (rows.length === 0) return 'Every goal of these runs was met.';
  return `Goals missed:\n\n${markdownTable(['scenario', 'mode', 'seed', 'figure', 'wanted', 'measured'], rows)}`;
}

/** Large figures without decimals, so that the table stays narrow. */
function shortFigure(value: number | null): string {
  return value !== null && value >= 1_000 ? String(Math.round(value)) : formatFigure(value);
}

function markdownTable(header: readonly string[], rows: readonly (readonly string[])[]): string {
  const line = (cells: readonly string[]): string => `| ${cells.join(' | ')} |`;
  return [line(header), line(header.map(() => '---')), ...rows.map(line)].join('\n');
}
