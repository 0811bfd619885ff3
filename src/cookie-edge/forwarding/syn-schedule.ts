/**
 * When callers send the copies of a SYN, from which follows how long a SYN may be kept: once its caller has sent the
 * next copy, another balancer may have placed that, and a kept one would open the flow a second time. Does no input or
 * output.
 */

/** Times in ms after the first SYN of both copies and of the end of the attempt. Source: the platform. */
const NEXT_SYN_AT_MS = [200, 600, 1_400] as const;

/** Copies that a caller sends after the first SYN. */
const MAX_RETRANSMISSIONS = NEXT_SYN_AT_MS.length - 1;

/** True for the copy after which a caller sends no further one. */
export function isLastTransmission(retransmissions: number): boolean {
  return retransmissions === MAX_RETRANSMISSIONS;
}

/** Time in ms from the first SYN to the copy of this number; an unknown number counts as the first. */
export function sinceFirstSynMs(retransmissions: number): number {
  return NEXT_SYN_AT_MS[retransmissions - 1] ?? 0;
}

/** Time in ms from a transmission to the next one, or to the end of the attempt; an unknown count has the shortest. */
export function untilNextTransmissionMs(retransmissions: number): number {
  if (!Number.isInteger(retransmissions) || retransmissions < 1 || retransmissions > MAX_RETRANSMISSIONS) {
    return NEXT_SYN_AT_MS[0];
  }
  return (NEXT_SYN_AT_MS[retransmissions] as number) - (NEXT_SYN_AT_MS[retransmissions - 1] as number);
}
