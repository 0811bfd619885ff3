/** Seeded service times. */
import type { RandomSource } from '../../common/random.js';
import type { ServiceTimeDistribution } from './types.js';

/** Spread of the lognormal distribution: its 99th percentile is about ten times its median. */
const LOGNORMAL_SIGMA = 1;

function standardNormal(random: RandomSource): number {
  return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
}

/** One service time in ms with mean `meanMs`. */
export function drawServiceTimeMs(
  distribution: ServiceTimeDistribution,
  meanMs: number,
  random: RandomSource,
): number {
  switch (distribution) {
    case 'fixed':
      return meanMs;
    case 'exponential':
      return -meanMs * Math.log(1 - random());
    case 'lognormal':
      return meanMs * Math.exp(LOGNORMAL_SIGMA * standardNormal(random) - LOGNORMAL_SIGMA ** 2 / 2);
  }
}
