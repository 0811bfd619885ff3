/**
 * Agreement on a protocol version without a handshake: every datagram carries the range its sender speaks.
 *
 * Owns no state. Relies on the range in each envelope.
 */

/** Lowest and highest protocol version spoken, both inclusive. */
export interface VersionRange {
  readonly min: number;
  readonly max: number;
}

/** Highest version in both ranges; undefined when there is none. */
export function highestCommonVersion(left: VersionRange, right: VersionRange): number | undefined {
  const highest = Math.min(left.max, right.max);
  return highest >= Math.max(left.min, right.min) ? highest : undefined;
}
