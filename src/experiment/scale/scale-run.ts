/** The scale run: one dimension at a time at increasing sizes, then faults; hollow daemons on loopback. */
import { cpus } from 'node:os';
import { generateTree, type TreeSize } from './tree-generator.js';
import { ProcessLauncher } from '../process-launcher.js';
import { RunDirectory } from '../run-directory.js';
import { runFaults } from './fault-steps.js';
import { machineMemory, ScaleCluster, type ScaleEdit } from './scale-cluster.js';
import { daemonsOf, stepFigures } from './step-figures.js';
import type { FaultFigures, HollowSpecification, HostSample, ScaleReport, StepFigures } from './types.js';

const BYTES_PER_MEGABYTE = 1_000_000;
const SETTLE_LIMIT_MS = 120_000;
const PRELOAD_LIMIT_MS = 60_000;
const MAX_MEMORY_SHARE = 0.5;
const ZONES_PER_REGION = 4;
const SMALL_TREE = { services: 100, backends: 150 };

/** What one step varies. */
export interface ScaleStep {
  readonly dimension: 'members' | 'backends' | 'flows' | 'openings' | 'changes' | 'regions';
  readonly members: number;
  readonly regions: number;
  readonly services: number;
  readonly backends: number;
  readonly preloadedFlows: number;
  readonly openingsPerSecond: number;
  readonly changesPerSecond: number;
}

const BASE_STEP: Omit<ScaleStep, 'dimension'> = {
  members: 12,
  regions: 1,
  ...SMALL_TREE,
  preloadedFlows: 0,
  openingsPerSecond: 0,
  changesPerSecond: 0.2,
};

/** Every step, in the order in which they run. */
export const SCALE_STEPS: readonly ScaleStep[] = [
  ...[12, 50, 100, 200, 367].map((members) => step('members', { members, openingsPerSecond: 10 })),
  ...[150, 1_000, 3_000, 6_300].map((backends) =>
    step('backends', { backends, services: Math.min(backends, Math.round((backends * 4_300) / 6_300)) }),
  ),
  ...[0, 100, 500, 2_000].map((openingsPerSecond) => step('openings', { members: 6, openingsPerSecond })),
  ...[5_000, 25_000, 100_000].map((preloadedFlows) => step('flows', { members: 6, preloadedFlows })),
  ...[0.1, 0.5, 2].map((changesPerSecond) => step('changes', { members: 50, changesPerSecond })),
  step('regions', { members: 1_100, regions: 3, openingsPerSecond: 5, changesPerSecond: 0.1 }),
];

function step(dimension: ScaleStep['dimension'], change: Partial<ScaleStep>): ScaleStep {
  return { ...BASE_STEP, ...change, dimension };
}

/** Options of a scale run. */
export interface ScaleOptions {
  readonly seed: number;
  readonly secondsPerStep: number;
  /** Dimensions to run; all when empty. */
  readonly dimensions: readonly string[];
  readonly maxMembers: number;
  readonly faults: boolean;
  readonly progress: (line: string) => void;
}

/** Daemon specifications spread evenly over regions and their zones. */
export function specifyDaemons(members: number, regions: number): HollowSpecification[] {
  return Array.from({ length: members }, (_unused, index) => {
    const region = `region-${index % regions}`;
    const zone = `${region}-zone-${Math.floor(index / regions) % ZONES_PER_REGION}`;
    return { id: `hollow-${index}`, region, zone };
  });
}

/** Runs the steps and faults and collects the report; stops before half of the machine's memory is in use. */
export async function runScale(options: ScaleOptions): Promise<ScaleReport> {
  const run = new ScaleRun(options);
  const steps: (StepFigures & { dimension: string })[] = [];
  const notRun: string[] = [];
  for (const each of SCALE_STEPS) {
    if (options.dimensions.length > 0 && !options.dimensions.includes(each.dimension)) continue;
    if (each.members > options.maxMembers) {
      notRun.push(`${each.dimension} at ${each.members} members: above --max-members`);
      continue;
    }
    const figures = await run.step(each, notRun);
    if (figures) steps.push({ dimension: each.dimension, ...figures });
  }
  const faults: FaultFigures[] = options.faults ? await run.faults(notRun) : [];
  return {
    scenario: 'scale',
    seed: options.seed,
    machine: {
      cores: cpus().length,
      memoryMegabytes: Math.round(machineMemory().totalBytes / BYTES_PER_MEGABYTE),
      node: process.version,
    },
    emptyHostMegabytes: Math.round(run.emptyHostBytes / BYTES_PER_MEGABYTE),
    steps,
    faults,
    peakProcesses: run.peakProcesses,
    peakResidentMegabytes: Math.round(run.peakResidentBytes / BYTES_PER_MEGABYTE),
    notRun,
  };
}

class ScaleRun {
  emptyHostBytes = 0;
  peakProcesses = 0;
  peakResidentBytes = 0;

  constructor(private readonly options: ScaleOptions) {}

  async step(each: ScaleStep, notRun: string[]): Promise<StepFigures | undefined> {
    const label = describeStep(each);
    this.options.progress(`step ${label}`);
    return this.withCluster(each, async (cluster) => {
      if (!(await this.settle(cluster, each.members, each.regions))) {
        notRun.push(`${label}: not settled within ${SETTLE_LIMIT_MS / 1_000} s`);
        return undefined;
      }
      const figures = await this.measure(cluster, each);
      this.options.progress(
        `  ${figures.bytesOutPerSecond} B/s out, ${figures.cpuFraction} of a core, ${figures.residentMegabytes} MB a daemon, ` +
          `in force ${figures.secondsToEverywhereMax ?? 'not everywhere'} s, ${figures.falseSuspicions} false suspicions; ` +
          `B/s by kind ${JSON.stringify(figures.bytesOutByKind)}`,
      );
      return figures;
    });
  }

