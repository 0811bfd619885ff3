/** Runs mixes of rare events over real flow keepers and checks that each flow keeps one back end. */
import type { ExecutionContext } from 'ava';
import { checkSeed, type ActionKind, type ScheduleOptions } from '../testing/flow-model/schedule.js';

/** Rare events that are drawn together, and the seeds with which they are played. */
export interface Mix {
  readonly name: string;
  readonly rareKinds: readonly ActionKind[];
  readonly rareIntervalMs: number;
  readonly nodes: number;
  readonly seeds: readonly number[];
  readonly durationMs?: number;
}

/** Duration of a mix in ms, unless it states another one. */
export const DEFAULT_DURATION_MS = 30_000;

function optionsFor(mix: Mix, seed: number): ScheduleOptions {
  return {
    seed,
    nodes: mix.nodes,
    lossRate: 0.02,
    spreadMs: 1_500,
    resetRate: 0.1,
    sprayRate: 0.8,
    budgetBytesPerSecond: 28_000,
    durationMs: mix.durationMs ?? DEFAULT_DURATION_MS,
    openings: 120,
    edits: 8,
    rareKinds: mix.rareKinds,
    rareIntervalMs: mix.rareIntervalMs,
  };
}

/** Plays each seed of a mix; fails with the violations of the first seed that has any. */
export async function checkMix(t: ExecutionContext, mix: Mix): Promise<void> {
  t.timeout(110_000);
  for (const seed of mix.seeds) {
    const result = await checkSeed(optionsFor(mix, seed));
    const trace = result.trace.join('\n');
    t.deepEqual(result.violations.slice(0, 5), [], `seed ${seed}\n${trace}`);
    t.true(result.established > 100, `seed ${seed}: only ${result.established} flows were established`);
    t.true(result.exceptions > 0);
  }
}
