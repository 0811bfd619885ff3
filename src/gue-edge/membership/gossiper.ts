/**
 * Gossip rounds: while updates are queued, each round sends some of them to a few random members.
 *
 * Owns the timer of the next round. Relies on the queue for what is sent, and on the byte budget for how many
 * members get it.
 */
import type { RandomSource } from '../../common/random.js';
import type { TimerHandle } from '../../common/clock.js';
import {
  GOSSIP_BYTES,
  MEMBERSHIP_FANOUT,
  GOSSIP_RESERVE_BYTES_PER_SECOND,
  type MembershipTiming,
} from './constants.js';
import type { GossipQueue } from './gossip-queue.js';
import type { GuardedTimers } from './guarded-timers.js';
import type { MemberTable } from './member-table.js';
import type { Messenger } from './messenger.js';
import { sampleMembers } from './sampling.js';
import { MessageType } from './wire.js';

/** What the gossiper works with. */
interface GossiperContext {
  readonly table: MemberTable;
  readonly queue: GossipQueue;
  readonly timers: GuardedTimers;
  readonly random: RandomSource;
  readonly timing: MembershipTiming;
  readonly messenger: Messenger;
  readonly availableBytesPerSecond: () => number;
}

/** Runs only while the queue holds something. */
export class Gossiper {
  private timer: TimerHandle | undefined;
  private stopped = false;

  constructor(private readonly context: GossiperContext) {}

  /** Schedules a round unless one is due; call it after queueing an update. */
  wake(): void {
    if (this.timer || this.stopped) return;
    const { timers, timing } = this.context;
    this.timer = timers.schedule(timing.gossipIntervalMs, () => {
      this.timer = undefined;
      this.spread(this.affordableFanout());
      if (this.context.queue.size > 0) this.wake();
    });
  }

  /** Sends queued updates to `fanout` members now. */
  spread(fanout: number): void {
    const { table, queue, random, messenger } = this.context;
    const isWell = (member: { suspected: boolean }): boolean => !member.suspected;
    for (const peer of sampleMembers(table.peers(), fanout, random, isWell)) {
      if (queue.size === 0) return;
      messenger.send(peer.identity.control, { type: MessageType.GOSSIP, entries: queue.take(GOSSIP_BYTES) });
    }
  }

  /** One member instead of several while the byte budget is nearly used up. */
  private affordableFanout(): number {
    return this.context.availableBytesPerSecond() < GOSSIP_RESERVE_BYTES_PER_SECOND ? 1 : MEMBERSHIP_FANOUT;
  }

  stop(): void {
    this.stopped = true;
    this.timer?.cancel();
  }
}
