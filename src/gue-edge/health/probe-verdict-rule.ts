/**
 * Rules of the probers' common verdict: whose votes count, and what they say together.
 *
 * They prevent one prober with a broken path from taking a back end out of use, and a change of probers from losing
 * what is known. A tie keeps the previous verdict; without any vote the verdict is unknown. No input or output.
 */
import { PROBERS_PER_BACKEND } from './constants.js';
import { Verdict, type Vote } from './votes.js';

/** Common verdict of the probers; unknown before any has voted. */
export type ProbeState = 'healthy' | 'unhealthy' | 'unknown';

/**
 * The votes that count: those of the assigned probers, and while some of them have not voted yet, the newest votes
 * of other members, so that a change of probers does not lose what is known. Votes of members that are gone are not
 * in `votes`.
 */
export function countingVotes(votes: Iterable<Vote>, assigned: readonly number[]): Vote[] {
  const given = [...votes].filter((vote) => vote.verdict !== Verdict.VERDICT_NONE);
  const fromAssigned = given.filter((vote) => assigned.includes(vote.memberHash));
  const wanted = Math.min(PROBERS_PER_BACKEND, Math.max(assigned.length, 1));
  if (fromAssigned.length >= wanted) return fromAssigned;
  const others = given.filter((vote) => !assigned.includes(vote.memberHash));
  others.sort((left, right) => right.learnedAtMs - left.learnedAtMs);
  return [...fromAssigned, ...others.slice(0, wanted - fromAssigned.length)];
}

/** Majority of the counting votes; a tie leaves the previous state, and a tie without one is healthy. */
export function commonVerdict(votes: readonly Vote[], previous: ProbeState): ProbeState {
  if (votes.length === 0) return 'unknown';
  const unhealthy = votes.filter((vote) => vote.verdict === Verdict.VERDICT_UNHEALTHY).length;
  const healthy = votes.length - unhealthy;
  if (unhealthy > healthy) return 'unhealthy';
  if (healthy > unhealthy) return 'healthy';
  return previous === 'unknown' ? 'healthy' : previous;
}
