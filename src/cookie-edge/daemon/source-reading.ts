/** Reads the source once at the start, and starts and stops the tasks that follow it and that read the back ends' load. */
import type { LoadReader } from '../load/index.js';
import { SourceFollower } from '../routing/index.js';
import type { SourceFollowerOptions } from '../routing/source-follower.js';

/** See the module. */
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

  /** Learns what there is, if nobody else tells it sooner. */
  readFirst(): void {
    const readings = this.followers.map((follower) => follower.readFirst(this.life.signal));
    void Promise.all(readings).then(() => {
      if (!this.running) this.options.circuit.end();
    });
  }

  /** Starts following, or ends it together with the calls under way. */
  set(isReading: boolean): void {
    if (isReading === (this.running !== undefined)) return;
    if (!isReading) return this.stopFollowing();
    const running = new AbortController();
    this.running = running;
    this.options.circuit.begin();
    for (const follower of this.followers) void follower.run(running.signal);
    void this.loads.run(running.signal);
  }

  /** Ends everything. */
  stop(): void {
    this.life.abort();
    this.stopFollowing();
  }

  private stopFollowing(): void {
    this.options.circuit.end();
    this.running?.abort();
    this.running = undefined;
  }
}
