/**
 * Remembers at which back end a caller completed the handshake of a flow whose SYN may have been sent to several. The
 * others send their SYN+ACKs again for seconds, and each of them replaces the caller's cookie. Any daemon can then lead
 * the flow to its back end, also one that did not see the handshake. Owns the records, oldest first.
 */
import { MAX_HANDSHAKE_RECORDS, MAX_RECORD_ADVANCE_BYTES } from './constants.js';
import { flowKey } from './flow-key.js';
import type { FlowAddresses, HandshakeRecord } from './types.js';

/** A record and the monotonic ms at which it expires. */
interface StoredRecord {
  readonly record: HandshakeRecord;
  readonly expiresAtMs: number;
}

/** Records of this daemon and of its peers. Times are monotonic ms. */
export class HandshakeRecords {
  private readonly stored = new Map<string, StoredRecord>();

  /** `retentionMs`: lifetime of a record, the longest lifetime of a flow. */
  constructor(private readonly retentionMs: number) {}

  /** Stores a record; it replaces an earlier one of the same addresses. */
  add(record: HandshakeRecord, nowMs: number): void {
    const key = flowKey(record);
    this.stored.delete(key);
    this.stored.set(key, { record, expiresAtMs: nowMs + this.retentionMs });
    this.removeOldest(nowMs);
  }

  /** Returns the record of the flow with these addresses and about this acknowledgement. */
  find(flow: FlowAddresses, acknowledgement: number, nowMs: number): HandshakeRecord | undefined {
    if (this.stored.size === 0) return undefined;
    const stored = this.stored.get(flowKey(flow));
    if (!stored || nowMs >= stored.expiresAtMs) return undefined;
    const advanceBytes = (acknowledgement - stored.record.acknowledgement) | 0;
    return Math.abs(advanceBytes) <= MAX_RECORD_ADVANCE_BYTES ? stored.record : undefined;
  }

  /** Removes the record of an earlier flow with these addresses. */
  remove(flow: FlowAddresses): void {
    if (this.stored.size > 0) this.stored.delete(flowKey(flow));
  }

  /** Returns all records that have not expired. */
  all(nowMs: number): HandshakeRecord[] {
    return [...this.stored.values()]
      .filter(({ expiresAtMs }) => nowMs < expiresAtMs)
      .map(({ record }) => record);
  }

  /** Removes expired records, and the oldest ones if there are too many. */
  private removeOldest(nowMs: number): void {
    for (const [key, { expiresAtMs }] of this.stored) {
      if (nowMs < expiresAtMs && this.stored.size <= MAX_HANDSHAKE_RECORDS) return;
      this.stored.delete(key);
    }
  }
}
