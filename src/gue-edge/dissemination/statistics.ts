/** Counters of the spreading of settings; totals since start. */

export interface DisseminationCounters {
  messagesIn: number;
  messagesOut: number;
  /** Payload bytes; envelopes are counted by control/. */
  bytesIn: number;
  bytesOut: number;
  /** Messages that the byte budget held back. */
  sendsDeferred: number;
  badMessages: number;
  /** Trees put in force, by the way they came. */
  appliedFromStore: number;
  appliedFromPush: number;
  appliedFromPull: number;
  /** Trees that were not applied because they have faults, do not match their digest, or are older. */
  rejectedInvalid: number;
  rejectedDigest: number;
  ignoredOlder: number;
  /** Trees of equal version with different content that were met. */
  divergences: number;
  corruptions: number;
  staleReads: number;
  pullsStarted: number;
  pullsFailed: number;
  snapshotsServed: number;
  deltasServed: number;
}

/** All zero. */
export function newCounters(): DisseminationCounters {
  return {
    messagesIn: 0,
    messagesOut: 0,
    bytesIn: 0,
    bytesOut: 0,
    sendsDeferred: 0,
    badMessages: 0,
    appliedFromStore: 0,
    appliedFromPush: 0,
    appliedFromPull: 0,
    rejectedInvalid: 0,
    rejectedDigest: 0,
    ignoredOlder: 0,
    divergences: 0,
    corruptions: 0,
    staleReads: 0,
    pullsStarted: 0,
    pullsFailed: 0,
    snapshotsServed: 0,
    deltasServed: 0,
  };
}
