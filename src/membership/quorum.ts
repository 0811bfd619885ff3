/** Decides whether this member may open flows: see docs/DESIGN.md, "Quorum". */
import type { MembershipTiming } from './constants.js';
import type { MemberRecord } from './member-record.js';
import type { MemberTable, RecordChange } from './member-table.js';
import { QuorumBase, type QuorumStanding } from './quorum-base.js';
import { QuorumLease, type LeasePlatform } from './quorum-lease.js';
import type { Clock } from '../common/clock.js';
import type { Suspicions } from './suspicion.js';

/** What the decision rests on. */
export interface QuorumContext {
  readonly clock: Clock;
  readonly table: MemberTable;
  readonly timing: MembershipTiming;
  readonly region: string;
  readonly platform: LeasePlatform | undefined;
  readonly suspicions: Suspicions;
  /** True while most of a zone is silent. */
  readonly isZoneSilent: (zone: string) => boolean;
  /** True while probes get no sign of life from anyone. */
  readonly isCutOff: () => boolean;
  /** Called when the decision may have changed outside `update`. */
  readonly onChange: () => void;
}

/** Quorum of one member. */
export class Quorum {
  private readonly base = new QuorumBase();
  private readonly lease: QuorumLease;
  /**
   * True once a member of a region that has been quorate was met, the lease was held, or there is nobody to meet. Two
   * groups that start while they are cut off from each other can thus not both become quorate.
   */
  private bootstrapped = false;
  /** No seeds and nobody met: a site of one. */
  private sole = false;
  /** False from a pause until another member has answered. */
  private validated = true;
  private aloneSinceMs: number | undefined;
  private decision = false;
  private withdrawn = false;

  constructor(private readonly context: QuorumContext) {
    const { clock, platform, region, table, timing, onChange } = context;
    this.lease = new QuorumLease(
      clock,
      platform,
      `quorum/${region}`,
      table.self.identity.id,
      timing.quorumLeaseMs,
      () => this.wantsLease(),
      onChange,
    );
  }

  get isQuorate(): boolean {
    return this.decision;
  }

  start(hasSeeds: boolean): void {
    this.sole = !hasSeeds;
    this.bootstrapped = !hasSeeds;
    this.lease.start();
  }

  stop(): void {
    this.lease.stop();
  }

  /** Takes in one change of the member table. */
  note(change: RecordChange): void {
    this.base.note(change, this.context.clock.now());
  }

  /** True when this member is part of a region that has been quorate; peers that meet it become part of it too. */
  get isBootstrapped(): boolean {
    return this.bootstrapped;
  }

  /** Another member was heard; `peerBootstrapped` is its own `isBootstrapped`. */
  noteContact(peerBootstrapped: boolean): void {
    if (peerBootstrapped || !this.context.platform) this.bootstrapped = true;
    this.sole = false;
    this.validated = true;
  }

  /** This process did not run for a while; `hasPeers` tells whether anyone can confirm that it is still a member. */
  notePause(hasPeers: boolean): void {
    if (hasPeers) this.validated = false;
  }

  /** Gives the quorum up for good. */
  withdraw(): void {
    this.withdrawn = true;
    this.lease.drop();
  }

  /** Decides anew; true when the decision changed. */
  update(): boolean {
    const nowMs = this.context.clock.now();
    const alone = this.isAlone();
    if (!alone) this.aloneSinceMs = undefined;
    else this.aloneSinceMs ??= nowMs;
    if (this.lease.standing() === 'held') this.bootstrapped = true;
    const before = this.decision;
    this.decision = this.decide(alone);
    if (this.decision && !alone) {
      this.base.settle(this.context.table.live(), nowMs, this.context.timing.settleMs);
    }
    if (alone && this.standing() === 'minority' && !this.waitedLongEnough()) this.lease.drop();
    if (before && !this.decision) void this.lease.refresh();
    return before !== this.decision;
  }

  private decide(alone: boolean): boolean {
    if (this.withdrawn) return false;
    if (this.sole) return true;
    if (!this.validated || this.context.isCutOff()) return false;
    if (!alone) return this.bootstrapped && this.standing() !== 'minority';
    const lease = this.lease.standing();
    if (lease === 'held') return true;
    return lease === 'unavailable' && this.bootstrapped && this.standing() !== 'minority';
  }

  /** No other live member is reachable. */
  private isAlone(): boolean {
    return !this.context.table.peers().some((peer) => this.isReachable(peer));
  }

  private standing(): QuorumStanding {
    return this.base.standing(this.context.table.live(), (record) => this.isReachable(record));
  }

  /** A suspect counts as reachable for the grace time only, and not at all when most of its zone is silent. */
  private isReachable(record: MemberRecord): boolean {
    if (!record.suspected) return true;
    const { clock, suspicions, timing, isZoneSilent } = this.context;
    if (isZoneSilent(record.identity.zone)) return false;
    const sinceMs = suspicions.startedMs(record.idHash);
    return sinceMs !== undefined && clock.now() - sinceMs < timing.quorumGraceMs;
  }

  private wantsLease(): boolean {
    if (this.sole || this.withdrawn || !this.validated) return false;
    if (this.isAlone()) {
      return (this.bootstrapped && this.standing() !== 'minority') || this.waitedLongEnough();
    }
    return (this.decision || !this.bootstrapped) && this.isLowestReachable();
  }

  private waitedLongEnough(): boolean {
    if (this.aloneSinceMs === undefined) return false;
    return this.context.clock.now() - this.aloneSinceMs >= this.context.timing.witnessWaitMs;
  }

  /** True on the active member with the lowest id that can be reached: one for a region, or for each side of a partition. */
  isLowestReachable(): boolean {
    const { self } = this.context.table;
    if (self.lifecycle !== 'active') return false;
    return !this.context.table
      .peers()
      .some(
        (peer) =>
          peer.lifecycle === 'active' && this.isReachable(peer) && peer.identity.id < self.identity.id,
      );
  }
}
