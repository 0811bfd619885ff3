/**
 * Answers pull requests: deltas from the change log, or a snapshot, in chunks that fit a datagram.
 *
 * Owns the transfers kept ready for peers in the middle of one. Relies on the change log for deltas, and on the
 * control channel to hold back what exceeds the byte budget.
 */
import type { Clock } from '../../common/clock.js';
import type { Endpoint } from '../../common/types.js';
import { CHUNK_BYTES, SEND_ATTEMPTS, SEND_RETRY_MS, TRANSFER_CACHE_ENTRIES } from './constants.js';
import { snapshotOf, type DistributedTree } from './distributed-tree.js';
import type { Messenger, Sender } from './messenger.js';
import { encodeNodeSet } from './node-set.js';
import type { sailquay } from './pb/dissemination.js';
import { decodeStamp, encodeStamp, NO_TREE, sameTree, stampKey, type TreeStamp } from './stamp.js';
import type { DisseminationCounters } from './statistics.js';
import type { TreeHolder } from './tree-holder.js';

/** A delta or snapshot, encoded. */
interface Transfer {
  /** Version 0: a snapshot. */
  readonly base: TreeStamp;
  readonly target: TreeStamp;
  readonly bytes: Uint8Array;
}

export class TransferServer {
  /** Least recently used first. A peer in the middle of a transfer finishes it although a newer tree is in force. */
  private readonly cache = new Map<string, Transfer>();

  constructor(
    private readonly holder: TreeHolder,
    private readonly messenger: Messenger,
    private readonly clock: Clock,
    private readonly counters: DisseminationCounters,
  ) {}

  /** Answers one request with one chunk. */
  serve(request: sailquay.dissemination.IPullRequest, sender: Sender): void {
    const tree = this.holder.current();
    if (!tree || this.holder.stamp().version === 0) return;
    const have = decodeStamp(request.have);
    const continued = this.cached(have, decodeStamp(request.target));
    const transfer = continued ?? this.prepare(have, tree);
    const offset = continued ? Math.min(request.offset ?? 0, transfer.bytes.length) : 0;
    const pullChunk = {
      requestId: request.requestId ?? 0,
      base: encodeStamp(transfer.base),
      target: encodeStamp(transfer.target),
      offset,
      totalBytes: transfer.bytes.length,
      data: transfer.bytes.subarray(offset, offset + CHUNK_BYTES),
    };
    this.sendPatiently(sender.endpoint, { pullChunk }, SEND_ATTEMPTS);
  }

  private sendPatiently(to: Endpoint, body: sailquay.dissemination.IMessage, attemptsLeft: number): void {
    if (this.messenger.send(to, body) || attemptsLeft <= 1) return;
    this.clock.schedule(SEND_RETRY_MS, () => this.sendPatiently(to, body, attemptsLeft - 1));
  }

  private cached(have: TreeStamp, target: TreeStamp): Transfer | undefined {
    if (target.version === 0) return undefined;
    const delta = this.touch(transferKey(have, target));
    return delta ?? this.touch(transferKey(NO_TREE, target));
  }

  private touch(key: string): Transfer | undefined {
    const transfer = this.cache.get(key);
    if (!transfer) return undefined;
    this.cache.delete(key);
    this.cache.set(key, transfer);
    return transfer;
  }

  private prepare(have: TreeStamp, tree: DistributedTree): Transfer {
    const transfer = this.prepareDelta(have, tree) ?? this.prepareSnapshot(tree);
    if (transfer.base.version === 0) this.counters.snapshotsServed += 1;
    else this.counters.deltasServed += 1;
    return transfer;
  }

  private prepareDelta(have: TreeStamp, tree: DistributedTree): Transfer | undefined {
    if (have.version === 0 || sameTree(have, tree.stamp)) return undefined;
    const known = this.touch(transferKey(have, tree.stamp));
    if (known) return known;
    const changes = this.holder.log.changesSince(have);
    if (!changes || changes.nodes.size * 2 > tree.entries.size) return undefined;
    return this.remember({ base: have, target: tree.stamp, bytes: encodeNodeSet(changes) });
  }

  private prepareSnapshot(tree: DistributedTree): Transfer {
    const known = this.touch(transferKey(NO_TREE, tree.stamp));
    if (known) return known;
    const bytes = encodeNodeSet(snapshotOf(tree));
    return this.remember({ base: NO_TREE, target: tree.stamp, bytes });
  }

  private remember(transfer: Transfer): Transfer {
    this.cache.set(transferKey(transfer.base, transfer.target), transfer);
    const oldest = this.cache.keys().next().value;
    if (this.cache.size > TRANSFER_CACHE_ENTRIES && oldest !== undefined) this.cache.delete(oldest);
    return transfer;
  }
}

function transferKey(base: TreeStamp, target: TreeStamp): string {
  return `${stampKey(base)}>${stampKey(target)}`;
}
