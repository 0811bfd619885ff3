/** Plots of a run as inline SVG, drawn by vega-lite without scripts; colours follow the page's light or dark mode. */
import { parse, View } from 'vega';
import { compile, type TopLevelSpec } from 'vega-lite';
import type { ExperimentDocument } from './document.js';

const PLOT_WIDTH = 640;
const PLOT_HEIGHT = 220;
/** Colour-blind safe categorical colours with enough contrast on light and dark backgrounds. */
const SERIES_COLOURS = [
  '#3b82c4',
  '#d9772b',
  '#3a9a5b',
  '#c2477f',
  '#8a6fd1',
  '#a08a1f',
  '#2aa1a8',
  '#b05a3c',
  '#7a8699',
  '#5f9e1f',
];
/** Stand-in for the page's text colour inside a plot; replaced by `currentColor` in the SVG. */
const TEXT_COLOUR = '#010203';
const GRID_COLOUR = '#030201';

interface PlotPoint {
  readonly seconds: number;
  readonly value: number;
  readonly series: string;
}

/** A named plot. */
interface Plot {
  readonly title: string;
  readonly svg: string;
}

/** Draws every plot that the runs have data for. */
export async function drawPlots(documents: readonly ExperimentDocument[]): Promise<readonly Plot[]> {
  const plots: Plot[] = [];
  for (const document of documents) {
    for (const [service, points] of flowPoints(document)) {
      const title = `Open flows a back end: ${service}, ${runLabel(document)}`;
      plots.push(await draw(title, 'open flows', points));
    }
  }
  plots.push(...(await comparedPlots(documents)));
  return plots;
}

async function comparedPlots(documents: readonly ExperimentDocument[]): Promise<Plot[]> {
  const broken = documents.flatMap((document) => linePoints(document, document.series.broken));
  const control = documents.flatMap((document) =>
    linePoints(document, document.series.controlBytesPerSecond),
  );
  const edits = documents.flatMap(editPoints);
  const plots: Plot[] = [];
  if (broken.length > 0) plots.push(await draw('Broken flows', 'flows broken so far', broken));
  if (edits.length > 0)
    plots.push(await draw('Time until an edit is in force everywhere', 'seconds', edits, 'point'));
  if (control.length > 0)
    plots.push(await draw('Control traffic (median daemon)', 'bytes a second', control));
  return plots;
}

/** Name of a run in legends. */
export function runLabel(document: ExperimentDocument): string {
  return `${document.scenario} ${document.mode} seed ${document.seed}`;
}

function flowPoints(document: ExperimentDocument): Map<string, PlotPoint[]> {
  const byService = new Map<string, PlotPoint[]>();
  for (const [backend, values] of Object.entries(document.series.flowsByBackend)) {
    const service = backend.split('/').at(-2) ?? 'all';
    const points = byService.get(service) ?? [];
    points.push(...pointsOf(document, values, backend.split('/').at(-1)!));
    byService.set(service, points);
  }
  return byService;
}

function linePoints(document: ExperimentDocument, values: readonly (number | null)[]): PlotPoint[] {
  return pointsOf(document, values, runLabel(document));
}

function pointsOf(
  document: ExperimentDocument,
  values: readonly (number | null)[],
  series: string,
): PlotPoint[] {
  return values.flatMap((value, index) => {
    const seconds = document.series.seconds[index];
    return value === null || seconds === undefined ? [] : [{ seconds, value, series }];
  });
}

function editPoints(document: ExperimentDocument): PlotPoint[] {
  return document.config.edits.flatMap((edit) =>
    edit.secondsToEverywhere === null
      ? []
      : [{ seconds: edit.atSeconds, value: edit.secondsToEverywhere, series: runLabel(document) }],
  );
}

async function draw(
  title: string,
  axis: string,
  points: readonly PlotPoint[],
  mark: 'line' | 'point' = 'line',
) {
  const specification: TopLevelSpec = {
    width: PLOT_WIDTH,
    height: PLOT_HEIGHT,
    background: 'transparent',
    data: { values: [...points] },
    mark: mark === 'line' ? { type: 'line', strokeWidth: 1.5 } : { type: 'point', filled: true, size: 60 },
    encoding: {
      x: { field: 'seconds', type: 'quantitative', title: 'seconds' },
      y: { field: 'value', type: 'quantitative', title: axis },
      color: { field: 'series', type: 'nominal', title: null, scale: { range: SERIES_COLOURS } },
    },
    config: themeConfig(),
  };
  const view = new View(parse(compile(specification).spec), { renderer: 'none' });
  const svg = followPageColours(await view.toSVG());
  view.finalize();
  return { title, svg };
}

function themeConfig(): TopLevelSpec['config'] {
  const text = { labelColor: TEXT_COLOUR, titleColor: TEXT_COLOUR };
  return {
    axis: { ...text, gridColor: GRID_COLOUR, domainColor: TEXT_COLOUR, tickColor: TEXT_COLOUR },
    legend: text,
    view: { stroke: null },
    font: 'system-ui, sans-serif',
  };
}

function followPageColours(svg: string): string {
  return svg.replaceAll(TEXT_COLOUR, 'currentColor').replaceAll(GRID_COLOUR, 'var(--grid)');
}
