/** Compares TCP sequence numbers, which wrap around at 2^32. */

/** Returns true if sequence number `left` comes after `right` in arithmetic modulo 2^32. */
export function isSequenceAfter(left: number, right: number): boolean {
  return ((left - right) | 0) > 0;
}
