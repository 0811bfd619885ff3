/** Faults on a settled fleet: one crash, a zone lost at once, planned replacement, a region without the platform. */
import type { HollowSpecification, FaultFigures, HollowSample, HostSample } from './types.js';
import type { ScaleCluster } from './scale-cluster.js';
import { daemonsOf, quantile, secondsToEverywhere } from './step-figures.js';

const OBSERVE_LIMIT_MS = 40_000;
const QUIET_MS = 3_000;
const REPLACED = 10;
const CUT_OFF_MS = 10_000;
const CATCH_UP_LIMIT_MS = 20_000;

/** Runs every fault in turn on the same fleet. */
export async function runFaults(
  cluster: ScaleCluster,
  fleet: readonly HollowSpecification[],
  progress: (line: string) => void,
): Promise<FaultFigures[]> {
  const faults = new FaultSteps(cluster, [...fleet]);
  const figures: FaultFigures[] = [];
  for (const run of [faults.oneCrash, faults.rollingReplacement, faults.platformCutOff, faults.zoneLoss]) {
    const result = await run.call(faults);
    progress(
      `  ${result.fault}: all detected ${result.secondsToAllDetected ?? '-'} s, recovered ${result.secondsToRecovered ?? '-'} s`,
    );
    figures.push(result);
  }
  return figures;
}

class FaultSteps {
  constructor(
    private readonly cluster: ScaleCluster,
    private running: HollowSpecification[],
  ) {}

  oneCrash(): Promise<FaultFigures> {
    return this.crash('one crash', this.running.slice(5, 6));
  }

  zoneLoss(): Promise<FaultFigures> {
    const lost = this.running[0]!.zone;
    return this.crash(
      'zone loss',
      this.running.filter(({ zone }) => zone === lost),
    );
  }

  /** Daemons leave one after the other, each replaced by a new one. */
  async rollingReplacement(): Promise<FaultFigures> {
    await this.cluster.mark();
    const before = handoverBytes(await this.cluster.sample());
    const leaving = this.running.slice(10, 10 + REPLACED);
    const startedAtMs = Date.now();
    for (const old of leaving) {
      const replacement = { ...old, id: `${old.id}-next` };
      await this.cluster.startDaemons([replacement]);
      await this.cluster.end('/leave', [old.id]);
      this.running = [...this.running.filter(({ id }) => id !== old.id), replacement];
    }
    const recoveredMs = await this.untilRecovered(startedAtMs);
    const samples = await this.cluster.sample();
    return {
      ...this.figures('rolling replacement', leaving.length),
      falselySuspected: this.falselySuspected(daemonsOf(samples), new Set(leaving.map(({ id }) => id))),
      secondsToRecovered: recoveredMs === undefined ? null : recoveredMs / 1_000,
      handoverBytesPerFailed: Math.max(0, handoverBytes(samples) - before) / leaving.length,
    };
  }

  /** A region is cut off from the platform while the tree is edited, then healed. */
  async platformCutOff(): Promise<FaultFigures> {
    await this.cluster.mark();
    const ids = this.running.map(({ id }) => id);
    await this.cluster.blockPlatform(ids, true);
    const edits = [await this.cluster.edit()];
    await new Promise((resolve) => setTimeout(resolve, CUT_OFF_MS));
    edits.push(await this.cluster.edit());
    const healedAtWallMs = Date.now();
    await this.cluster.blockPlatform(ids, false);
    const last = { ...edits.at(-1)!, startedAtWallMs: healedAtWallMs };
    const everywhere = (samples: readonly HostSample[]): boolean =>
      secondsToEverywhere(daemonsOf(samples), last) !== undefined;
    await this.cluster.waitFor(everywhere, CATCH_UP_LIMIT_MS);
    const daemons = daemonsOf(await this.cluster.sample());
    return {
      ...this.figures('platform out of reach for 10 s', 0),
      falselySuspected: this.falselySuspected(daemons, new Set()),
      secondsToCatchUp: secondsToEverywhere(daemons, last) ?? null,
    };
  }

