/** Starts and stops the two tasks that follow the source. */
import { SourceFollower, type RoutingTopic } from '../routing/index.js';
import type { SourceFollowerOptions } from '../routing/source-follower.js';

const TOPICS: readonly RoutingTopic[] = ['routes', 'backends'];

/** See the module. */
export class SourceReading {
  private readonly followers: readonly SourceFollower[];
  private running: AbortController | undefined;

  constructor(options: SourceFollowerOptions) {
    this.followers = TOPICS.map((topic) => new SourceFollower(topic, options));
  }

  /** Calls to the source since start. */
  get calls(): number {
    return this.followers.reduce((sum, { calls }) => sum + calls, 0);
  }

  /** Starts reading, or ends it together with the calls under way. */
  set(isReading: boolean): void {
    if (isReading === (this.running !== undefined)) return;
    if (!isReading) return this.stop();
    const running = new AbortController();
    this.running = running;
    for (const follower of this.followers) void follower.run(running.signal);
  }

  stop(): void {
    this.running?.abort();
    this.running = undefined;
  }
}
