/** The steps of a scale run: one dimension varied at a time, the rest at a small base. */
import { servicesFor } from './tree-generator.js';

/** What a step can vary. */
export type ScaleDimension =
  'members' | 'backends' | 'flows' | 'openings' | 'changes' | 'full-tree-changes' | 'small-site' | 'regions';

/** Size and load of one step. */
export interface ScaleStep {
  readonly dimension: ScaleDimension;
  readonly members: number;
  readonly regions: number;
  readonly services: number;
  readonly backends: number;
  readonly preloadedFlows: number;
  readonly openingsPerSecond: number;
  readonly changesPerSecond: number;
}

const ZONES_PER_REGION = 4;
const FULL_BACKENDS = 6_300;

/** Step that every slope starts from. */
export const BASE_STEP: Omit<ScaleStep, 'dimension'> = {
  members: 12,
  regions: 1,
  services: 100,
  backends: 150,
  preloadedFlows: 0,
  openingsPerSecond: 0,
  changesPerSecond: 0,
};

/** Every step, in the order in which they run. */
export const SCALE_STEPS: readonly ScaleStep[] = [
  step('small-site', { members: 3, services: 2, backends: 13, openingsPerSecond: 20 }),
  ...[12, 50, 100, 200, 367].map((members) => step('members', { members, changesPerSecond: 0.2 })),
  ...[150, 1_000, 3_000, FULL_BACKENDS].map((backends) =>
    step('backends', { backends, services: servicesFor(backends) }),
  ),
  ...[0, 50, 100, 500].map((openingsPerSecond) => step('openings', { openingsPerSecond })),
  ...[0, 5_000, 25_000, 50_000].map((preloadedFlows) => step('flows', { members: 6, preloadedFlows })),
  ...[0, 0.5, 2].map((changesPerSecond) => step('changes', { changesPerSecond })),
  ...[0, 0.1, 0.3].map((changesPerSecond) =>
    step('full-tree-changes', {
      members: 6,
      backends: FULL_BACKENDS,
      services: servicesFor(FULL_BACKENDS),
      changesPerSecond,
    }),
  ),
  step('regions', { members: 1_100, regions: 3, changesPerSecond: 0.1 }),
];

function step(dimension: ScaleDimension, change: Partial<ScaleStep>): ScaleStep {
  return { ...BASE_STEP, ...change, dimension };
}

/** One daemon of a fleet. */
interface DaemonPlace {
  readonly id: string;
  readonly region: string;
  readonly zone: string;
}

/** Daemons spread evenly over regions and their zones. */
export function specifyDaemons(members: number, regions: number): DaemonPlace[] {
  return Array.from({ length: members }, (_unused, index) => {
    const region = `region-${index % regions}`;
    const zone = `${region}-zone-${Math.floor(index / regions) % ZONES_PER_REGION}`;
    return { id: `hollow-${index}`, region, zone };
  });
}

/** A step in one line. */
export function describeStep(each: ScaleStep): string {
  return (
    `${each.dimension}: ${each.members} daemons, ${each.backends} back ends, ${each.preloadedFlows} flows and ` +
    `${each.openingsPerSecond} openings/s a daemon, ${each.changesPerSecond} changes/s`
  );
}