  async faults(notRun: string[]): Promise<FaultFigures[]> {
    const members = Math.min(200, this.options.maxMembers);
    const size = { ...BASE_STEP, dimension: 'members' as const, members };
    this.options.progress(`faults with ${members} members`);
    const inOneRegion = await this.withCluster(size, async (cluster) => {
      if (!(await this.settle(cluster, members, 1))) return undefined;
      return runFaults(cluster, specifyDaemons(members, 1), this.options.progress);
    });
    if (!inOneRegion) notRun.push('faults: the fleet did not settle');
    return inOneRegion ?? [];
  }

  private async measure(cluster: ScaleCluster, each: ScaleStep): Promise<StepFigures> {
    const { openingsPerSecond, preloadedFlows } = each;
    await cluster.setLoad({ openingsPerSecond, preloadedFlows, lifetimeMs: 0 });
    if (preloadedFlows > 0) {
      const opened = (samples: readonly HostSample[]): boolean =>
        daemonsOf(samples).every((daemon) => daemon.openFlows >= 0.9 * preloadedFlows);
      await cluster.waitFor(opened, PRELOAD_LIMIT_MS);
    }
    await cluster.mark();
    const requestsBefore = storeRequests(cluster);
    const before = await cluster.sample();
    const edits = await this.editFor(cluster, each.changesPerSecond);
    const after = await cluster.sample();
    this.notePeaks(cluster, after);
    const { regions, backends, services, changesPerSecond } = each;
    const requests = storeRequests(cluster) - requestsBefore;
    const { emptyHostBytes } = this;
    return stepFigures({
      ...{ regions, backends, services, openingsPerSecond, changesPerSecond },
      ...{ before, after, edits, emptyHostBytes, storeRequests: requests },
    });
  }

  /** Edits at the given rate for the time of a step and leaves the last ones time to spread. */
  private async editFor(cluster: ScaleCluster, changesPerSecond: number): Promise<ScaleEdit[]> {
    const edits: ScaleEdit[] = [];
    const endsAtMs = Date.now() + this.options.secondsPerStep * 1_000;
    while (Date.now() < endsAtMs) {
      edits.push(await cluster.edit());
      await new Promise((resolve) => setTimeout(resolve, 1_000 / changesPerSecond));
    }
    await new Promise((resolve) => setTimeout(resolve, 4_000));
    return edits;
  }

  private async settle(cluster: ScaleCluster, members: number, regions: number): Promise<boolean> {
    const perRegion = Math.floor(members / regions);
    const settled = (samples: readonly HostSample[]): boolean => {
      const daemons = daemonsOf(samples);
      return (
        daemons.length === members &&
        daemons.every(
          (each) => each.members >= perRegion && each.version > 0 && each.shardsAcquiring === 0,
        ) &&
        daemons.reduce((sum, each) => sum + each.shardsKept, 0) >= 4_096 * regions
      );
    };
    const tookMs = await cluster.waitFor(settled, SETTLE_LIMIT_MS);
    return tookMs !== undefined;
  }

  private async withCluster<T>(
    size: TreeSizeAndMembers,
    use: (cluster: ScaleCluster) => Promise<T>,
  ): Promise<T | undefined> {
    const { usedBytes, totalBytes } = machineMemory();
    if (usedBytes > MAX_MEMORY_SHARE * totalBytes) return undefined;
    const launcher = new ProcessLauncher();
    const directory = new RunDirectory();
    const daemons = specifyDaemons(size.members, size.regions);
    const zones = [...new Set(daemons.map(({ zone }) => zone))];
    const tree = generateTree({ services: size.services, backends: size.backends, zones });
    let cluster: ScaleCluster | undefined;
    try {
      if (this.emptyHostBytes === 0) this.emptyHostBytes = await measureEmptyHost(directory, tree);
      cluster = await ScaleCluster.start({ daemons, tree, seed: this.options.seed }, launcher, directory);
      return await use(cluster);
    } finally {
      if (cluster) await cluster.close();
      else await launcher.stopAll();
      directory.remove();
    }
  }

  private notePeaks(cluster: ScaleCluster, samples: readonly HostSample[]): void {
    const residentBytes = samples.reduce((sum, sample) => sum + sample.residentBytes, 0);
    this.peakResidentBytes = Math.max(this.peakResidentBytes, residentBytes);
    this.peakProcesses = Math.max(this.peakProcesses, cluster.hostCount + 1);
  }
}

type TreeSizeAndMembers = Omit<TreeSize, 'zones'> & { readonly members: number; readonly regions: number };

async function measureEmptyHost(
  directory: RunDirectory,
  tree: Parameters<typeof ScaleCluster.start>[0]['tree'],
): Promise<number> {
  const cluster = await ScaleCluster.start({ daemons: [], tree, seed: 1 }, new ProcessLauncher(), directory);
  const [sample] = await cluster.sample();
  await cluster.close();
  return sample!.residentBytes;
}

/** Requests to the platform since it started, all kinds. */
function storeRequests(cluster: ScaleCluster): number {
  return Object.values(cluster.platform.counters().byKind).reduce((sum, count) => sum + count, 0);
}

function describeStep(each: ScaleStep): string {
  return (
    `${each.dimension}: ${each.members} daemons, ${each.backends} back ends, ${each.preloadedFlows} flows and ` +
    `${each.openingsPerSecond} openings/s a daemon, ${each.changesPerSecond} changes/s`
  );
}
