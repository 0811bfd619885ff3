/**
 * All known members, and what may change them: reports of others, this member's own findings, its own course, and time.
 *
 * Owns the records, the tree version that each member last reported, and the digests by which two members compare
 * their tables. Relies on `member-merge.ts` for which report overrules which record.
 */
import type { Clock } from '../../common/clock.js';
import { Subject } from '../../common/event-stream.js';
import { hashString } from '../../common/hash.js';
import { MEMBER_DIGEST_BUCKETS, FAILED_RETENTION_MS, LEFT_RETENTION_MS } from './constants.js';
import {
  isRemoved,
  newRecord,
  recordDigest,
  type Lifecycle,
  type MemberIdentity,
  type MemberRecord,
  type MemberVersion,
} from './member-record.js';
import { decideMerge, type MergeOutcome } from './member-merge.js';
import type { MemberUpdate } from './wire.js';

/** One change of the table; `previous` is undefined for a new member. */
export interface RecordChange {
  readonly record: MemberRecord;
  readonly previous: MemberRecord | undefined;
  /** True when another member reported the change, false when this one decided it. */
  readonly heard: boolean;
  /** Hash of the accuser's id for a suspicion; 0 otherwise. */
  readonly accuserHash: number;
}

/** Mutable table of the members that this one knows. */
export class MemberTable {
  /** Every change, after it took effect. */
  readonly changes = new Subject<RecordChange>();
  private readonly records = new Map<number, MemberRecord>();
  private readonly versions = new Map<number, number>();
  private readonly digests = new Uint32Array(MEMBER_DIGEST_BUCKETS);
  private readonly liveByHash = new Map<number, MemberRecord>();
  private liveRecords: readonly MemberRecord[] | undefined;
  private livePeers: readonly MemberRecord[] | undefined;
  private ringRecords: readonly MemberRecord[] | undefined;
  private selfRecord: MemberRecord;

  constructor(
    private readonly clock: Clock,
    identity: MemberIdentity,
    incarnation: number,
  ) {
    this.selfRecord = newRecord(identity, { incarnation, refutation: 0 }, 'joining', clock.now());
    this.records.set(this.selfRecord.idHash, this.selfRecord);
    this.liveByHash.set(this.selfRecord.idHash, this.selfRecord);
    this.toggleDigest(this.selfRecord);
  }

  get self(): MemberRecord {
    return this.selfRecord;
  }

  get(idHash: number): MemberRecord | undefined {
    return this.records.get(idHash);
  }

  /** Every record, removed members included. */
  all(): Iterable<MemberRecord> {
    return this.records.values();
  }

  /** Members that are neither failed nor left, self included. */
  live(): readonly MemberRecord[] {
    this.liveRecords ??= [...this.liveByHash.values()];
    return this.liveRecords;
  }

  /** Number of live members, self included. */
  get liveCount(): number {
    return this.liveByHash.size;
  }

  /** Live members other than this one. */
  peers(): readonly MemberRecord[] {
    this.livePeers ??= this.live().filter((record) => record !== this.selfRecord);
    return this.livePeers;
  }

  /** Live members, self included, in the order of their id hashes. */
  ring(): readonly MemberRecord[] {
    this.ringRecords ??= [...this.live()].sort((left, right) => left.idHash - right.idHash);
    return this.ringRecords;
  }

  /** One digest for each bucket of members; removed members do not count. */
  bucketDigests(): number[] {
    return [...this.digests];
  }

  /** Tree version the member last reported; 0 when unknown. */
  settingsVersion(idHash: number): number {
    return this.versions.get(idHash) ?? 0;
  }

  /** As `settingsVersion`, by member id. */
  settingsVersionOf(id: string): number {
    return this.settingsVersion(hashString(id));
  }

  /** Records the tree version that a live member reported; true when it differs from the one known. */
  noteSettingsVersion(idHash: number, version: number): boolean {
    const record = this.records.get(idHash);
    if (!record || isRemoved(record) || version === 0 || this.versions.get(idHash) === version) return false;
    this.versions.set(idHash, version);
    return true;
  }

