/**
 * Role of this daemon towards the source. Carries out the rule in `reader-rule.ts`: owns the sightings of other
 * readers, the rank and the random positions. Relies on `Spreader` to call it at each tick and to start or
 * stop the calls.
 */
import { hashString } from '../../common/hash.js';
import type { MechanismCheck } from '../../common/mechanisms.js';
import type { RandomSource } from '../../common/random.js';
import type { FreshnessTimings } from '../routing/index.js';
import { decideReader, type ReaderOutcome, type ReaderSituation } from './reader-rule.js';
import type { ReaderSighting } from './types.js';

/** Ranks are 32-bit hashes. */
const RANKS = 2 ** 32;

/**
 * Random part of a delay, 0 to 1, so that daemons of nearly equal rank do not keep acting at the same time. Rank must
 * still dominate.
 */
const POSITION_RANDOM_SHARE = 0.1;

/** Why a daemon starts or stops reading. */
export type RoleReason = 'too-few-readers' | 'overdue' | 'enough-readers';

/** Knowledge at the time of a decision. */
interface RoleInputs {
  readonly nowMs: number;
  /** Milliseconds since routes and back ends were last confirmed to be current. */
  readonly ageMs: number;
  /** Whether routes and back ends have both been received. */
  readonly isComplete: boolean;
  /** Whether the source has answered for both topics, even with an empty list. */
  readonly hasBeenRead: boolean;
  /** Estimated number of daemons that take this decision, this one included. */
  readonly daemons: number;
}

/** A reader with its rank: among readers, the highest ranks stay. */
interface RankedSighting extends ReaderSighting {
  readonly rank: number;
}

function rankOf(id: string): number {
  return hashString(id);
}

/** Knows the other readers and whether this daemon is one. Times are monotonic ms. */
export class ReaderRole {
  private readonly sightings = new Map<string, RankedSighting>();
  private readonly rank: number;
  private volunteerAtMs: number | undefined;
  /** Random position among the daemons that lack a confirmation, from 0 (reads first) to 1. */
  private overduePosition: number;
  private reading = false;
  private startedAtMs: number | undefined;
  private hasHeardOfReaders = false;

  constructor(
    private readonly selfId: string,
    private readonly random: RandomSource,
    private readonly timings: FreshnessTimings,
    private readonly isOn: MechanismCheck,
  ) {
    this.rank = rankOf(selfId);
    this.overduePosition = random();
  }

  /** True while this daemon reads. */
  get isReading(): boolean {
    return this.reading;
  }

  /** True for the reader of highest rank among those that confirmed something recently. */
  isLeading(nowMs: number): boolean {
    return this.reading && this.freshSuperiors(this.otherReaders(nowMs), nowMs) === 0;
  }

  /** Records that another daemon is a reader. */
  record({ id, confirmedAtMs }: ReaderSighting): void {
    if (id === this.selfId) return;
    this.hasHeardOfReaders = true;
    const known = this.sightings.get(id);
    const newestMs = Math.max(known?.confirmedAtMs ?? Number.NEGATIVE_INFINITY, confirmedAtMs);
    this.sightings.set(id, { id, confirmedAtMs: newestMs, rank: known?.rank ?? rankOf(id) });
  }

  /** Other readers whose last confirmation is recent enough. */
  otherReaders(nowMs: number): RankedSighting[] {
    for (const { id, confirmedAtMs } of this.sightings.values()) {
      if (nowMs - confirmedAtMs >= this.timings.readerMissedMs) this.sightings.delete(id);
    }
    return [...this.sightings.values()];
  }

  /**
   * Up to `count` other readers to include in a message: highest ranks first, because a reader stops only when it
   * hears of readers of higher rank; readers without a recent confirmation come last.
   */
  leadingReaders(nowMs: number, count: number): ReaderSighting[] {
    const isFresh = ({ confirmedAtMs }: ReaderSighting): boolean =>
      nowMs - confirmedAtMs < this.timings.readerFreshMs;
    const byRank = this.otherReaders(nowMs).sort((left, right) => right.rank - left.rank);
    const stale = byRank.filter((reader) => !isFresh(reader));
    return [...byRank.filter(isFresh), ...stale].slice(0, count);
  }

  /** Starts or stops reading if needed; returns the reason, or undefined when nothing changes. */
  decide({ nowMs, ageMs, isComplete, hasBeenRead, daemons }: RoleInputs): RoleReason | undefined {
    const others = this.otherReaders(nowMs);
    this.startedAtMs ??= nowMs;
    const situation: ReaderSituation = {
      isReading: this.reading,
      ageMs,
      unconfirmedMs: Math.min(ageMs, nowMs - this.startedAtMs),
      isComplete,
      hasBeenRead,
      otherReaders: others.length,
      freshSuperiors: this.freshSuperiors(others, nowMs),
      hasHeardOfReaders: this.hasHeardOfReaders,
      overduePosition: this.overduePosition,
      daemons,
      mayStandDown: this.isOn('standing-down'),
      isPaced: this.isOn('asking-turns'),
    };
    return this.carryOut(decideReader(situation, this.timings), nowMs);
  }

  private carryOut(outcome: ReaderOutcome, nowMs: number): RoleReason | undefined {
    switch (outcome.kind) {
      case 'stand-down':
        this.reading = false;
        this.volunteerAtMs = undefined;
        this.overduePosition = this.random();
        return 'enough-readers';
      case 'read-overdue':
        return this.startReading('overdue');
      case 'leave-to-others':
        this.volunteerAtMs = undefined;
        return undefined;
      case 'volunteer': {
        const atMs = nowMs + this.volunteerPosition() * outcome.withinMs;
        this.volunteerAtMs = Math.min(this.volunteerAtMs ?? Infinity, atMs);
        return nowMs >= this.volunteerAtMs ? this.startReading('too-few-readers') : undefined;
      }
      case 'keep-reading':
      case 'await-overdue-turn':
      case 'await-first-lists':
        return undefined;
    }
  }

  private freshSuperiors(others: readonly RankedSighting[], nowMs: number): number {
    const { readerFreshMs } = this.timings;
    return others.filter(
      ({ rank, confirmedAtMs }) => rank > this.rank && nowMs - confirmedAtMs < readerFreshMs,
    ).length;
  }

  private startReading(reason: RoleReason): RoleReason {
    this.reading = true;
    return reason;
  }

  /** Delay as a part of the spread, 0 to 1: higher ranks act first. */
  private volunteerPosition(): number {
    return (1 - POSITION_RANDOM_SHARE) * (1 - this.rank / RANKS) + POSITION_RANDOM_SHARE * this.random();
  }
}
