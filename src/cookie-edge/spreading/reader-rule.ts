/**
 * Rule: whether this daemon reads the source ("is a reader"). Does no input or output; `ReaderRole` keeps the state and
 * draws the random numbers.
 *
 * Prevents a load on the source that grows with the fleet, and a fleet that no daemon keeps current. There is no
 * election: extra readers only cost calls, so no agreement is needed.
 *
 * A reader stands down only while its own knowledge is current and enough fresh readers outrank it. Staleness is tested
 * before rank, because the readers that it hears of may be the ones that the source does not answer.
 *
 * For a daemon that does not read, an overdue confirmation comes first: it reads whatever readers exist, after a delay
 * that depends on the fleet's size alone, so that a source that refuses some daemons is tried by others. Next, a daemon
 * that has not received both lists yet is reading them already; following them as well would only add calls, since all
 * daemons that started with it are in the same state. Last comes the number of readers: below the target it volunteers
 * after a delay that is shorter the higher its rank.
 *
 * Equal ranks do not outrank each other, so that both keep reading. Readers not heard of count as absent; a daemon that
 * has heard of none since its start waits longer, because all daemons may have started together.
 */
import type { FreshnessTimings } from '../routing/index.js';
import {
  TARGET_READERS,
  VOLUNTEER_ALONE_MS,
  VOLUNTEER_AT_START_MS,
  VOLUNTEER_SECOND_MS,
} from './constants.js';
import { readDelayMs } from './source-read-pacing.js';

/** Inputs of the rule; times in ms. */
export interface ReaderSituation {
  readonly isReading: boolean;
  /** Time since routes and back ends were last confirmed to be current. */
  readonly ageMs: number;
  /** The same, but no longer than since the first decision of this daemon. */
  readonly unconfirmedMs: number;
  /** Routes and back ends have both been received. */
  readonly isComplete: boolean;
  /** The source has answered for both topics, even with an empty list. */
  readonly hasBeenRead: boolean;
  /** Other readers heard of within `readerMissedMs`. */
  readonly otherReaders: number;
  /** Those of a higher rank that confirmed something within `readerFreshMs`. */
  readonly freshSuperiors: number;
  /** Some other reader was heard of since the start. */
  readonly hasHeardOfReaders: boolean;
  /** Random position among the daemons that lack a confirmation, from 0 (first) to 1. */
  readonly overduePosition: number;
  /** Estimated number of daemons that take this decision, this one included. */
  readonly daemons: number;
  /** The mechanism `standing-down` is on. */
  readonly mayStandDown: boolean;
  /** The mechanism `asking-turns` is on. */
  readonly isPaced: boolean;
}

/** What a daemon does until its next decision. */
export type ReaderOutcome =
  | { readonly kind: 'keep-reading' | 'stand-down' }
  /** Starts reading at once, because its confirmation is overdue. */
  | { readonly kind: 'read-overdue' }
  /** Overdue, but others read first. */
  | { readonly kind: 'await-overdue-turn' }
  /** The first lists are still being read. */
  | { readonly kind: 'await-first-lists' }
  /** Others read; a planned start is dropped. */
  | { readonly kind: 'leave-to-others' }
  /** Too few readers: starts within `withinMs`, sooner the higher its rank, unless readers turn up. */
  | { readonly kind: 'volunteer'; readonly withinMs: number };

/** Decides on the role until the next tick. */
export function decideReader(situation: ReaderSituation, timings: FreshnessTimings): ReaderOutcome {
  if (situation.isReading) return { kind: mustStandDown(situation, timings) ? 'stand-down' : 'keep-reading' };
  if (situation.unconfirmedMs >= timings.readAfterMs) {
    const isDue = situation.unconfirmedMs >= timings.readAfterMs + overdueDelayMs(situation, timings);
    return { kind: isDue ? 'read-overdue' : 'await-overdue-turn' };
  }
  if (!situation.hasBeenRead) return { kind: 'await-first-lists' };
  if (situation.otherReaders >= TARGET_READERS) return { kind: 'leave-to-others' };
  return { kind: 'volunteer', withinMs: volunteerSpreadMs(situation) };
}

function mustStandDown(situation: ReaderSituation, { pullAfterMs }: FreshnessTimings): boolean {
  const { mayStandDown, isComplete, ageMs, freshSuperiors } = situation;
  const isCurrent = isComplete && ageMs < pullAfterMs;
  return mayStandDown && isCurrent && freshSuperiors >= TARGET_READERS;
}

function overdueDelayMs(
  { isPaced, overduePosition, daemons }: ReaderSituation,
  { readSpreadMs }: FreshnessTimings,
): number {
  return isPaced ? readDelayMs(overduePosition, daemons, readSpreadMs) : overduePosition * readSpreadMs;
}

function volunteerSpreadMs({ otherReaders, hasHeardOfReaders }: ReaderSituation): number {
  if (otherReaders > 0) return VOLUNTEER_SECOND_MS;
  return hasHeardOfReaders ? VOLUNTEER_ALONE_MS : VOLUNTEER_AT_START_MS;
}
