/**
 * The members last known together in a settled view, against which reachability is measured.
 *
 * Members are added when they become active and taken out when they leave as planned. A failed member stays in until
 * a quorate view has gone settleMs without a failure; then the view becomes the new base. A view without quorum
 * never becomes the base, so of two sides of a partition at most one can shrink it.
 */
import { isRemoved, ownsShards, type MemberRecord } from './member-record.js';
import type { RecordChange } from './member-table.js';

/** Standing of the reachable members against the base. `tie`: exactly half, the lowest id among them. */
export type QuorumStanding = 'majority' | 'tie' | 'minority';

/** Base of the quorum, by id hash and id. */
export class QuorumBase {
  private readonly members = new Map<number, string>();
  private lastFailureMs = -Infinity;

  get size(): number {
    return this.members.size;
  }

  /** Takes in one change of the member table. */
  note({ record, previous }: RecordChange, nowMs: number): void {
    if (record.lifecycle === 'active') this.members.set(record.idHash, record.identity.id);
    if (record.lifecycle === 'leaving' || record.lifecycle === 'left') this.members.delete(record.idHash);
    const wasLive = previous !== undefined && !isRemoved(previous);
    if (record.lifecycle === 'failed' && wasLive) this.lastFailureMs = nowMs;
  }

  /** Measures the base against the members that `isReachable` accepts. */
  standing(records: readonly MemberRecord[], isReachable: (record: MemberRecord) => boolean): QuorumStanding {
    const reached = records.filter((record) => this.members.has(record.idHash) && isReachable(record));
    if (reached.length * 2 > this.size) return 'majority';
    if (reached.length * 2 < this.size || this.size === 0) return 'minority';
    const lowest = [...this.members.values()].reduce((left, right) => (left < right ? left : right));
    return reached.some((record) => record.identity.id === lowest) ? 'tie' : 'minority';
  }

  /** Makes the live owners the base when the last failure is at least `settleMs` ago. */
  settle(records: readonly MemberRecord[], nowMs: number, settleMs: number): void {
    if (nowMs - this.lastFailureMs < settleMs) return;
    const owners = records.filter(ownsShards);
    if (owners.length === this.size || owners.length === 0) return;
    this.members.clear();
    for (const { idHash, identity } of owners) this.members.set(idHash, identity.id);
  }
}
