/**
 * The members last known together in a settled view, against which reachability is measured (dynamic voting).
 *
 * Only a quorate member changes its base: it adds members that have been active for ADMISSION_WAIT_MS without any
 * suspicion (so that a member cut off a moment ago does not add others before it notices), takes out planned
 * leavers, and drops failed ones when the view has gone settleMs without a failure. Dropping raises the epoch; a
 * member that meets a higher epoch adopts that base before it can become quorate, so two sides of successive
 * partitions never rest on different bases.
 *
 * Owns the base, and when a member last failed or was suspected. Relies on its callers to change it while quorate
 * only, and on member records for lifecycle and reachability. A member of the base that is not known counts as not
 * reached.
 */
import { ADMISSION_WAIT_MS } from './constants.js';
import { isRemoved, ownsShards, type MemberRecord } from './member-record.js';

/** Standing of the reachable members against the base. `tie`: exactly half, the lowest id among them. */
export type QuorumStanding = 'majority' | 'tie' | 'minority';

/** Base of the quorum: id hashes of members. */
export class QuorumBase {
  private currentEpoch = 0;
  private members = new Set<number>();
  private lastFailureMs = -Infinity;
  private lastSuspicionMs = -Infinity;

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

  /** Records a suspicion; no member is admitted for `ADMISSION_WAIT_MS`. */
  noteSuspicion(nowMs: number): void {
    this.lastSuspicionMs = nowMs;
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
    for (const record of live) if (isLeaver(record)) this.members.delete(record.idHash);
    const owners = live.filter(ownsShards);
    this.admit(owners, nowMs);
    if (!maySettle || nowMs - this.lastFailureMs < settleMs) return;
    const present = owners.map((record) => record.idHash).filter((idHash) => this.members.has(idHash));
    if (present.length > 0 && present.length < this.members.size) this.adopt(this.currentEpoch + 1, present);
  }

  private admit(owners: readonly MemberRecord[], nowMs: number): void {
    if (nowMs - this.lastSuspicionMs < ADMISSION_WAIT_MS) return;
    for (const record of owners) {
      const activeForMs = nowMs - record.changedAtMs;
      if (!record.suspected && activeForMs >= ADMISSION_WAIT_MS) this.members.add(record.idHash);
    }
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