  /** Merges what another member reported, and returns what became of it. */
  merge(update: MemberUpdate): MergeOutcome {
    const known = this.records.get(update.idHash);
    const { outcome, record, isNewProcess } = decideMerge(known, update, {
      isSelf: known === this.selfRecord,
      nowMs: this.clock.now(),
    });
    if (isNewProcess) this.versions.delete(update.idHash);
    if (record) this.store(record, true, update.accuserHash);
    return outcome;
  }

  /** Marks a live member as suspected by `accuserHash`; false when it already is, or is no longer live. */
  suspect(idHash: number, accuserHash: number): boolean {
    const known = this.records.get(idHash);
    if (!known || known === this.selfRecord || known.suspected || isRemoved(known)) return false;
    this.store({ ...known, suspected: true, changedAtMs: this.clock.now() }, false, accuserHash);
    return true;
  }

  /** Removes a member that stayed suspected. */
  fail(idHash: number): void {
    const known = this.records.get(idHash);
    if (!known || known === this.selfRecord || isRemoved(known)) return;
    this.store({ ...known, lifecycle: 'failed', suspected: false, changedAtMs: this.clock.now() }, false);
  }

  /** Moves this member on in its own lifecycle. */
  advanceSelf(lifecycle: Lifecycle): void {
    this.store({ ...this.selfRecord, lifecycle, changedAtMs: this.clock.now() }, false);
  }

  /**
   * Makes this member's version newer than `version`, which accused it. A later incarnation is that of a predecessor
   * whose clock was ahead; this process is a new one all the same.
   */
  refute(version: MemberVersion): void {
    const { selfRecord } = this;
    const next =
      version.incarnation > selfRecord.incarnation
        ? { incarnation: version.incarnation + 1, refutation: 0 }
        : { incarnation: selfRecord.incarnation, refutation: version.refutation + 1 };
    this.store({ ...selfRecord, ...next, suspected: false }, false);
  }

  /** Members that failed and may only have been cut off. */
  failed(): MemberRecord[] {
    if (this.liveByHash.size === this.records.size) return [];
    return [...this.records.values()].filter((record) => record.lifecycle === 'failed');
  }

  /** Forgets members removed long ago. */
  prune(): void {
    if (this.liveByHash.size === this.records.size) return;
    const nowMs = this.clock.now();
    for (const [idHash, record] of this.records) {
      if (record === this.selfRecord || !isRemoved(record)) continue;
      const retentionMs = record.lifecycle === 'failed' ? FAILED_RETENTION_MS : LEFT_RETENTION_MS;
      if (nowMs - record.changedAtMs <= retentionMs) continue;
      this.records.delete(idHash);
      this.versions.delete(idHash);
    }
  }

  private store(record: MemberRecord, heard: boolean, accuserHash = 0): void {
    const previous = this.records.get(record.idHash);
    if (previous) this.toggleDigest(previous);
    this.toggleDigest(record);
    this.records.set(record.idHash, record);
    if (isRemoved(record)) this.liveByHash.delete(record.idHash);
    else this.liveByHash.set(record.idHash, record);
    if (previous === this.selfRecord) this.selfRecord = record;
    this.liveRecords = undefined;
    this.livePeers = undefined;
    this.ringRecords = undefined;
    this.changes.push({ record, previous, heard, accuserHash: record.suspected ? accuserHash : 0 });
  }

  private toggleDigest(record: MemberRecord): void {
    if (isRemoved(record)) return;
    this.digests[bucketOf(record.idHash)]! ^= recordDigest(record);
  }
}

/** True when a member that was live is now held for failed. */
export function isFailure({ record, previous }: RecordChange): boolean {
  return record.lifecycle === 'failed' && previous !== undefined && !isRemoved(previous);
}

/** Bucket of the state digest that a member belongs to: the top bits of its id hash. */
export function bucketOf(idHash: number): number {
  return idHash >>> (32 - Math.log2(MEMBER_DIGEST_BUCKETS));
}
