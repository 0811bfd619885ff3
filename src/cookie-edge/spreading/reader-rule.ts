/**
 * Rule: whether this daemon reads the source, that is, whether it is a reader. Does no input or output; `ReaderRole`
 * keeps the state and draws the random numbers.
 *
 * Prevents a load on the source that grows with the fleet, and a fleet whose data becomes outdated because no daemon
 * reads. There is no election: too many readers only cost additional calls, so daemons need not agree.
 *
 * A reader stands down only while its own data is current and enough fresh readers of higher rank exist. Staleness is
 * checked before rank, because the other readers may be those to which the source does not respond.
 *
 * For a daemon that does not read, the conditions are checked in this order:
 * - An overdue confirmation comes first. The daemon reads even if there are readers, after a delay that depends only on
 *   the fleet size and its random position: if the source refuses some daemons, others still try. The fleet size does
 *   not count if a peer has announced a change that is missing here, since the source answers other daemons then.
 * - A daemon that has not received both lists yet is already reading them. It does not follow the source as well: that
 *   would only add calls, since all daemons that started at the same time are in the same state.
 * - The number of readers comes last. Below the target the daemon volunteers after a delay, which is shorter for a
 *   higher rank.
 *
 * Daemons of equal rank do not outrank each other, so both keep reading. Unknown readers count as absent. A daemon that
 * has seen no reader since its start waits longer, because all daemons may have started together.
 */
import type { FreshnessTimings } from '../routing/index.js';
import {
  TARGET_READERS,
  VOLUNTEER_NO_READER_MS,
  VOLUNTEER_AT_START_MS,
  VOLUNTEER_ONE_READER_MS,
} from './constants.js';
import { readDelayMs } from './source-read-pacing.js';

/** Inputs of the rule; times in ms. */
export interface ReaderSituation {
  readonly isReading: boolean;
  /** Time since routes and back ends were last confirmed to be current. */
  readonly ageMs: number;
  /** `ageMs`, limited to the time since the first decision of this daemon. */
  readonly unconfirmedMs: number;
  /** Routes and back ends have both been received. */
  readonly isComplete: boolean;
  /** The source has answered for both topics, even with an empty list. */
  readonly hasBeenRead: boolean;
  /** Number of other readers that received a confirmation from the source within `readerMissedMs`. */
  readonly otherReaders: number;
  /** Number of other readers of higher rank that received one within `readerFreshMs`. */
  readonly freshHigherRanked: number;
  /** This daemon has seen another reader since its start. */
  readonly hasSeenOtherReaders: boolean;
  /** Random position among the daemons that lack a confirmation, from 0 (first) to 1. */
  readonly overduePosition: number;
  /** Estimated number of daemons that make this decision, including this one. */
  readonly daemons: number;
  /** A peer has announced a change that is missing here. */
  readonly lacksAnnouncedChange: boolean;
  /** The mechanism `standing-down` is on. */
  readonly canStandDown: boolean;
  /** The mechanism `asking-turns` is on. */
  readonly isPaced: boolean;
}

/** Outcome of the rule, valid until the next decision. */
export type ReaderOutcome =
  | { readonly kind: 'keep-reading' | 'stand-down' }
  /** Starts reading at once, since the confirmation is overdue. */
  | { readonly kind: 'read-overdue' }
  /** Waits for another `remainingMs`, although the confirmation is overdue: other daemons read first. */
  | { readonly kind: 'await-overdue-turn'; readonly remainingMs: number }
  /** Waits for the first lists, which are being read. */
  | { readonly kind: 'await-first-lists' }
  /** Enough other daemons read; cancels a scheduled start. */
  | { readonly kind: 'leave-to-others' }
  /** Too few readers: starts within `withinMs`, earlier with a higher rank, unless enough readers appear before. */
  | { readonly kind: 'volunteer'; readonly withinMs: number };

/** Decides on the role until the next tick. See the head of this file for the order of the conditions. */
export function decideReaderRole(situation: ReaderSituation, timings: FreshnessTimings): ReaderOutcome {
  if (situation.isReading)
    return { kind: shouldStandDown(situation, timings) ? 'stand-down' : 'keep-reading' };
  if (situation.unconfirmedMs >= timings.readAfterMs) {
    const dueAfterMs = timings.readAfterMs + overdueDelayMs(situation, timings);
    const remainingMs = dueAfterMs - situation.unconfirmedMs;
    return remainingMs <= 0 ? { kind: 'read-overdue' } : { kind: 'await-overdue-turn', remainingMs };
  }
  if (!situation.hasBeenRead) return { kind: 'await-first-lists' };
  if (situation.otherReaders >= TARGET_READERS) return { kind: 'leave-to-others' };
  return { kind: 'volunteer', withinMs: volunteerSpreadMs(situation) };
}

function shouldStandDown(situation: ReaderSituation, { pullAfterMs }: FreshnessTimings): boolean {
  const { canStandDown, isComplete, ageMs, freshHigherRanked } = situation;
  const isCurrent = isComplete && ageMs < pullAfterMs;
  return canStandDown && isCurrent && freshHigherRanked >= TARGET_READERS;
}

function overdueDelayMs(
  { isPaced, overduePosition, daemons, lacksAnnouncedChange }: ReaderSituation,
  { readSpreadMs }: FreshnessTimings,
): number {
  const waitsForFleet = isPaced && !lacksAnnouncedChange;
  return waitsForFleet ? readDelayMs(overduePosition, daemons, readSpreadMs) : overduePosition * readSpreadMs;
}

function volunteerSpreadMs({ otherReaders, hasSeenOtherReaders }: ReaderSituation): number {
  if (otherReaders > 0) return VOLUNTEER_ONE_READER_MS;
  return hasSeenOtherReaders ? VOLUNTEER_NO_READER_MS : VOLUNTEER_AT_START_MS;
}
