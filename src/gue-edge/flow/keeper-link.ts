/**
 * What a backup knows of one keeper's process: when it was heard, whether its shards were handed on, and which
 * batches of records have been applied. Makes batches idempotent and keeps them in order: a late copy of an old
 * batch would undo the records of a newer one. No input or output.
 */
import type { sailquay } from './pb/flow.js';
import { DigestedShardSet } from './shard-set.js';

/** Acknowledgements kept to answer copies of batches. A batch is sent again only until it is acknowledged. */
const REMEMBERED_ACKS = 64;

type BatchAck = sailquay.flow.RecordBatchAck.$Properties;

/** What becomes of a received batch: an old link's or an out-of-order one is ignored, a copy is acknowledged again. */
type BatchVerdict = 'ignore' | 'apply' | { readonly acknowledged: BatchAck };

/** State of one keeper's process at its backup. */
export class KeeperLink {
  /** Monotonic ms. */
  lastAckSentAtMs = Number.NEGATIVE_INFINITY;
  /** Monotonic ms. */
  lastHeardAtMs: number;
  generation = 0;
  /** Generation of the keeper whose shards this backup has begun to hand on; -1 when it has not. */
  lapsedGeneration = -1;
  readonly shards = new DigestedShardSet();
  private session = 0;
  private nextSequence = 1;
  private readonly acks = new Map<number, BatchAck>();

  constructor(
    /** Boot of the keeper's process. */
    readonly boot: number,
    nowMs: number,
  ) {
    this.lastHeardAtMs = nowMs;
  }

  /** The keeper has not yet taken notice that its shards were handed on. */
  get lapsed(): boolean {
    return this.generation <= this.lapsedGeneration;
  }

  /** Judges a batch; a newer session begins to number its batches anew. */
  receive(session: number, sequence: number): BatchVerdict {
    if (session < this.session) return 'ignore';
    if (session > this.session) this.beginSession(session);
    const acknowledged = this.acks.get(sequence);
    if (acknowledged) return { acknowledged };
    return sequence === this.nextSequence ? 'apply' : 'ignore';
  }

  /** Notes the answer to the batch that was applied, to give it again to a copy. */
  acknowledge(sequence: number, ack: BatchAck): void {
    this.nextSequence += 1;
    this.acks.set(sequence, ack);
    this.acks.delete(sequence - REMEMBERED_ACKS);
  }

  private beginSession(session: number): void {
    this.session = session;
    this.nextSequence = 1;
    this.acks.clear();
  }
}
