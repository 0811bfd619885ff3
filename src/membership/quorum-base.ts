/**
 * The members last known together in a settled view, against which reachability is measured (dynamic voting).
 *
 * Only a quorate member changes its base: it adds members that become active, takes out those that leave as planned, and
 * drops failed ones when the view has gone settleMs without a failure. Dropping raises the epoch; a member that meets a
 * higher epoch adopts that base before it can become quorate, so two sides of successive partitions never rest on different bases.
 */
import { isRemoved, ownsShards, type MemberRecord } from './member-record.js';

/** Standing of the reachable members against the base. `tie`: exactly half, the lowest id among them. */
export type QuorumStanding = 'majority' | 'tie' | 'minority';

/** Base of the quorum: id hashes of members. */
export class QuorumBase {
  private currentEpoch = 0;
  private members = new Set<number>();
  private lastFailureMs = -Infinity;

  /** 0 while there is no base. */
  get epoch(): number {
    return this.currentEpoch;
  }

  /** Id hashes of the members in the base. */
  get idHashes(): number[] {
    return [...this.members];
  }

  /** A member failed; the view is not settled. */
  noteFailure(nowMs: number): void {
    this.lastFailureMs = nowMs;
  }

  /** Makes the first base of a region from the live owners; without any nothing happens. */
  create(live: readonly MemberRecord[]): void {
    const owners = live.filter(ownsShards);
    if (owners.length === 0) return;
    this.adopt(
      1,
      owners.map((record) => record.idHash),
    );
  }

  /** Takes over a base of a higher epoch. */
  adopt(epoch: number, idHashes: Iterable<number>): void {
    this.currentEpoch = epoch;
    this.members = new Set(idHashes);
  }

  /** Measures the base, without planned leavers, against the members that `isReachable` accepts. */
  standing(
    find: (idHash: number) => MemberRecord | undefined,
    isReachable: (record: MemberRecord) => boolean,
  ): QuorumStanding {
    const counted = [...this.members].map(find).filter((record) => !record || !isLeaver(record));
    const reached = counted.filter((record) => record && !isRemoved(record) && isReachable(record));
    if (reached.length * 2 > counted.length) return 'majority';
    if (counted.length === 0) return this.currentEpoch > 0 ? 'majority' : 'minority';
    if (reached.length * 2 < counted.length) return 'minority';
    return hasLowestId(counted, reached) ? 'tie' : 'minority';
  }

  /** Brings the base up to date; call it only while quorate. With `maySettle` failed members are dropped in time. */
  evolve(live: readonly MemberRecord[], nowMs: number, settleMs: number, maySettle: boolean): void {
    const owners = new Set(live.filter(ownsShards).map((record) => record.idHash));
    for (const record of live) if (isLeaver(record)) this.members.delete(record.idHash);
    for (const idHash of owners) this.members.add(idHash);
    if (!maySettle || nowMs - this.lastFailureMs < settleMs || owners.size === 0) return;
    if (this.members.size === owners.size) return;
    this.adopt(this.currentEpoch + 1, owners);
  }

  /** Takes out a planned leaver; call it only while quorate. */
  remove(idHash: number): void {
    this.members.delete(idHash);
  }
}

function isLeaver(record: MemberRecord): boolean {
  return record.lifecycle === 'leaving' || record.lifecycle === 'left';
}

function hasLowestId(
  counted: readonly (MemberRecord | undefined)[],
  reached: readonly (MemberRecord | undefined)[],
): boolean {
  let lowest: MemberRecord | undefined;
  for (const record of counted) {
    if (!record) return false;
    if (!lowest || record.identity.id < lowest.identity.id) lowest = record;
  }
  return reached.includes(lowest);
}
