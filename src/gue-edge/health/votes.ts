/**
 * Table of votes: each member's verdict, failures and load report on each back end.
 *
 * Owns the votes and their digest. Relies on each member to raise its version with every change: the newest wins,
 * and a vote of the same version is ignored.
 */
import { combine32 } from '../../common/hash.js';
import { VOTE_DIGEST_BUCKETS, REMOTE_FAILURE_CAP } from './constants.js';
import { sailquay } from './pb/health.js';

export const Verdict = sailquay.health.Verdict;
export type Verdict = sailquay.health.Verdict;

/** A back end's own report of its load. */
export interface ReportedLoad {
  readonly openFlows: number;
  readonly capacity: number;
  /** Monotonic ms on this balancer when the sample was taken, as well as its age in the message tells. */
  readonly sampledAtMs: number;
}

/** One member's vote on one back end. */
export interface Vote {
  readonly memberHash: number;
  readonly backendId: number;
  /** Unsigned 32 bits; compared in serial order. */
  readonly version: number;
  readonly verdict: Verdict;
  readonly passiveFailures: number;
  readonly load: ReportedLoad | undefined;
  /** Monotonic ms when this balancer learned it. */
  readonly learnedAtMs: number;
}

/** What a new vote changed. */
export type VoteChange = 'stale' | 'load' | 'verdict';

/** Half of the 32-bit serial numbers: a distance below it means newer. */
const HALF_RANGE = 0x8000_0000;

/** True when `left` is newer than `right` in 32-bit serial order. */
export function isNewer(left: number, right: number): boolean {
  const distance = (left - right) >>> 0;
  return distance > 0 && distance < HALF_RANGE;
}

/** All votes that this balancer knows; size: back ends × voters of each. */
export class VoteTable {
  private readonly byBackend = new Map<number, Map<number, Vote>>();
  /** Back ends with votes, by digest bucket. */
  private readonly backendsByBucket = Array.from({ length: VOTE_DIGEST_BUCKETS }, () => new Set<number>());
  /** The digest, kept up to date with each change. */
  private readonly buckets = new Uint32Array(VOTE_DIGEST_BUCKETS);

  /** Stores a vote unless a newer one of the same member is known. */
  apply(vote: Vote): VoteChange {
    const votes = this.votesOf(vote.backendId);
    const known = votes.get(vote.memberHash);
    if (known && !isNewer(vote.version, known.version)) return 'stale';
    votes.set(vote.memberHash, vote);
    if (known) this.toggle(known);
    this.toggle(vote);
    const sameVerdict = known?.verdict === vote.verdict && known.passiveFailures === vote.passiveFailures;
    return sameVerdict ? 'load' : 'verdict';
  }

  get(backendId: number, memberHash: number): Vote | undefined {
    return this.byBackend.get(backendId)?.get(memberHash);
  }

  /** Every vote on a back end. */
  votesOn(backendId: number): Iterable<Vote> {
    return this.byBackend.get(backendId)?.values() ?? [];
  }

  /** Drops the votes of members and on back ends that no longer exist. */
  retain(memberHashes: ReadonlySet<number>, backendIds: ReadonlySet<number>): void {
    for (const [backendId, votes] of this.byBackend) {
      const backendExists = backendIds.has(backendId);
      for (const [memberHash, vote] of votes) {
        if (backendExists && memberHashes.has(memberHash)) continue;
        votes.delete(memberHash);
        this.toggle(vote);
      }
      if (backendExists) continue;
      this.byBackend.delete(backendId);
      this.backendsByBucket[bucketOf(backendId)]!.delete(backendId);
    }
  }

  /** Openings without an answer that members for which `counts` is true saw, each member's count capped. */
  remoteFailures(backendId: number, counts: (memberHash: number) => boolean): number {
    let total = 0;
    for (const vote of this.votesOn(backendId)) {
      if (vote.passiveFailures > 0 && counts(vote.memberHash))
        total += Math.min(REMOTE_FAILURE_CAP, vote.passiveFailures);
    }
    return total;
  }

  /** One hash for each bucket of back ends over the verdicts; loads and passive counts are left out. */
  digest(): number[] {
    return [...this.buckets];
  }

  /** The votes in one bucket. */
  votesInBucket(bucket: number): Vote[] {
    const found: Vote[] = [];
    for (const backendId of this.backendsByBucket[bucket] ?? []) found.push(...this.votesOn(backendId));
    return found;
  }

  private votesOf(backendId: number): Map<number, Vote> {
    let votes = this.byBackend.get(backendId);
    if (!votes) {
      votes = new Map();
      this.byBackend.set(backendId, votes);
      this.backendsByBucket[bucketOf(backendId)]!.add(backendId);
    }
    return votes;
  }

  /** Adds a vote to the digest, or takes it out again. */
  private toggle(vote: Vote): void {
    this.buckets[bucketOf(vote.backendId)]! ^= verdictHash(vote);
  }
}

/** Digest bucket of a back end. */
export function bucketOf(backendId: number): number {
  return backendId % VOTE_DIGEST_BUCKETS;
}

function verdictHash(vote: Vote): number {
  if (vote.verdict === Verdict.VERDICT_NONE) return 0;
  return combine32(combine32(vote.backendId, vote.memberHash), vote.verdict);
}
