/**
 * Fetches a newer tree from peers, chunk by chunk, from one peer at a time, within the byte budget.
 *
 * Owns the peers that named a newer tree and the transfer under way. Relies on `tree-replacement.ts` for which
 * trees are worth fetching; whether a complete transfer is sound is judged by its receiver.
 */
import type { Clock } from '../../common/clock.js';
import { pick, type RandomSource } from '../../common/random.js';
import type { Endpoint } from '../../common/types.js';
import * as limits from './constants.js';
import type { Messenger, Sender } from './messenger.js';
import type { sailquay } from './pb/dissemination.js';
import { decodeStamp, encodeStamp, NO_TREE, supersedes, type TreeStamp } from './stamp.js';
import type { DisseminationCounters } from './statistics.js';
import { advance, transferPauseMs, type Chunk, type Progress } from './transfer-progress.js';
import type { TreeHolder } from './tree-holder.js';

/** A peer that has a tree that this member wants. */
interface Source extends Sender {
  readonly stamp: TreeStamp;
}

/** A complete transfer of nodes from a peer. */
export interface Transfer {
  /** Version 0: a snapshot. */
  readonly base: TreeStamp;
  readonly target: TreeStamp;
  readonly bytes: Uint8Array;
  readonly from: Sender;
}

/** What a puller works with. */
interface PullerOptions {
  readonly holder: TreeHolder;
  readonly messenger: Messenger;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly counters: DisseminationCounters;
  /** Called with each complete transfer. */
  readonly deliver: (pulled: Transfer) => void;
  /** Ends the transfers under way. */
  readonly signal: AbortSignal;
}

/** Knows which peers have a newer tree and runs one transfer at a time. */
export class Puller {
  private readonly sources = new Map<string, Source>();
  private running = false;
  private nextRequestId: number;
  private awaited:
    { readonly requestId: number; readonly resolve: (chunk: Chunk | undefined) => void } | undefined;

  constructor(private readonly options: PullerOptions) {
    this.nextRequestId = Math.floor(options.random() * 0xffff_ffff);
  }

  /** True while a newer tree is known of that is not in force yet. */
  isBehind(): boolean {
    return this.usableSources().length > 0;
  }

  /** Newest version that a peer has named; 0 when none is newer than the one in force. */
  newestVersionKnown(): number {
    return Math.max(0, ...this.usableSources().map((source) => source.stamp.version));
  }

  /** Notes that a peer has `stamp`, and starts fetching when that wins over the tree in force. */
  consider(stamp: TreeStamp, sender: Sender): void {
    if (!this.options.holder.wants(stamp)) return;
    this.sources.delete(sender.id);
    this.sources.set(sender.id, { ...sender, stamp });
    const oldest = this.sources.keys().next().value;
    if (this.sources.size > limits.SOURCES_KEPT && oldest !== undefined) this.sources.delete(oldest);
    if (!this.running) void this.run();
  }

  /** Takes a chunk from the network; throws `dissemination.bad-message`. */
  receive(wire: sailquay.dissemination.IPullChunk): void {
    const chunk = decodeChunk(wire);
    if (this.awaited && wire.requestId === this.awaited.requestId) this.awaited.resolve(chunk);
  }

  private usableSources(): Source[] {
    for (const [id, source] of this.sources) {
      if (!this.options.holder.wants(source.stamp)) this.sources.delete(id);
    }
    return [...this.sources.values()];
  }

  /** Among the peers with the newest tree, a random one, so that a crowd of newcomers spreads out. */
  private chooseSource(): Source | undefined {
    const [first, ...others] = this.usableSources();
    if (!first) return undefined;
    const newest = others.reduce(
      (best, source) => (supersedes(source.stamp, best.stamp) ? source : best),
      first,
    );
    return pick(
      [first, ...others].filter((source) => source.stamp.version === newest.stamp.version),
      this.options.random,
    );
  }

  private async run(): Promise<void> {
    this.running = true;
    try {
      for (
        let source = this.chooseSource();
        source && !this.options.signal.aborted;
        source = this.chooseSource()
      ) {
        this.options.counters.pullsStarted += 1;
        const pulled = await this.fetchFrom(source);
        this.sources.delete(source.id);
        if (pulled) this.options.deliver(pulled);
        else this.options.counters.pullsFailed += 1;
      }
    } finally {
      this.running = false;
    }
  }

  private async fetchFrom(source: Source): Promise<Transfer | undefined> {
    const have = this.options.holder.stamp();
    let progress: Progress | undefined;
    while (!this.options.signal.aborted) {
      const chunk = await this.requestChunk(source.endpoint, have, progress);
      if (!chunk) return undefined;
      progress = advance(progress, chunk, have);
      if (!progress) return undefined;
      if (progress.received >= chunk.totalBytes) {
        const { base, target } = progress;
        return { base, target, bytes: Buffer.concat(progress.parts), from: source };
      }
      // An announcement may have brought this member further than the transfer would.
      if (!this.options.holder.wants(progress.target)) return undefined;
      await this.pace(chunk.data.length);
    }
    return undefined;
  }

  private async requestChunk(
    endpoint: Endpoint,
    have: TreeStamp,
    progress: Progress | undefined,
  ): Promise<Chunk | undefined> {
    for (let attempt = 0; attempt < limits.CHUNK_ATTEMPTS; attempt += 1) {
      if (this.options.signal.aborted) return undefined;
      this.nextRequestId = (this.nextRequestId + 1) >>> 0;
      const requestId = this.nextRequestId;
      const answer = this.awaitChunk(requestId);
      const pullRequest = {
        requestId,
        have: encodeStamp(have),
        target: encodeStamp(progress?.target ?? NO_TREE),
        offset: progress?.received ?? 0,
      };
      this.options.messenger.send(endpoint, { pullRequest });
      const chunk = await answer;
      if (chunk) return chunk;
    }
    return undefined;
  }

  private awaitChunk(requestId: number): Promise<Chunk | undefined> {
    return new Promise((resolve) => {
      const timer = this.options.clock.schedule(limits.CHUNK_TIMEOUT_MS, () => settle(undefined));
      const settle = (chunk: Chunk | undefined): void => {
        timer.cancel();
        this.awaited = undefined;
        resolve(chunk);
      };
      this.awaited = { requestId, resolve: settle };
    });
  }

  private pace(bytes: number): Promise<void> {
    const pauseMs = transferPauseMs(bytes, this.options.messenger.availableBytesPerSecond());
    return new Promise((resolve) => this.options.clock.schedule(pauseMs, resolve));
  }
}

function decodeChunk(wire: sailquay.dissemination.IPullChunk): Chunk {
  return {
    base: decodeStamp(wire.base),
    target: decodeStamp(wire.target),
    offset: wire.offset ?? 0,
    totalBytes: wire.totalBytes ?? 0,
    data: wire.data ?? new Uint8Array(),
  };
}
