/**
 * What a member knows of a member, and the order of that knowledge.
 *
 * Owns no state; records are immutable and kept by the member table.
 */
import { hashString, combine32, mix32 } from '../../common/hash.js';
import type { Endpoint } from '../../common/types.js';
import type { Member, MemberState } from './types.js';

/** Planned course of a member; each state overrules the earlier ones of the same incarnation and refutation. */
export const LIFECYCLES = ['joining', 'active', 'leaving', 'failed', 'left'] as const;
export type Lifecycle = (typeof LIFECYCLES)[number];

/** Addresses and zone of a member: fixed for one incarnation. */
export interface MemberIdentity {
  readonly id: string;
  readonly zone: string;
  readonly control: Endpoint;
  readonly admin: Endpoint;
  readonly data: Endpoint;
}

/** Version of the knowledge of one member: a later one overrules an earlier one. */
export interface MemberVersion {
  /** Milliseconds since the epoch at process start. */
  readonly incarnation: number;
  /** Suspicions the process refuted since. */
  readonly refutation: number;
}

/** Knowledge of one member. */
export interface MemberRecord extends MemberVersion {
  readonly identity: MemberIdentity;
  /** `hashString(id)`: names the member in messages. */
  readonly idHash: number;
  readonly lifecycle: Lifecycle;
  readonly suspected: boolean;
  /** Monotonic ms of the last change of lifecycle or suspicion. */
  readonly changedAtMs: number;
}

/** Negative when `left` is older than `right`, zero when equal. */
export function compareVersions(left: MemberVersion, right: MemberVersion): number {
  return left.incarnation - right.incarnation || left.refutation - right.refutation;
}

/** True for a member that failed or left. */
export function isRemoved(record: MemberRecord): boolean {
  return record.lifecycle === 'failed' || record.lifecycle === 'left';
}

/** True for a member that owns shards: active, also while suspected. */
export function ownsShards(record: MemberRecord): boolean {
  return record.lifecycle === 'active';
}

/** Digest contribution of a record: equal on all members that know the same. Suspicions do not count. */
export function recordDigest(record: MemberRecord): number {
  const seconds = Math.floor(record.incarnation / 1_000);
  const version = combine32(combine32(seconds, record.incarnation % 1_000), record.refutation);
  return mix32(combine32(record.idHash, version) ^ LIFECYCLES.indexOf(record.lifecycle));
}

/** The state as other slices see it. */
function memberState(record: MemberRecord): MemberState {
  if (isRemoved(record)) return 'gone';
  return record.lifecycle === 'active' && record.suspected ? 'suspect' : (record.lifecycle as MemberState);
}

/** The member as other slices see it. */
export function toMember(record: MemberRecord, region: string, settingsVersion: number): Member {
  return {
    ...record.identity,
    region,
    incarnation: record.incarnation,
    state: memberState(record),
    settingsVersion,
  };
}

/** First knowledge of a member. */
export function newRecord(
  identity: MemberIdentity,
  version: MemberVersion,
  lifecycle: Lifecycle,
  nowMs: number,
): MemberRecord {
  return {
    identity,
    idHash: hashString(identity.id),
    incarnation: version.incarnation,
    refutation: version.refutation,
    lifecycle,
    suspected: false,
    changedAtMs: nowMs,
  };
}
