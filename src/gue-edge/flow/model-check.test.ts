/**
 * Random interleavings of openings, settings, suspicion, pauses, joins, leaves and crashes over real flow keepers whose
 * membership views differ. The rules stand in model/; a failure prints its seed, and `checkSeed` shortens the schedule.
 */
import test from 'ava';
import * as z from 'zod';
import type { ActionKind } from '../testing/flow-model/schedule.js';
import { checkMix, DEFAULT_DURATION_MS, type Mix } from './model-check-test-support.js';

/** The intervals leave time to replace a lost backup: keeper and backup together are not survived. */
const MIXES: readonly Mix[] = [
  {
    name: 'suspicion and short pauses',
    rareKinds: ['suspect', 'pause-short'],
    rareIntervalMs: 5_000,
    nodes: 4,
    seeds: [1, 105],
  },
  {
    name: 'joins and leaves',
    rareKinds: ['join', 'leave', 'suspect'],
    rareIntervalMs: 8_000,
    nodes: 3,
    seeds: [2, 203],
  },
  {
    name: 'crashes and long pauses',
    rareKinds: ['crash', 'pause-long'],
    rareIntervalMs: 20_000,
    nodes: 5,
    seeds: [3, 408],
  },
  {
    name: 'partitions of a zone',
    rareKinds: ['partition'],
    rareIntervalMs: 30_000,
    nodes: 3,
    seeds: [3, 7],
  },
  // Guards against a keeper that takes a new base while a former backup can still take the shard over with the old one.
  {
    name: 'pauses and cuts',
    rareKinds: ['pause-long', 'partition'],
    rareIntervalMs: 13_000,
    nodes: 5,
    seeds: [22_011],
    durationMs: 60_000,
  },
  {
    name: 'everything',
    rareKinds: ['crash', 'join', 'restart', 'leave', 'suspect', 'pause-long'],
    rareIntervalMs: 22_000,
    nodes: 5,
    seeds: [4, 304],
  },
];

const handMixSchema = z.object({
  name: z.string().default('a mix that was given by hand'),
  rareKinds: z.array(z.custom<ActionKind>((kind) => typeof kind === 'string')),
  rareIntervalMs: z.number().positive(),
  nodes: z.number().int().positive(),
  seeds: z.array(z.number().int()),
  durationMs: z.number().positive().default(DEFAULT_DURATION_MS),
});

/** Returns the mix in the environment variable `MODEL_CHECK_MIX`, as JSON, if it is set; otherwise all mixes. */
function chooseMixes(): readonly Mix[] {
  const given = process.env['MODEL_CHECK_MIX'];
  return given === undefined ? MIXES : [handMixSchema.parse(JSON.parse(given))];
}

// One after the other: they share one thread, and the time limit of each would else run through all of them.
for (const mix of chooseMixes()) {
  test.serial(`one back end for each flow under ${mix.name}`, (t) => checkMix(t, mix));
}
