/**
 * Seeded pseudo-random numbers; every random decision of the project takes one of these.
 *
 * Owns the state of each generator. Relies on its seed alone, so that simulations can be repeated.
 */
import { mix32 } from './hash.js';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A source of uniform numbers in [0, 1). */
export type RandomSource = () => number;

/** Added to a seed before mixing, because mixing leaves zero unchanged. */
const SEED_OFFSET = 0x9e3779b9;
const TWO_POW_32 = 0x1_0000_0000;

/** A deterministic source: equal seeds give equal sequences, and near seeds give unrelated ones. */
export function seededRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(mix32(seed + SEED_OFFSET));
  return () => (generator.next() >>> 0) / TWO_POW_32;
}

/** Multiplies `valueMs` by a factor in [1 - spread, 1 + spread). */
export function jitter(valueMs: number, spread: number, random: RandomSource): number {
  return valueMs * (1 - spread + 2 * spread * random());
}

/** A random element of a non-empty list. */
export function pick<T>(items: readonly T[], random: RandomSource): T {
  const item = items[Math.floor(random() * items.length)];
  if (item === undefined) throw new RangeError('cannot pick from an empty list');
  return item;
}
