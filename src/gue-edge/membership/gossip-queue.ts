/**
 * Updates waiting to be gossiped: each is sent a limited number of times, the least sent first.
 *
 * Owns the encoded updates and how often each was sent. Relies on the number of live members for the limit.
 */
import { RETRANSMIT_FACTOR } from './constants.js';
import type { MemberRecord } from './member-record.js';
import { encodeEntry } from './wire.js';

interface QueuedUpdate {
  readonly bytes: Uint8Array;
  /** The entry carries id, zone and endpoints. */
  readonly introduce: boolean;
}

/** Bytes that a repeated protobuf field adds to an entry of less than 128 bytes. */
const ENTRY_HEADER_BYTES = 2;

/** Times that each member sends each update, in a region of `members`. */
export function retransmitLimit(members: number): number {
  return RETRANSMIT_FACTOR * Math.max(1, Math.ceil(Math.log10(members + 1)));
}

/** At most one update for each member; a later one replaces an earlier one. */
export class GossipQueue {
  /** Level k holds the updates sent k times, oldest first, by id hash. */
  private readonly levels: Map<number, QueuedUpdate>[] = [new Map()];
  private count = 0;

  /** `memberCount` is asked at each selection. */
  constructor(private readonly memberCount: () => number) {}

  get size(): number {
    return this.count;
  }

  /** Queues what is known of a member; an introduction not yet spread stays an introduction. */
  add(record: MemberRecord, introduce: boolean, accuserHash: number): void {
    const replaced = this.remove(record.idHash);
    const withIdentity = introduce || (replaced?.introduce ?? false);
    const bytes = encodeEntry(record, withIdentity, accuserHash);
    this.levels[0]!.set(record.idHash, { bytes, introduce: withIdentity });
    this.count += 1;
  }

  /** Takes entries of at most `maxBytes` in all and counts them as sent once. */
  take(maxBytes: number): Uint8Array[] {
    if (this.count === 0) return [];
    const limit = retransmitLimit(this.memberCount());
    const taken: { readonly idHash: number; readonly update: QueuedUpdate; readonly level: number }[] = [];
    let bytes = 0;
    for (let level = 0; level < this.levels.length; level += 1) {
      for (const [idHash, update] of this.levels[level]!) {
        const size = update.bytes.length + ENTRY_HEADER_BYTES;
        if (bytes + size > maxBytes) break;
        bytes += size;
        taken.push({ idHash, update, level });
      }
    }
    for (const { idHash, update, level } of taken) this.promote(idHash, update, level, limit);
    return taken.map(({ update }) => update.bytes);
  }

  private promote(idHash: number, update: QueuedUpdate, level: number, limit: number): void {
    this.levels[level]!.delete(idHash);
    if (level + 1 >= limit) {
      this.count -= 1;
      return;
    }
    this.levels[level + 1] ??= new Map();
    this.levels[level + 1]!.set(idHash, update);
  }

  private remove(idHash: number): QueuedUpdate | undefined {
    for (const level of this.levels) {
      const update = level.get(idHash);
      if (!update) continue;
      level.delete(idHash);
      this.count -= 1;
      return update;
    }
    return undefined;
  }
}
