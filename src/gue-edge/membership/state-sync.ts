/**
 * Anti-entropy: compares digests with one random member and exchanges the buckets of members that differ.
 *
 * Owns the state transfers under way. Relies on the digests of the member table; what arrives is merged like gossip.
 */
import type { TimerHandle } from '../../common/clock.js';
import { jitter, type RandomSource } from '../../common/random.js';
import { formatEndpoint, type Endpoint } from '../../common/types.js';
import {
  MEMBER_DIGEST_BUCKETS,
  GOSSIP_BYTES,
  SYNC_CHUNK_INTERVAL_MS,
  SYNC_REPEAT_MS,
  type MembershipTiming,
} from './constants.js';
import type { GuardedTimers } from './guarded-timers.js';
import { isRemoved } from './member-record.js';
import { bucketOf, type MemberTable } from './member-table.js';
import type { Messenger } from './messenger.js';
import { sampleMembers } from './sampling.js';
import { encodeEntry, MessageType, type WireMessage, type WireMessageFields } from './wire.js';

/** What the exchange works with. */
interface StateSyncContext {
  readonly table: MemberTable;
  readonly timers: GuardedTimers;
  readonly random: RandomSource;
  readonly timing: MembershipTiming;
  readonly messenger: Messenger;
}

interface Transfer {
  readonly to: Endpoint;
  readonly messages: WireMessageFields[];
}

/** State transfers under way at once; further requests are dropped. Bounds what one member sends. */
const MAX_TRANSFERS = 16;
const ALL_BUCKETS = 0xffff_ffff;

/** One exchange partner at a time is asked; any number may ask, MAX_TRANSFERS are served at once. */
export class StateSync {
  private readonly transfers: Transfer[] = [];
  private readonly askedAtMs = new Map<string, number>();
  private periodicTimer: TimerHandle | undefined;
  private transferTimer: TimerHandle | undefined;
  private stopped = false;

  constructor(private readonly context: StateSyncContext) {}

  start(): void {
    const { timers, timing, table, random } = this.context;
    this.periodicTimer = timers.schedule(jitter(timing.syncIntervalMs, 0.5, random), () => {
      const [peer] = sampleMembers(table.peers(), 1, random, (member) => !member.suspected);
      if (peer) this.request(peer.identity.control);
      this.start();
    });
  }

  stop(): void {
    this.stopped = true;
    this.periodicTimer?.cancel();
    this.transferTimer?.cancel();
  }

  /** Asks a member for what differs. */
  request(to: Endpoint): void {
    const { messenger, table } = this.context;
    messenger.send(to, { type: MessageType.SYNC_REQUEST, bucketDigests: table.bucketDigests() });
  }

  /** As `request`, at most once in SYNC_REPEAT_MS for each address. */
  requestSoon(to: Endpoint): void {
    const key = formatEndpoint(to);
    const nowMs = this.context.timers.now();
    const lastMs = this.askedAtMs.get(key);
    if (lastMs !== undefined && nowMs - lastMs < SYNC_REPEAT_MS) return;
    if (this.askedAtMs.size > MEMBER_DIGEST_BUCKETS) this.askedAtMs.clear();
    this.askedAtMs.set(key, nowMs);
    this.request(to);
  }

  onRequest(from: Endpoint, message: WireMessage): void {
    const differing = this.differingBuckets(message.bucketDigests);
    if (differing !== 0) this.enqueue(from, differing, differing);
  }

  /** Call after the entries were merged: sends this member's side of the buckets asked for. */
  onState(from: Endpoint, message: WireMessage): void {
    if (message.wantedBuckets !== 0) this.enqueue(from, message.wantedBuckets, 0);
  }

  private differingBuckets(theirs: readonly number[]): number {
    if (theirs.length !== MEMBER_DIGEST_BUCKETS) return ALL_BUCKETS;
    let mask = 0;
    this.context.table.bucketDigests().forEach((digest, bucket) => {
      if (digest !== theirs[bucket]) mask = (mask | (1 << bucket)) >>> 0;
    });
    return mask;
  }

  private enqueue(to: Endpoint, buckets: number, wantedBuckets: number): void {
    const inProgress = this.transfers.some((transfer) => formatEndpoint(transfer.to) === formatEndpoint(to));
    if (inProgress || this.transfers.length >= MAX_TRANSFERS) return;
    const chunks = this.chunksOf(buckets);
    const messages = chunks.map((entries, index) => ({
      type: MessageType.SYNC_STATE,
      entries,
      wantedBuckets: index === 0 ? wantedBuckets : 0,
    }));
    this.transfers.push({ to, messages });
    this.sendNextChunk();
  }

  /**
   * Entries of the buckets, in lists of at most GOSSIP_BYTES; one empty list when there are none. Failures are left
   * out: after a partition both sides hold the other for failed, and each member finds a real failure by itself.
   */
  private chunksOf(buckets: number): Uint8Array[][] {
    const chunks: Uint8Array[][] = [[]];
    let bytes = 0;
    for (const record of this.context.table.all()) {
      if ((buckets & (1 << bucketOf(record.idHash))) === 0 || record.lifecycle === 'failed') continue;
      const entry = encodeEntry(record, !isRemoved(record));
      if (bytes + entry.length > GOSSIP_BYTES) {
        chunks.push([]);
        bytes = 0;
      }
      bytes += entry.length + 2;
      chunks[chunks.length - 1]!.push(entry);
    }
    return chunks;
  }

  /** Serves the transfers in turn, one message an interval. */
  private sendNextChunk(): void {
    if (this.transferTimer || this.stopped) return;
    const transfer = this.transfers.shift();
    const message = transfer?.messages[0];
    if (!transfer || !message) return;
    if (this.context.messenger.send(transfer.to, message)) transfer.messages.shift();
    if (transfer.messages.length > 0) this.transfers.push(transfer);
    if (this.transfers.length === 0) return;
    this.transferTimer = this.context.timers.schedule(SYNC_CHUNK_INTERVAL_MS, () => {
      this.transferTimer = undefined;
      this.sendNextChunk();
    });
  }
}
