/** What other slices read of the flow keeper. */

import type { RefusalReason } from '../placement/types.js';

/** Why an opening was refused; `no-service`: nothing is served at the address. */
export type RefusalCause = RefusalReason | 'no-service';

/** Counters of one balancer's flows; all totals since start unless said otherwise. */
export interface FlowStatistics {
  /** Flows open now (kept by this balancer). */
  readonly open: number;
  /** Records held as a backup now. */
  readonly replicated: number;
  readonly opened: number;
  readonly exceptions: number;
  readonly refused: number;
  /** The same by reason. */
  readonly refusals: Readonly<Partial<Record<RefusalCause, number>>>;
  /** Openings dropped without an answer because ownership was not settled; the caller repeats them. */
  readonly deferred: number;
  readonly relayed: number;
  readonly unknownDropped: number;
  readonly unknownReset: number;
  /** Shards held as keeper, as backup, and being taken over, now. */
  readonly shardsKept: number;
  readonly shardsBackedUp: number;
  readonly shardsAcquiring: number;
  /** SYNs of openings that already wait for their backup. */
  readonly duplicateOpenings: number;
  /** Openings repeated on another back end after a reset. */
  readonly retried: number;
  /** Unknown flows whose back end was reconstructed as the first choice. */
  readonly reconstructed: number;
  /** Records that named a back end of another service; never used. */
  readonly wrongServiceRecords: number;
  /** Openings in which the backup's own placement won. */
  readonly adopted: number;
  /** Packets dropped because no holder of their shard was known or the hop limit was reached. */
  readonly unroutable: number;
}
