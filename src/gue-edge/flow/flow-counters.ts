/** Counters of a forwarder. */
import type { FlowStatistics, RefusalCause } from './types.js';

/** Mutable counters; totals since start. */
export class FlowCounters {
  opened = 0;
  exceptions = 0;
  /** Openings refused, by reason. */
  readonly refusals = new Map<RefusalCause, number>();
  deferred = 0;
  relayed = 0;
  unknownDropped = 0;
  unknownReset = 0;
  /** SYNs of openings that already wait for their backup. */
  duplicateOpenings = 0;
  /** Openings repeated on another back end after a reset. */
  retried = 0;
  /** Unknown flows whose back end was reconstructed as the first choice. */
  reconstructed = 0;
  /** Records that named a back end of another service. */
  wrongServiceRecords = 0;
  /** Records in which the backup's own placement won. */
  adopted = 0;
  /** Packets dropped because no holder of their shard was known or the hop limit was reached. */
  unroutable = 0;

  /** Counts a refused opening. */
  countRefusal(cause: RefusalCause): void {
    this.refusals.set(cause, (this.refusals.get(cause) ?? 0) + 1);
  }

  /** The counters with the gauges of the moment. */
  snapshot(
    gauges: Pick<FlowStatistics, 'open' | 'replicated' | 'shardsKept' | 'shardsBackedUp' | 'shardsAcquiring'>,
  ): FlowStatistics {
    return {
      ...gauges,
      opened: this.opened,
      exceptions: this.exceptions,
      refused: [...this.refusals.values()].reduce((sum, count) => sum + count, 0),
      refusals: Object.fromEntries(this.refusals),
      deferred: this.deferred,
      relayed: this.relayed,
      unknownDropped: this.unknownDropped,
      unknownReset: this.unknownReset,
      duplicateOpenings: this.duplicateOpenings,
      retried: this.retried,
      reconstructed: this.reconstructed,
      wrongServiceRecords: this.wrongServiceRecords,
      adopted: this.adopted,
      unroutable: this.unroutable,
    };
  }
}
