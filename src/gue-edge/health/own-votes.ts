/** This balancer's own votes: merges what its prober and its data path say, numbers each change and has it spread. */
import type { Clock } from '../../common/clock.js';
import { isNewer, Verdict, type ReportedLoad, type Vote, type VoteChange, type VoteTable } from './votes.js';

/** Unit of the version's wall-clock part; 2^32 units are 34 years, so a restarted balancer's versions go on rising. */
const VERSION_UNIT_MS = 250;

/** The parts of a vote that can change. */
export interface VotePatch {
  readonly verdict?: Verdict;
  readonly passiveFailures?: number;
  readonly load?: ReportedLoad;
}

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
    const verdict = patch.verdict ?? known?.verdict ?? Verdict.VERDICT_NONE;
    const passiveFailures = patch.passiveFailures ?? known?.passiveFailures ?? 0;
    const load = patch.load ?? known?.load;
    const said = known ?? { verdict: Verdict.VERDICT_NONE, passiveFailures: 0, load: undefined };
    if (said.verdict === verdict && said.passiveFailures === passiveFailures && said.load === load) return;
    this.publish({ backendId, verdict, passiveFailures, load }, known?.version);
  }

  /**
   * Answers a vote in this balancer's name that it did not give itself: one from before its restart. What it says now
   * goes out again with a higher version.
   */
  reclaim(foreign: Vote, now: VotePatch): void {
    const { backendId } = foreign;
    const verdict = now.verdict ?? Verdict.VERDICT_NONE;
    this.publish(
      { backendId, verdict, passiveFailures: now.passiveFailures ?? 0, load: now.load },
      foreign.version,
    );
  }

  private publish(
    vote: Pick<Vote, 'backendId' | 'verdict' | 'passiveFailures' | 'load'>,
    previousVersion: number | undefined,
  ): void {
    const fromClock = Math.floor(this.clock.wall() / VERSION_UNIT_MS) >>> 0;
    const following = previousVersion === undefined ? fromClock : (previousVersion + 1) >>> 0;
    const version = isNewer(fromClock, following) ? fromClock : following;
    const complete = { ...vote, memberHash: this.memberHash, version, learnedAtMs: this.clock.now() };
    const change = this.table.apply(complete);
    if (change !== 'stale') this.onChange(complete, change);
  }
}
