/**
 * This balancer's own votes: merges what its prober and its data path say, numbers each change and has it sent.
 *
 * Owns the votes in its name in the `VoteTable`; relies on gossip to deliver each change, and on the wall clock for
 * versions that rise over a restart.
 */
import type { Clock } from '../../common/clock.js';
import { isChanged, nextVersion, patchedVote, type VoteContent, type VotePatch } from './own-vote-rules.js';
import type { Vote, VoteChange, VoteTable } from './votes.js';

/** Unit of the version's wall-clock part; 2^32 units are 34 years, so a restarted balancer's versions go on rising. */
const VERSION_UNIT_MS = 250;

/** Own votes of one balancer. */
export class OwnVotes {
  constructor(
    private readonly clock: Clock,
    private readonly memberHash: number,
    private readonly table: VoteTable,
    /** Called with each changed own vote. */
    private readonly onChange: (vote: Vote, change: Exclude<VoteChange, 'stale'>) => void,
  ) {}

  /** Changes parts of the vote on a back end; nothing happens when they are as they were. */
  update(backendId: number, patch: VotePatch): void {
    const known = this.table.get(backendId, this.memberHash);
    const next = patchedVote(known, patch);
    if (isChanged(known, next)) this.publish(backendId, next, known?.version);
  }

  /**
   * Answers a vote in this balancer's name that it did not give itself: one from before its restart. What it says now
   * goes out again with a higher version.
   */
  reclaim(foreign: Vote, now: VotePatch): void {
    this.publish(foreign.backendId, patchedVote(undefined, now), foreign.version);
  }

  private publish(backendId: number, content: VoteContent, previousVersion: number | undefined): void {
    const fromClock = Math.floor(this.clock.wall() / VERSION_UNIT_MS) >>> 0;
    const vote: Vote = {
      backendId,
      memberHash: this.memberHash,
      version: nextVersion(previousVersion, fromClock),
      ...content,
      learnedAtMs: this.clock.now(),
    };
    const change = this.table.apply(vote);
    if (change !== 'stale') this.onChange(vote, change);
  }
}
