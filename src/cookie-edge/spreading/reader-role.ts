/**
 * Role of this daemon towards the source: reader or not. Applies the rule in `reader-rule.ts`. Owns the sightings of
 * other readers, the rank of this daemon and its random positions. `GossipNode` calls it at each tick and starts or
 * stops reading.
 */
import { hashString } from '../../common/hash.js';
import type { MechanismCheck } from '../../common/mechanisms.js';
import type { RandomSource } from '../../common/random.js';
import type { FreshnessTimings } from '../routing/index.js';
import { decideReaderRole, type ReaderOutcome, type ReaderSituation } from './reader-rule.js';
import type { ReaderSighting } from './types.js';

/** Number of ranks: ranks are 32-bit hashes. */
const RANK_SPACE = 2 ** 32;

/**
 * Share of a delay that is random, 0 to 1; the rank determines the rest. It keeps daemons of nearly equal rank from
 * repeatedly acting at the same time. It is small, so that the rank dominates.
 */
const POSITION_RANDOM_SHARE = 0.1;

/** Why a daemon starts or stops reading. */
export type RoleReason = 'too-few-readers' | 'overdue' | 'enough-readers';

/** Inputs of a decision. */
interface RoleInputs {
  readonly nowMs: number;
  /** Time in ms since routes and back ends were last confirmed to be current. */
  readonly ageMs: number;
  /** Whether routes and back ends have both been received. */
  readonly isComplete: boolean;
  /** Whether the source has answered for both topics, even with an empty list. */
  readonly hasBeenRead: boolean;
  /** Estimated number of daemons that make this decision, including this one. */
  readonly daemons: number;
  /** Whether a peer has announced a change that is missing here. */
  readonly lacksAnnouncedChange: boolean;
}

/** A sighted reader with its rank. The readers of the highest ranks keep reading. */
interface RankedSighting extends ReaderSighting {
  readonly rank: number;
}

function rankOf(id: string): number {
  return hashString(id);
}

/** Tracks the other readers, and whether this daemon is a reader. Times are monotonic ms. */
export class ReaderRole {
  private readonly sightings = new Map<string, RankedSighting>();
  private readonly rank: number;
  private volunteerAtMs: number | undefined;
  /** Random position among the daemons that lack a confirmation, from 0 (reads first) to 1. */
  private overduePosition: number;
  private reading = false;
  private remainingTurnMs: number | undefined;
  private startedAtMs: number | undefined;
  private hasSeenOtherReaders = false;

  constructor(
    private readonly selfId: string,
    private readonly random: RandomSource,
    private readonly timings: FreshnessTimings,
    private readonly isOn: MechanismCheck,
  ) {
    this.rank = rankOf(selfId);
    this.overduePosition = random();
  }

  /** True while this daemon reads the source. */
  get isReading(): boolean {
    return this.reading;
  }

  /** Time in ms until this daemon reads an overdue topic, as of the last decision; undefined if it awaits no turn. */
  get awaitedTurnMs(): number | undefined {
    return this.remainingTurnMs;
  }

  /** Returns whether this daemon has the highest rank among the readers with a recent confirmation. */
  isLeading(nowMs: number): boolean {
    return this.reading && this.countFreshHigherRanked(this.otherReaders(nowMs), nowMs) === 0;
  }

  /** Records a sighting of another reader. */
  recordReader({ id, confirmedAtMs }: ReaderSighting): void {
    if (id === this.selfId) return;
    this.hasSeenOtherReaders = true;
    const known = this.sightings.get(id);
    const newestMs = Math.max(known?.confirmedAtMs ?? Number.NEGATIVE_INFINITY, confirmedAtMs);
    this.sightings.set(id, { id, confirmedAtMs: newestMs, rank: known?.rank ?? rankOf(id) });
  }

  /** Returns the other readers that received a confirmation within `readerMissedMs`; removes the rest. */
  otherReaders(nowMs: number): RankedSighting[] {
    for (const { id, confirmedAtMs } of this.sightings.values()) {
      if (nowMs - confirmedAtMs >= this.timings.readerMissedMs) this.sightings.delete(id);
    }
    return [...this.sightings.values()];
  }

  /**
   * Returns up to `count` other readers to include in a message. The highest ranks come first, because a reader stands
   * down only if it knows readers of higher rank. Readers without a recent confirmation come last.
   */
  readersToAdvertise(nowMs: number, count: number): ReaderSighting[] {
    const isFresh = ({ confirmedAtMs }: ReaderSighting): boolean =>
      nowMs - confirmedAtMs < this.timings.readerFreshMs;
    const byRank = this.otherReaders(nowMs).sort((left, right) => right.rank - left.rank);
    const stale = byRank.filter((reader) => !isFresh(reader));
    return [...byRank.filter(isFresh), ...stale].slice(0, count);
  }

  /** Starts or stops reading if the rule says so; returns the reason, or undefined if nothing changes. */
  decide(inputs: RoleInputs): RoleReason | undefined {
    const { nowMs, ageMs, ...shared } = inputs;
    const others = this.otherReaders(nowMs);
    this.startedAtMs ??= nowMs;
    const situation: ReaderSituation = {
      ...shared,
      isReading: this.reading,
      ageMs,
      unconfirmedMs: Math.min(ageMs, nowMs - this.startedAtMs),
      otherReaders: others.length,
      freshHigherRanked: this.countFreshHigherRanked(others, nowMs),
      hasSeenOtherReaders: this.hasSeenOtherReaders,
      overduePosition: this.overduePosition,
      canStandDown: this.isOn('standing-down'),
      isPaced: this.isOn('asking-turns'),
    };
    const outcome = decideReaderRole(situation, this.timings);
    this.remainingTurnMs = outcome.kind === 'await-overdue-turn' ? outcome.remainingMs : undefined;
    return this.applyOutcome(outcome, nowMs);
  }

  private applyOutcome(outcome: ReaderOutcome, nowMs: number): RoleReason | undefined {
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

  private countFreshHigherRanked(others: readonly RankedSighting[], nowMs: number): number {
    const { readerFreshMs } = this.timings;
    return others.filter(
      ({ rank, confirmedAtMs }) => rank > this.rank && nowMs - confirmedAtMs < readerFreshMs,
    ).length;
  }

  private startReading(reason: RoleReason): RoleReason {
    this.reading = true;
    return reason;
  }

  /** Delay as a fraction of the spread, 0 to 1: higher ranks act first. */
  private volunteerPosition(): number {
    return (1 - POSITION_RANDOM_SHARE) * (1 - this.rank / RANK_SPACE) + POSITION_RANDOM_SHARE * this.random();
  }
}
