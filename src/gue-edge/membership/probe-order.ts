/**
 * Whom to probe in which round. All members stand on a ring in the order of their id hashes, and in round k each
 * probes the one that is shift(k) places on. Members whose clocks agree thus probe every member exactly once an
 * interval, so that a crash is noticed within an interval or two, which independent random orders do not give; and
 * in n - 1 rounds a member probes all others. Clocks that disagree only make the order less even.
 *
 * Owns no state. Relies on all members seeing the same ring most of the time.
 */

/** Fractional part of the golden ratio: its multiples modulo 1 lie evenly, so that successive shifts are far apart. */
const GOLDEN_RATIO = 0.618034;

/** Places from the prober to its target in `round`, 1 to members - 1; takes every value once in members - 1 rounds. */
export function probeShift(round: number, members: number): number {
  const others = members - 1;
  return 1 + ((round * strideFor(others)) % others);
}

/** A step near the golden ratio of `others` that is coprime to it, so that successive targets are far apart. */
function strideFor(others: number): number {
  let stride = Math.max(1, Math.round(others * GOLDEN_RATIO));
  while (greatestCommonDivisor(stride, others) !== 1) stride += 1;
  return stride;
}

function greatestCommonDivisor(left: number, right: number): number {
  return right === 0 ? left : greatestCommonDivisor(right, left % right);
}
