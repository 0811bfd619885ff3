/** Puts two sets of runs side by side: for each figure the median and the spread over the runs. */
import type { ExperimentDocument } from './document.js';
import { figurePaths, formatFigure, formatTable } from './figures.js';
import { figureAt } from './goals.js';
import { median } from './statistics.js';

/** Runs of one side. */
export interface ComparisonSide {
  readonly label: string;
  readonly documents: readonly ExperimentDocument[];
}

/** A figure over the runs of one side; null where no run measured it. */
interface FigureSpread {
  readonly median: number | null;
  readonly min: number | null;
  readonly max: number | null;
  readonly runs: number;
}

/** One figure of both sides. */
interface ComparisonRow {
  readonly figure: string;
  readonly left: FigureSpread;
  readonly right: FigureSpread;
}

interface Comparison {
  readonly scenario: string;
  readonly left: string;
  readonly right: string;
  readonly rows: readonly ComparisonRow[];
}

/** Compares two sides figure by figure. */
export function compare(left: ComparisonSide, right: ComparisonSide): Comparison {
  const documents = [...left.documents, ...right.documents];
  const rows = figurePaths(documents).map((figure) => ({
    figure,
    left: spread(left.documents, figure),
    right: spread(right.documents, figure),
  }));
  const scenario = [...new Set(documents.map((document) => document.scenario))].join(', ');
  return { scenario, left: left.label, right: right.label, rows };
}

/** Writes a comparison as a text table. */
export function comparisonText(comparison: Comparison): string {
  const rows = comparison.rows.map((row) => [row.figure, formatSpread(row.left), formatSpread(row.right)]);
  return `${comparison.scenario}\n\n${formatTable(['figure', comparison.left, comparison.right], rows)}\n`;
}

function spread(documents: readonly ExperimentDocument[], figure: string): FigureSpread {
  const values = documents.map((document) => figureAt(document, figure)).filter((value) => value !== null);
  return {
    median: median(values),
    min: values.length === 0 ? null : Math.min(...values),
    max: values.length === 0 ? null : Math.max(...values),
    runs: values.length,
  };
}

function formatSpread(value: FigureSpread): string {
  if (value.runs < 2) return formatFigure(value.median);
  return `${formatFigure(value.median)} (${formatFigure(value.min)} to ${formatFigure(value.max)}, n=${value.runs})`;
}
