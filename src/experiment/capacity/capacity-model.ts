/**
 * What one daemon needs at the size to design for: the base step plus, for each dimension, the measured slope times
 * the distance from the base. Every part carries its fit, and says whether the size lies within what was measured.
 */
import { fitLine, valueAt, type LinearFit, type Point } from './slopes.js';
import type { ScaleDimension } from './recorded-types.js';
import type { ProbeCost, StepFigures } from './recorded-types.js';
import { DAEMON_SHARE } from './design-size.js';

/** Steps of every recorded report. */
export type RecordedStep = StepFigures & { readonly dimensions: readonly string[] };

/** Reads one figure of a step. */
export type FigureReader = (step: RecordedStep) => number;

/** What one dimension adds. */
export interface Contribution {
  readonly dimension: ScaleDimension | 'base' | 'probes' | 'process';
  /** What the line runs over, and its unit. */
  readonly variable: string;
  readonly target: number;
  readonly base: number;
  readonly largestMeasured: number;
  /** Absent for the base, which is read, not fitted. */
  readonly fit: LinearFit | undefined;
  readonly value: number;
}

interface FittedDimension {
  readonly dimension: ScaleDimension;
  readonly variable: string;
  readonly read: FigureReader;
  readonly target: number;
}

const FITTED: readonly FittedDimension[] = [
  {
    dimension: 'members',
    variable: 'members of the region',
    read: (step) => step.members,
    target: DAEMON_SHARE.membersPerRegion,
  },
  {
    dimension: 'backends',
    variable: 'back ends of the tree',
    read: (step) => step.backends,
    target: DAEMON_SHARE.backends,
  },
  {
    dimension: 'openings',
    variable: 'openings/s of a daemon',
    read: (step) => step.openingsPerSecond,
    target: DAEMON_SHARE.openingsPerSecond,
  },
  {
    dimension: 'flows',
    variable: 'open flows of a daemon',
    read: (step) => step.flowsPerDaemon,
    target: DAEMON_SHARE.flows,
  },
  {
    dimension: 'full-tree-changes',
    variable: 'changes/s of a full tree',
    read: (step) => step.changesPerSecond,
    target: DAEMON_SHARE.changesPerSecond,
  },
];

/** Parts of a figure at the size to design for; dimensions that were not measured at two sizes are left out. */
export function contributions(steps: readonly RecordedStep[], read: FigureReader): Contribution[] {
  const base = baseStep(steps);
  if (!base) return [];
  const fitted = FITTED.flatMap((each) => contribution(steps, read, each) ?? []);
  return [
    {
      dimension: 'base',
      variable: `${base.members} idle daemons, ${base.backends} back ends`,
      target: 0,
      base: 0,
      largestMeasured: 0,
      fit: undefined,
      value: read(base),
    },
    ...fitted,
  ];
}

/** Processor time: the stub probes of the fitted steps are taken off, and real probes at the design's rate added. */
export function cpuContributions(
  steps: readonly RecordedStep[],
  probes: readonly ProbeCost[],
): Contribution[] {
  const fits = probeFits(probes);
  const rate = DAEMON_SHARE.probesPerSecond;
  if (!fits) return contributions(steps, (step) => step.cpuFraction);
  const withoutStub = (step: RecordedStep): number =>
    step.cpuFraction - fits.stub.slope * step.probesPerSecond;
  const largestMeasured = Math.max(...probes.map(({ httpProbesPerSecond }) => httpProbesPerSecond));
  const real: Contribution = {
    dimension: 'probes',
    variable: 'HTTP probes/s of a daemon',
    target: rate,
    base: 0,
    largestMeasured,
    fit: fits.http,
    value: fits.http.slope * rate,
  };
  return [...contributions(steps, withoutStub), real];
}

/** Sum of the parts. */
export function total(parts: readonly Contribution[]): number {
  return parts.reduce((sum, part) => sum + part.value, 0);
}

/** Root of the summed squares of the parts' residuals. */
export function totalResidual(parts: readonly Contribution[]): number {
  return Math.sqrt(parts.reduce((sum, part) => sum + (part.fit?.residual ?? 0) ** 2, 0));
}

/** Dimensions that a whole account needs and that were not measured. */
export function missingDimensions(steps: readonly RecordedStep[]): string[] {
  return FITTED.filter((each) => !pointsOf(steps, each, () => 0)).map(({ dimension }) => dimension);
}

/** Fit of a figure over one dimension; undefined when it was not measured at two sizes. */
export function fitDimension(
  steps: readonly RecordedStep[],
  dimension: ScaleDimension,
  read: FigureReader,
): LinearFit | undefined {
  const fitted = FITTED.find((each) => each.dimension === dimension);
  const points = fitted && pointsOf(steps, fitted, read);
  return points && fitLine(points);
}

/** Processor time of one probe a second, as a share of a core, with the stub's taken from the same rates. */
function probeFits(
  probes: readonly ProbeCost[],
): { readonly http: LinearFit; readonly stub: LinearFit } | undefined {
  if (probes.length < 2) return undefined;
  const line = (read: (probe: ProbeCost) => number): LinearFit =>
    fitLine(probes.map((probe) => ({ x: probe.httpProbesPerSecond, y: read(probe) })));
  return {
    http: line((probe) => probe.httpCpuFraction),
    stub: line((probe) => probe.stubCpuFraction),
  };
}

/** The step that every slope starts from: the smallest of the back-end steps. */
function baseStep(steps: readonly RecordedStep[]): RecordedStep | undefined {
  const idle = steps.filter((step) => step.dimensions.includes('backends'));
  return idle.sort((left, right) => left.backends - right.backends)[0];
}

function contribution(
  steps: readonly RecordedStep[],
  read: FigureReader,
  fitted: FittedDimension,
): Contribution | undefined {
  const points = pointsOf(steps, fitted, read);
  if (!points) return undefined;
  const fit = fitLine(points);
  const sizes = points.map(({ x }) => x);
  const base = Math.min(...sizes);
  return {
    dimension: fitted.dimension,
    variable: fitted.variable,
    target: fitted.target,
    base,
    fit,
    largestMeasured: Math.max(...sizes),
    // A part that falls with the size is noise, or a cost that was shared out; it must not hide the others.
    value: Math.max(0, valueAt(fit, fitted.target) - valueAt(fit, base)),
  };
}

function pointsOf(
  steps: readonly RecordedStep[],
  fitted: FittedDimension,
  read: FigureReader,
): Point[] | undefined {
  const points = steps
    .filter((step) => step.dimensions.includes(fitted.dimension))
    .map((step) => ({ x: fitted.read(step), y: read(step) }));
  return new Set(points.map(({ x }) => x)).size >= 2 ? points : undefined;
}
