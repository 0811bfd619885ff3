/**
 * Rules of this balancer's own votes: what a vote says after a change, whether that is worth sending, and which version
 * it gets. They prevent a restarted balancer from being outvoted by its own votes from before the restart. No input or
 * output.
 */
import { answersHere } from './backend-belief-rules.js';
import { PASSIVE_FAILURE_THRESHOLD } from './constants.js';
import type { PassiveTracker } from './passive-tracker.js';
import { isNewer, Verdict, type Vote } from './votes.js';

/** What a vote says. */
export type VoteContent = Pick<Vote, 'verdict' | 'passiveFailures' | 'load'>;

/** The parts of a vote that change; those left out stay as they are. */
export type VotePatch = Partial<VoteContent>;

/** What an absent vote says: nothing for or against the back end. */
const NOTHING: VoteContent = { verdict: Verdict.VERDICT_NONE, passiveFailures: 0, load: undefined };

/** The content of a vote after a change; an absent vote counts as one that says nothing. */
export function patchedVote(known: VoteContent = NOTHING, patch: VotePatch): VoteContent {
  return {
    verdict: patch.verdict ?? known.verdict,
    passiveFailures: patch.passiveFailures ?? known.passiveFailures,
    load: patch.load ?? known.load,
  };
}

/**
 * True when the contents differ, so that the vote has to be sent. A load report is another one although it reads
 * the same.
 */
export function isChanged(known: VoteContent = NOTHING, next: VoteContent): boolean {
  const sameVerdict = known.verdict === next.verdict && known.passiveFailures === next.passiveFailures;
  return !sameVerdict || known.load !== next.load;
}

/**
 * Version of the next vote, unsigned 32 bits in serial order: the wall clock's, or the one after the previous
 * version when that is newer. The clock keeps versions rising over a restart, the successor when the clock was set
 * back.
 *
 * @param previous version of the vote that the next one replaces; undefined when none is known
 * @param fromClock wall-clock time in units of `VERSION_UNIT_MS`
 */
export function nextVersion(previous: number | undefined, fromClock: number): number {
  if (previous === undefined) return fromClock;
  const following = (previous + 1) >>> 0;
  return isNewer(fromClock, following) ? fromClock : following;
}

/**
 * Failures that the vote reports to the other members. A single failure beside openings that were just answered is
 * not worth a message; beyond the threshold the exact count adds nothing.
 *
 * @param nowMs monotonic ms
 */
export function sharedFailures(
  passive: Pick<PassiveTracker, 'failures' | 'lastAnsweredAtMs'>,
  nowMs: number,
): number {
  const failures = passive.failures(nowMs);
  if (answersHere(passive.lastAnsweredAtMs, nowMs) && failures < PASSIVE_FAILURE_THRESHOLD) return 0;
  return Math.min(PASSIVE_FAILURE_THRESHOLD, failures);
}
