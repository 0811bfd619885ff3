/**
 * Decides whether this daemon reads the source. Nobody is elected: who hears of too few readers volunteers after a random
 * wait, who hears of enough readers that go before it stands down, and who has no proof for too long reads in any case.
 * Two readers too many do no harm, so no agreement is needed.
 */
import { hashString } from '../common/hash.js';
import type { RandomSource } from '../common/random.js';
import {
  PULL_AFTER_MS,
  READ_AFTER_MS,
  READ_SPREAD_MS,
  READER_FRESH_MS,
  READER_MISSED_MS,
  TARGET_READERS,
  VOLUNTEER_ALONE_MS,
  VOLUNTEER_SECOND_MS,
} from './constants.js';
import type { ReaderSighting } from './types.js';

/** Why a daemon starts or stops reading. */
export type RoleReason = 'start' | 'too-few-readers' | 'overdue' | 'enough-readers';

/** See the module. Times are monotonic ms. */
export class ReaderRole {
  private readonly sightings = new Map<string, number>();
  private readonly rank: number;
  private volunteerAtMs: number | undefined;
  private readAfterMs: number;
  private reading = true;

  constructor(
    private readonly selfId: string,
    private readonly random: RandomSource,
  ) {
    this.rank = hashString(selfId);
    this.readAfterMs = this.drawReadAfter();
  }

  /** True while this daemon reads; it starts with reading. */
  get isReading(): boolean {
    return this.reading;
  }

  /** Notes what was heard of another reader. */
  note({ id, provedAtMs }: ReaderSighting): void {
    if (id === this.selfId) return;
    this.sightings.set(id, Math.max(this.sightings.get(id) ?? Number.NEGATIVE_INFINITY, provedAtMs));
  }

  /** Other readers that are not missed yet. */
  otherReaders(nowMs: number): ReaderSighting[] {
    const others: ReaderSighting[] = [];
    for (const [id, provedAtMs] of this.sightings) {
      if (nowMs - provedAtMs < READER_MISSED_MS) others.push({ id, provedAtMs });
      else this.sightings.delete(id);
    }
    return others;
  }

  /**
   * Up to `count` other readers to tell others about: first those that go before the most others, since it is by them that
   * a reader knows that it may stand down; readers without a fresh proof come last.
   */
  leadingReaders(nowMs: number, count: number): ReaderSighting[] {
    const isFresh = ({ provedAtMs }: ReaderSighting): boolean => nowMs - provedAtMs < READER_FRESH_MS;
    const byRank = this.otherReaders(nowMs).sort((left, right) => hashString(right.id) - hashString(left.id));
    const stale = byRank.filter((reader) => !isFresh(reader));
    return [...byRank.filter(isFresh), ...stale].slice(0, count);
  }

  /**
   * Takes the decision of this moment; returns why it changed, or undefined.
   *
   * @param ageMs age of what is known
   * @param isComplete whether everything is known
   */
  decide(nowMs: number, ageMs: number, isComplete: boolean): RoleReason | undefined {
    const others = this.otherReaders(nowMs);
    const isCurrent = isComplete && ageMs < PULL_AFTER_MS;
    return this.reading
      ? this.decideToStop(others, nowMs, isCurrent)
      : this.decideToRead(others, nowMs, ageMs);
  }

  private decideToStop(
    others: readonly ReaderSighting[],
    nowMs: number,
    isCurrent: boolean,
  ): RoleReason | undefined {
    const fresh = others.filter(({ provedAtMs }) => nowMs - provedAtMs < READER_FRESH_MS);
    const before = fresh.filter(({ id }) => hashString(id) > this.rank);
    if (!isCurrent || before.length < TARGET_READERS) return undefined;
    this.reading = false;
    this.volunteerAtMs = undefined;
    this.readAfterMs = this.drawReadAfter();
    return 'enough-readers';
  }

  private decideToRead(
    others: readonly ReaderSighting[],
    nowMs: number,
    ageMs: number,
  ): RoleReason | undefined {
    if (ageMs >= this.readAfterMs) return this.startReading('overdue');
    if (others.length >= TARGET_READERS) {
      this.volunteerAtMs = undefined;
      return undefined;
    }
    const spreadMs = others.length === 0 ? VOLUNTEER_ALONE_MS : VOLUNTEER_SECOND_MS;
    this.volunteerAtMs = Math.min(this.volunteerAtMs ?? Infinity, nowMs + this.random() * spreadMs);
    return nowMs >= this.volunteerAtMs ? this.startReading('too-few-readers') : undefined;
  }

  private startReading(reason: RoleReason): RoleReason {
    this.reading = true;
    return reason;
  }

  private drawReadAfter(): number {
    return READ_AFTER_MS + this.random() * READ_SPREAD_MS;
  }
}
