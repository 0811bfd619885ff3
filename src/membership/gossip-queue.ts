/** News waiting to be spread: each piece is sent a limited number of times, the least sent first. */
import { RETRANSMIT_FACTOR } from './constants.js';
import type { MemberRecord } from './member-record.js';
import { encodeEntry } from './wire.js';

interface QueuedNews {
  readonly bytes: Uint8Array;
  /** The entry carries id, zone and endpoints. */
  readonly introduce: boolean;
  sent: number;
}

/** Bytes that a repeated protobuf field adds to an entry of less than 128 bytes. */
const ENTRY_HEADER_BYTES = 2;

/** Times each piece of news is sent by each member, in a region of `members`. */
export function retransmitLimit(members: number): number {
  return RETRANSMIT_FACTOR * Math.max(1, Math.ceil(Math.log10(members + 1)));
}

/** At most one piece of news for each member; later news takes the place of earlier. */
export class GossipQueue {
  private readonly queue = new Map<number, QueuedNews>();

  /** `memberCount` is asked at each selection. */
  constructor(private readonly memberCount: () => number) {}

  get size(): number {
    return this.queue.size;
  }

  /** Queues what is known of a member; an introduction not yet spread stays an introduction. */
  add(record: MemberRecord, introduce: boolean, accuserHash: number): void {
    const withIdentity = introduce || (this.queue.get(record.idHash)?.introduce ?? false);
    const bytes = encodeEntry(record, withIdentity, accuserHash);
    this.queue.set(record.idHash, { bytes, introduce: withIdentity, sent: 0 });
  }

  /** Takes entries of at most `maxBytes` in all and counts them as sent once. */
  take(maxBytes: number): Uint8Array[] {
    const limit = retransmitLimit(this.memberCount());
    const candidates = [...this.queue].sort(([, left], [, right]) => left.sent - right.sent);
    const taken: Uint8Array[] = [];
    let bytes = 0;
    for (const [idHash, news] of candidates) {
      const size = news.bytes.length + ENTRY_HEADER_BYTES;
      if (bytes + size > maxBytes) continue;
      bytes += size;
      taken.push(news.bytes);
      news.sent += 1;
      if (news.sent >= limit) this.queue.delete(idHash);
    }
    return taken;
  }
}
