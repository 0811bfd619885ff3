/**
 * Schedule of a caller's SYN retransmissions, which limits how long a SYN may be held. Once the caller has
 * retransmitted, a peer may have placed the retransmission, and a held SYN would open the flow a second time. Does no
 * input or output.
 */

/** Time in ms from the first SYN until the caller's attempt to open a flow ends. Set by the platform. */
export const OPENING_ATTEMPT_MS = 1_400;

/** Times of both retransmissions and of the end of the attempt, in ms after the first SYN. Set by the platform. */
const NEXT_SYN_AT_MS = [200, 600, OPENING_ATTEMPT_MS] as const;

/** Number of SYNs that a caller sends after the first one. */
const MAX_RETRANSMISSIONS = NEXT_SYN_AT_MS.length - 1;

/** Returns true if the caller sends no further SYN after this one. */
export function isLastTransmission(retransmissions: number): boolean {
  return retransmissions === MAX_RETRANSMISSIONS;
}

/** Returns the time in ms from the first SYN to this retransmission. An unknown count is treated as the first SYN. */
export function sinceFirstSynMs(retransmissions: number): number {
  return NEXT_SYN_AT_MS[retransmissions - 1] ?? 0;
}

/** Returns the time in ms until the next SYN or the end of the attempt. An unknown count gets the shortest interval. */
export function untilNextTransmissionMs(retransmissions: number): number {
  if (!Number.isInteger(retransmissions) || retransmissions < 1 || retransmissions > MAX_RETRANSMISSIONS) {
    return NEXT_SYN_AT_MS[0];
  }
  return (NEXT_SYN_AT_MS[retransmissions] as number) - (NEXT_SYN_AT_MS[retransmissions - 1] as number);
}
