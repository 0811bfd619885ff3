/**
 * Decides whether this daemon watches the source ("is a reader"). There is no election: a daemon that hears of fewer than
 * `TARGET_READERS` readers starts watching after a delay, which is shorter the higher its rank (a hash of its id). A reader
 * stops when it hears of enough readers of higher rank. A daemon whose routes or back ends were not confirmed for too long
 * watches in any case. Extra readers only cost calls, so no agreement is needed. A daemon that has just started listens
 * first whether there are readers.
 */
import { hashString } from '../../common/hash.js';
import type { MechanismCheck } from '../../common/mechanisms.js';
import type { RandomSource } from '../../common/random.js';
import type { FreshnessTimings } from '../routing/index.js';
import { readDelayMs } from './source-read-pacing.js';
import {
  TARGET_READERS,
  VOLUNTEER_ALONE_MS,
  VOLUNTEER_AT_START_MS,
  VOLUNTEER_SECOND_MS,
} from './constants.js';
import type { ReaderSighting } from './types.js';

/** Ranks are 32-bit hashes. */
const RANKS = 2 ** 32;

/** Random part of a delay, so that daemons of nearly equal rank do not keep acting at the same time. */
const TURN_RANDOM_SHARE = 0.1;

/** Why a daemon starts or stops reading. */
export type RoleReason = 'too-few-readers' | 'overdue' | 'enough-readers';

/** What a decision looks at. */
interface RoleQuestion {
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

/** See the module. Times are monotonic ms. */
export class ReaderRole {
  private readonly sightings = new Map<string, RankedSighting>();
  private readonly rank: number;
  private volunteerAtMs: number | undefined;
  /** Random position among the daemons that lack a confirmation, from 0 (asks first) to 1. */
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
   * Up to `count` other readers to include in a message: highest ranks first, because a reader stops only when it hears of
   * readers of higher rank; readers without a recent confirmation come last.
   */
  leadingReaders(nowMs: number, count: number): ReaderSighting[] {
    const isFresh = ({ confirmedAtMs }: ReaderSighting): boolean =>
      nowMs - confirmedAtMs < this.timings.readerFreshMs;
    const byRank = this.otherReaders(nowMs).sort((left, right) => right.rank - left.rank);
    const stale = byRank.filter((reader) => !isFresh(reader));
    return [...byRank.filter(isFresh), ...stale].slice(0, count);
  }

  /** Starts or stops watching if needed; returns the reason, or undefined when nothing changes. */
  decide(question: RoleQuestion): RoleReason | undefined {
    const { nowMs, ageMs, isComplete } = question;
    const others = this.otherReaders(nowMs);
    const isCurrent = isComplete && ageMs < this.timings.pullAfterMs;
    this.startedAtMs ??= nowMs;
    return this.reading ? this.decideToStop(others, nowMs, isCurrent) : this.decideToRead(others, question);
  }

  private decideToStop(
    others: readonly RankedSighting[],
    nowMs: number,
    isCurrent: boolean,
  ): RoleReason | undefined {
    const fresh = others.filter(({ confirmedAtMs }) => nowMs - confirmedAtMs < this.timings.readerFreshMs);
    const before = fresh.filter(({ rank }) => rank > this.rank);
    if (!this.isOn('standing-down') || !isCurrent || before.length < TARGET_READERS) return undefined;
    this.reading = false;
    this.volunteerAtMs = undefined;
    this.overduePosition = this.random();
    return 'enough-readers';
  }

  /**
   * A daemon that has not received everything yet is reading the lists already; watching as well would only add calls, since
   * all daemons that started with it are in the same state. Once the confirmation is overdue the delay depends on the fleet's
   * size alone: readers may be missing because the source does not answer them.
   */
  private decideToRead(
    others: readonly RankedSighting[],
    { nowMs, ageMs, hasBeenRead, daemons }: RoleQuestion,
  ): RoleReason | undefined {
    const { readAfterMs, readSpreadMs } = this.timings;
    const unconfirmedMs = Math.min(ageMs, nowMs - (this.startedAtMs ?? nowMs));
    if (unconfirmedMs >= readAfterMs) {
      const waitMs = this.isOn('asking-turns')
        ? readDelayMs(this.overduePosition, daemons, readSpreadMs)
        : this.overduePosition * readSpreadMs;
      return unconfirmedMs >= readAfterMs + waitMs ? this.startReading('overdue') : undefined;
    }

    if (!hasBeenRead) return undefined;
    if (others.length >= TARGET_READERS) {
      this.volunteerAtMs = undefined;
      return undefined;
    }
    const aloneMs = this.hasHeardOfReaders ? VOLUNTEER_ALONE_MS : VOLUNTEER_AT_START_MS;
    const spreadMs = others.length === 0 ? aloneMs : VOLUNTEER_SECOND_MS;
    this.volunteerAtMs = Math.min(
      this.volunteerAtMs ?? Infinity,
      nowMs + this.volunteerPosition() * spreadMs,
    );
    return nowMs >= this.volunteerAtMs ? this.startReading('too-few-readers') : undefined;
  }

  private startReading(reason: RoleReason): RoleReason {
    this.reading = true;
    return reason;
  }

  /** Delay as a part of the spread, 0 to 1: higher ranks act first. */
  private volunteerPosition(): number {
    return (1 - TURN_RANDOM_SHARE) * (1 - this.rank / RANKS) + TURN_RANDOM_SHARE * this.random();
  }
}
