/**
 * Quorum of one member: gathers what the decision rests on, carries the decision out, and keeps the base and the
 * lease up to date.
 *
 * Owns the last decision, the time since when this member is alone, and the lease. Relies on the rules in
 * `quorum-decision.ts`, on the member table, on running suspicions and on the silence of zones. docs/DESIGN.md,
 * "Quorum", describes the whole.
 */
import type { MembershipTiming } from './constants.js';
import type { GuardedTimers } from './guarded-timers.js';
import type { MemberRecord } from './member-record.js';
import type { Messenger } from './messenger.js';
import {
  decideFounding,
  decideLeaseDemand,
  decideQuorum,
  isQuorateVerdict,
  isReachableForQuorum,
  mayCreateFirstBase,
  type QuorumEvidence,
  type QuorumFacts,
} from './quorum-decision.js';
import { QuorumExchange } from './quorum-exchange.js';
import { isFailure, type MemberTable, type RecordChange } from './member-table.js';
import type { QuorumBase, QuorumStanding } from './quorum-base.js';
import { QuorumLease, type LeasePlatform } from './quorum-lease.js';
import type { Clock } from '../../common/clock.js';
import { Subject } from '../../common/event-stream.js';
import type { Suspicions } from './suspicion.js';

/** What the decision rests on. */
interface QuorumContext {
  readonly clock: Clock;
  readonly timers: GuardedTimers;
  readonly messenger: Messenger;
  readonly table: MemberTable;
  readonly timing: MembershipTiming;
  readonly region: string;
  readonly platform: LeasePlatform | undefined;
  readonly suspicions: Suspicions;
  /** True while most of a zone is silent. */
  readonly isZoneSilent: (zone: string) => boolean;
  /** True while probes get no sign of life from anyone. */
  readonly isCutOff: () => boolean;
  /** The members that count; the messenger names its epoch. */
  readonly base: QuorumBase;
}

/** One for each process. */
export class Quorum {
  /** Pushed when the decision may have changed outside `update`. */
  readonly changes = new Subject<void>();
  readonly exchange: QuorumExchange;
  private readonly lease: QuorumLease;
  /** Another member was met. */
  private hasMetMember = false;
  /** No seed is configured and no other member was met: a site of one. */
  private isSole = false;
  /** False from a pause until another member has answered. */
  private isConfirmed = true;
  private aloneSinceMs: number | undefined;
  private decision = false;
  private withdrawn = false;

  constructor(private readonly context: QuorumContext) {
    const { clock, platform, region, table, timing, timers, messenger, base } = context;
    const onChange = (): void => this.changes.push();
    this.exchange = new QuorumExchange({
      timers,
      messenger,
      base,
      isQuorate: () => this.decision,
      onAdopted: onChange,
    });
    this.lease = new QuorumLease({
      clock,
      platform,
      leaseName: `quorum/${region}`,
      holder: table.self.identity.id,
      durationMs: timing.quorumLeaseMs,
      wanted: () => this.wantsLease(),
      onChange,
    });
  }

  get isQuorate(): boolean {
    return this.decision;
  }

  /** True when this member may become active without any other live member, to make the region's first base. */
  get mayFoundRegion(): boolean {
    return decideFounding(this.facts(), this.lease.standing(), this.exchange.seenEpoch > 0);
  }

  start(hasSeeds: boolean): void {
    this.isSole = !hasSeeds;
    this.lease.start();
  }

  stop(): void {
    this.lease.stop();
  }

  /** Takes in one change of the member table. */
  note(change: RecordChange): void {
    const { record } = change;
    if (isFailure(change)) this.context.base.noteFailure(this.context.clock.now());
    if (record.suspected) this.context.base.noteSuspicion(this.context.clock.now());
    if (record.lifecycle === 'left' && this.decision) this.context.base.remove(record.idHash);
  }

  /** Another member was heard. */
  noteContact(): void {
    this.hasMetMember = true;
    this.isSole = false;
  }

  /** Another member has answered a probe sent after the last pause. */
  noteFreshAnswer(): void {
    this.isConfirmed = true;
  }

  /** This process did not run for a while; `hasPeers` tells whether anyone can confirm that it is still a member. */
  notePause(hasPeers: boolean): void {
    if (hasPeers) this.isConfirmed = false;
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
    const before = this.decision;
    this.bootstrap();
    const facts = this.facts();
    if (alone && facts.standing === 'minority' && !facts.wasAloneLong) this.lease.drop();
    this.decision = isQuorateVerdict(decideQuorum(facts, this.evidence()));
    if (this.decision && this.isBootstrapped) {
      this.context.base.evolve(this.context.table.live(), nowMs, this.context.timing.settleMs, !alone);
    }
    if (before && !this.decision) void this.lease.refresh();
    return before !== this.decision;
  }

  /** Makes the first base of a region where that is due; nothing happens while no member is active. */
  private bootstrap(): void {
    const mayCreate = mayCreateFirstBase({
      hasSeenBase: this.isBootstrapped || this.exchange.seenEpoch > 0,
      isSole: this.isSole,
      hasPlatform: this.context.platform !== undefined,
      lease: this.lease.standing(),
      hasMetMember: this.hasMetMember,
    });
    if (mayCreate) this.context.base.create(this.context.table.live());
  }

  private get isBootstrapped(): boolean {
    return this.context.base.epoch > 0;
  }

  private evidence(): QuorumEvidence {
    return {
      isCutOff: this.context.isCutOff(),
      isBehind: this.exchange.isBehind,
      lease: this.lease.standing(),
    };
  }

  private facts(): QuorumFacts {
    return {
      withdrawn: this.withdrawn,
      isSole: this.isSole,
      isConfirmed: this.isConfirmed,
      hasBase: this.isBootstrapped,
      isAlone: this.isAlone(),
      wasAloneLong: this.waitedLongEnough(),
      wasQuorate: this.decision,
      standing: this.standing(),
    };
  }

  /** No other live member is reachable. */
  private isAlone(): boolean {
    return !this.context.table.peers().some((peer) => this.isReachable(peer));
  }

  private standing(): QuorumStanding {
    return this.context.base.standing(
      (idHash) => this.context.table.get(idHash),
      (record) => this.isReachable(record),
    );
  }

  private isReachable(record: MemberRecord): boolean {
    const { suspected, idHash, identity } = record;
    // Most members are not suspected: spares the look-ups.
    if (!suspected) return true;
    const { clock, suspicions, timing, isZoneSilent } = this.context;
    const silence = {
      suspected,
      isZoneSilent: isZoneSilent(identity.zone),
      suspectedSinceMs: suspicions.startedMs(idHash),
    };
    return isReachableForQuorum(silence, clock.now(), timing);
  }

  private wantsLease(): boolean {
    const demand = decideLeaseDemand(this.facts(), this.isLowestReachable());
    return demand === 'alone' || demand === 'representative';
  }

  private waitedLongEnough(): boolean {
    if (this.aloneSinceMs === undefined) return false;
    return this.context.clock.now() - this.aloneSinceMs >= this.context.timing.witnessWaitMs;
  }

  /**
   * True on the active member with the lowest id that can be reached: one for a region, or for each side of a
   * partition.
   */
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
