/**
 * Starts and stops this daemon's calls to the source. Owns the followers of all topics: the first reading at the start,
 * and following while this daemon is a reader. Relies on `SourceFollower` and `LoadReader` for the calls themselves.
 */
import type { LoadReader } from '../load/index.js';
import { SourceFollower, type SourceFollowerOptions } from '../routing/index.js';

/** First reading and following of all topics. */
export class SourceReading {
  private readonly followers: readonly SourceFollower[];
  private running: AbortController | undefined;
  private readonly life = new AbortController();

  constructor(
    private readonly options: SourceFollowerOptions,
    private readonly loads: LoadReader,
  ) {
    this.followers = options.knowledge.topics.map((topic) => new SourceFollower(topic, options));
  }

  /** Calls to the source since start. */
  get calls(): number {
    return this.followers.reduce((sum, { calls }) => sum + calls, this.loads.calls);
  }

  /** Reads every topic once, unless gossip brings it sooner. */
  readFirst(): void {
    const readings = this.followers.map((follower) => follower.readFirst(this.life.signal));
    void Promise.all(readings).then(() => {
      if (!this.running) this.options.availability.endReading();
    });
  }

  /** Starts following, or ends it and aborts the calls under way. */
  set(isReading: boolean): void {
    if (isReading === (this.running !== undefined)) return;
    if (!isReading) return this.stopFollowing();
    const running = new AbortController();
    this.running = running;
    this.options.availability.beginReading();
    for (const follower of this.followers) void follower.run(running.signal);
    void this.loads.run(running.signal);
  }

  /** Aborts every call. */
  stop(): void {
    this.life.abort();
    this.stopFollowing();
  }

  private stopFollowing(): void {
    this.options.availability.endReading();
    this.running?.abort();
    this.running = undefined;
  }
}