  private async crash(fault: string, failed: readonly HollowSpecification[]): Promise<FaultFigures> {
    await this.cluster.mark();
    const failedIds = new Set(failed.map(({ id }) => id));
    const before = handoverBytes(await this.cluster.sample(), failedIds);
    const startedAtMs = Date.now();
    await this.cluster.end('/crash', [...failedIds]);
    this.running = this.running.filter(({ id }) => !failedIds.has(id));
    const allSaw = (samples: readonly HostSample[]): boolean =>
      daemonsOf(samples).every((daemon) => detectedAtWallMs(daemon, failedIds) !== undefined);
    await this.cluster.waitFor(allSaw, OBSERVE_LIMIT_MS);
    const recoveredMs = await this.untilRecovered(startedAtMs);
    const samples = await this.cluster.sample();
    const daemons = daemonsOf(samples);
    const detected = daemons.map((daemon) => detectedAtWallMs(daemon, failedIds));
    const seconds = detected.flatMap((at) => (at === undefined ? [] : (at - startedAtMs) / 1_000));
    return {
      ...this.figures(fault, failed.length),
      secondsToHalfDetected: seconds.length * 2 >= daemons.length ? (quantile(seconds, 0.5) ?? null) : null,
      secondsToAllDetected: seconds.length === daemons.length ? Math.max(...seconds) : null,
      falselySuspected: this.falselySuspected(daemons, failedIds),
      secondsToRecovered: recoveredMs === undefined ? null : recoveredMs / 1_000,
      handoverBytesPerFailed: Math.max(0, handoverBytes(samples) - before) / failed.length,
    };
  }

  private figures(fault: string, failed: number): FaultFigures {
    return {
      ...{
        fault,
        members: this.running.length + failed,
        failed,
        falselySuspected: 0,
        handoverBytesPerFailed: 0,
      },
      ...{
        secondsToHalfDetected: null,
        secondsToAllDetected: null,
        secondsToRecovered: null,
        secondsToCatchUp: null,
      },
    };
  }

  /** Ms from `startedAtMs` until every shard was kept again and no daemon was taking one over. */
  private async untilRecovered(startedAtMs: number): Promise<number | undefined> {
    const recovered = (samples: readonly HostSample[]): boolean => {
      const daemons = daemonsOf(samples);
      const kept = daemons.reduce((sum, daemon) => sum + daemon.shardsKept, 0);
      return kept >= 4_096 && daemons.every((daemon) => daemon.shardsAcquiring === 0);
    };
    const tookMs = await this.cluster.waitFor(recovered, OBSERVE_LIMIT_MS);
    const recoveredAtMs = Date.now();
    await new Promise((resolve) => setTimeout(resolve, QUIET_MS));
    return tookMs === undefined ? undefined : recoveredAtMs - startedAtMs;
  }

  private falselySuspected(daemons: readonly HollowSample[], ended: ReadonlySet<string>): number {
    const wrong = daemons.flatMap(({ changes }) =>
      changes.filter(
        ({ memberId, state }) => !ended.has(memberId) && (state === 'suspect' || state === 'gone'),
      ),
    );
    return new Set(wrong.map(({ memberId }) => memberId)).size;
  }
}

/** When a daemon had seen every failed member gone; undefined while it has not. */
function detectedAtWallMs(daemon: HollowSample, failedIds: ReadonlySet<string>): number | undefined {
  const gone = daemon.changes.filter(({ memberId, state }) => state === 'gone' && failedIds.has(memberId));
  if (new Set(gone.map(({ memberId }) => memberId)).size < failedIds.size) return undefined;
  return Math.max(...gone.map(({ atWallMs }) => atWallMs));
}

function handoverBytes(samples: readonly HostSample[], except: ReadonlySet<string> = new Set()): number {
  return daemonsOf(samples)
    .filter(({ id }) => !except.has(id))
    .reduce((sum, daemon) => sum + daemon.kinds.handover.bytesOut, 0);
}
