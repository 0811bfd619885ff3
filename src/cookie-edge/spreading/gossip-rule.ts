/**
 * Rule: what is gossiped, how soon, and to how many peers. Does no input or output; `UpdateSender` owns the timers,
 * `MessageComposer` fills the messages.
 *
 * Prevents two failures: changes and reports that reach the fleet too late, and message rates that grow with the number
 * of events. A daemon that detects 100 dead back ends within 2 s sends at most 33 additional messages; without the
 * batching delay of ejections it would send 96.
 *
 * Each trigger has its own delay:
 * - A change is sent at once, unless another change was sent a moment ago: it must be in force everywhere within the
 *   freshness bound.
 * - Confirmations are repeated after a change, since a peer that missed the push pulls the change when it sees the
 *   newer revision.
 * - The first ejection is sent after the same delay as a confirmation; further ones are batched.
 * - Bad answers are batched and sent in messages of their own.
 * - A load report triggers no push. The next push without changes carries it, since a delay does no harm.
 *
 * If a message cannot hold all reports, the newest go first; reports of equal age keep their order of arrival. Expired
 * reports are not gossiped, since receivers would ignore them.
 */
import {
  BAD_ANSWER_BATCH_MS,
  CHANGE_BATCH_MS,
  CONFIRMATION_BATCH_MS,
  MIN_CONFIRMATION_ADVANCE_MS,
  EJECTION_BATCH_MS,
  REPEAT_CONFIRMATION_MS,
} from './constants.js';

/** Event that causes a push to other daemons. */
export type GossipTrigger = 'change' | 'confirmation' | 'repeated-confirmation' | 'ejection' | 'bad-answer';

/**
 * Returns the delay in ms before the push; 0 sends it at once.
 *
 * @param nowMs monotonic ms
 * @param lastPushMs monotonic ms of the last push for the same trigger; minus infinity if there was none
 */
export function pushDelayMs(trigger: GossipTrigger, nowMs: number, lastPushMs: number): number {
  switch (trigger) {
    case 'change':
      return Math.max(0, lastPushMs + CHANGE_BATCH_MS - nowMs);
    case 'confirmation':
      return CONFIRMATION_BATCH_MS;
    case 'repeated-confirmation':
      return REPEAT_CONFIRMATION_MS;
    case 'ejection':
      return Math.max(CONFIRMATION_BATCH_MS, lastPushMs + EJECTION_BATCH_MS - nowMs);
    case 'bad-answer':
      return BAD_ANSWER_BATCH_MS;
  }
}

/** Returns whether a received confirmation is enough newer than the previous one to be forwarded; ages in ms. */
export function shouldForwardConfirmation(previousAgeMs: number, newAgeMs: number): boolean {
  return previousAgeMs - newAgeMs >= MIN_CONFIRMATION_ADVANCE_MS;
}

/** Selects up to `limit` reports for a message, the newest first. */
export function newestReports<Report extends { readonly atMs: number }>(
  reports: Iterable<Report>,
  limit: number,
): Report[] {
  return [...reports].sort((left, right) => right.atMs - left.atMs).slice(0, limit);
}
