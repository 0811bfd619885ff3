/** What other slices read of the flow keeper. */

/** Counters of one balancer's flows; all totals since start unless said otherwise. */
export interface FlowStatistics {
  /** Flows open now (kept by this balancer). */
  readonly open: number;
  /** Records held as a backup now. */
  readonly replicated: number;
  readonly opened: number;
  readonly exceptions: number;
  readonly refused: number;
  /** Openings dropped without an answer because ownership was not settled; the caller repeats them. */
  readonly deferred: number;
  readonly relayed: number;
  readonly unknownDropped: number;
  readonly unknownReset: number;
  /** Shards held as keeper, as backup, and being taken over, now. */
  readonly shardsKept: number;
  readonly shardsBackedUp: number;
  readonly shardsAcquiring: number;
}
