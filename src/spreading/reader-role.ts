/**
 * Decides whether this daemon reads the source. Nobody is elected: who hears of too few readers volunteers after a wait,
 * shorter for higher ranks; who hears of enough readers that go before it stands down, and who has no proof for too long
 * reads in any case. Two readers too many do no harm, so no agreement is needed. A daemon that starts first listens who
 * reads already.
 */
import { hashString } from '../common/hash.js';
import type { MechanismCheck } from '../common/mechanisms.js';
import type { RandomSource } from '../common/random.js';
import type { FreshnessTimings } from '../routing/index.js';
import { askDelayMs } from './asking-order.js';
import {
  TARGET_READERS,
  VOLUNTEER_ALONE_MS,
  VOLUNTEER_AT_START_MS,
  VOLUNTEER_SECOND_MS,
} from './constants.js';
import type { ReaderSighting } from './types.js';

/** Ranks are 32-bit hashes. */
const RANKS = 2 ** 32;

/** Part of a wait that is random, so that daemons of nearly equal rank do not act together for ever. */
const TURN_RANDOM_SHARE = 0.1;

/** Why a daemon starts or stops reading. */
export type RoleReason = 'too-few-readers' | 'overdue' | 'enough-readers';

/** What a decision looks at. */
interface RoleQuestion {
  readonly nowMs: number;
  /** Age of what is known. */
  readonly ageMs: number;
  /** Whether everything is known. */
  readonly isComplete: boolean;
  /** Whether the source's word on everything has come, be it that there is nothing yet. */
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
  /** Place among the daemons that lack a proof, from 0 to 1. */
  private overdueTurn: number;
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
    this.overdueTurn = random();
  }

  /** True while this daemon reads. */
  get isReading(): boolean {
    return this.reading;
  }

  /** Notes what was heard of another reader. */
  note({ id, provedAtMs }: ReaderSighting): void {
    if (id === this.selfId) return;
    this.hasHeardOfReaders = true;
    const known = this.sightings.get(id);
    const newestMs = Math.max(known?.provedAtMs ?? Number.NEGATIVE_INFINITY, provedAtMs);
    this.sightings.set(id, { id, provedAtMs: newestMs, rank: known?.rank ?? rankOf(id) });
  }

  /** Other readers that are not missed yet. */
  otherReaders(nowMs: number): RankedSighting[] {
    for (const { id, provedAtMs } of this.sightings.values()) {
      if (nowMs - provedAtMs >= this.timings.readerMissedMs) this.sightings.delete(id);
    }
    return [...this.sightings.values()];
  }

  /**
   * Up to `count` other readers to tell others about: first those that go before the most others, since it is by them that
   * a reader knows that it may stand down; readers without a fresh proof come last.
   */
  leadingReaders(nowMs: number, count: number): ReaderSighting[] {
    const isFresh = ({ provedAtMs }: ReaderSighting): boolean =>
      nowMs - provedAtMs < this.timings.readerFreshMs;
    const byRank = this.otherReaders(nowMs).sort((left, right) => right.rank - left.rank);
    const stale = byRank.filter((reader) => !isFresh(reader));
    return [...byRank.filter(isFresh), ...stale].slice(0, count);
  }

  /** Takes the decision of this moment; returns why it changed, or undefined. */
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
    const fresh = others.filter(({ provedAtMs }) => nowMs - provedAtMs < this.timings.readerFreshMs);
    const before = fresh.filter(({ rank }) => rank > this.rank);
    if (!this.isOn('standing-down') || !isCurrent || before.length < TARGET_READERS) return undefined;
    this.reading = false;
    this.volunteerAtMs = undefined;
    this.overdueTurn = this.random();
    return 'enough-readers';
  }

  /**
   * Who has not read the source yet does so once anyway, and would only follow it together with all others that started with
   * it. Who lacks a proof for too long waits only for its turn: readers that are missing then may be so for want of an answer.
   */
  private decideToRead(
    others: readonly RankedSighting[],
    { nowMs, ageMs, hasBeenRead, daemons }: RoleQuestion,
  ): RoleReason | undefined {
    const { readAfterMs, readSpreadMs } = this.timings;
    const unprovedMs = Math.min(ageMs, nowMs - (this.startedAtMs ?? nowMs));
    if (unprovedMs >= readAfterMs) {
      const waitMs = this.isOn('asking-turns')
        ? askDelayMs(this.overdueTurn, daemons, readSpreadMs)
        : this.overdueTurn * readSpreadMs;
      return unprovedMs >= readAfterMs + waitMs ? this.startReading('overdue') : undefined;
    }

    if (!hasBeenRead) return undefined;
    if (others.length >= TARGET_READERS) {
      this.volunteerAtMs = undefined;
      return undefined;
    }
    const aloneMs = this.hasHeardOfReaders ? VOLUNTEER_ALONE_MS : VOLUNTEER_AT_START_MS;
    const spreadMs = others.length === 0 ? aloneMs : VOLUNTEER_SECOND_MS;
    this.volunteerAtMs = Math.min(this.volunteerAtMs ?? Infinity, nowMs + this.turn() * spreadMs);
    return nowMs >= this.volunteerAtMs ? this.startReading('too-few-readers') : undefined;
  }

  private startReading(reason: RoleReason): RoleReason {
    this.reading = true;
    return reason;
  }

  /** Part of a spread after which it is this daemon's turn: whoever goes before others does so here, too. */
  private turn(): number {
    return (1 - TURN_RANDOM_SHARE) * (1 - this.rank / RANKS) + TURN_RANDOM_SHARE * this.random();
  }
}
