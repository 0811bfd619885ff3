/**
 * Starts and stops this daemon's calls to the source: one read of each topic at the start, and continuous following
 * while this daemon is a reader. Owns one `SourceFollower` for each topic. The followers and `LoadReader` make the
 * calls.
 */
import type { LoadReader } from '../load/index.js';
import { SourceFollower, type SourceFollowerOptions } from '../routing/index.js';

/** Reads all topics once at the start, and follows them while this daemon is a reader. */
export class SourceReading {
  private readonly followers: readonly SourceFollower[];
  private followAbort: AbortController | undefined;
  private readonly lifetimeAbort = new AbortController();

  constructor(
    private readonly options: SourceFollowerOptions,
    private readonly loadReader: LoadReader,
  ) {
    this.followers = options.knowledge.topics.map((topic) => new SourceFollower(topic, options));
  }

  /** Calls to the source since start. */
  get calls(): number {
    return this.followers.reduce((sum, { calls }) => sum + calls, this.loadReader.sourceCallCount);
  }

  /** Reads every topic once, unless gossip delivers it first. */
  readFirst(): void {
    const readings = this.followers.map((follower) => follower.readFirst(this.lifetimeAbort.signal));
    void Promise.all(readings).then(() => {
      if (!this.followAbort) this.options.availability.endReading();
    });
  }

  /** Starts to follow all topics, or stops and aborts the calls in progress. */
  setFollowing(shouldFollow: boolean): void {
    if (shouldFollow === (this.followAbort !== undefined)) return;
    if (!shouldFollow) return this.stopFollowing();
    const followAbort = new AbortController();
    this.followAbort = followAbort;
    this.options.availability.beginReading();
    for (const follower of this.followers) void follower.run(followAbort.signal);
    void this.loadReader.run(followAbort.signal);
  }

  /** Aborts all calls. */
  stop(): void {
    this.lifetimeAbort.abort();
    this.stopFollowing();
  }

  private stopFollowing(): void {
    this.options.availability.endReading();
    this.followAbort?.abort();
    this.followAbort = undefined;
  }
}
