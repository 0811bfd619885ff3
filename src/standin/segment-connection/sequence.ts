/** Arithmetic on TCP sequence numbers, which wrap at 2^32. */

/** `sequence + count`, wrapped to an unsigned 32-bit integer. */
export function advanceSequence(sequence: number, count: number): number {
  return (sequence + count) >>> 0;
}

/** Signed distance from `from` to `to`; negative when `to` lies before `from`. */
export function sequenceDistance(from: number, to: number): number {
  return (to - from) | 0;
}
