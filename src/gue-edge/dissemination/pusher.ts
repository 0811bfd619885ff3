/**
 * Eager gossip: a member that has just applied a version tells a few random peers, in a few rounds.
 *
 * Owns which peers are known to have the newest tree, so that they are skipped. Relies on anti-entropy for the
 * members that all rounds miss.
 */
import type { Clock } from '../../common/clock.js';
import { jitter, type RandomSource } from '../../common/random.js';
import type { Endpoint } from '../../common/types.js';
import type { MembershipFeed } from '../membership/types.js';
import { PAUSE_SPREAD, PUSH_FANOUT, PUSH_ROUND_INTERVAL_MS, PUSH_ROUNDS } from './constants.js';
import type { Messenger } from './messenger.js';
import { encodeNodeSet } from './node-set.js';
import { livePeers, sample } from './peers.js';
import { encodeStamp, NO_TREE, sameTree, type TreeStamp } from './stamp.js';
import type { AppliedTree, TreeHolder } from './tree-holder.js';

/** What a pusher works with. */
interface PusherOptions {
  readonly holder: TreeHolder;
  readonly messenger: Messenger;
  readonly membership: MembershipFeed;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** Remembers which peers have the tree in force, so that none is told twice. */
export class Pusher {
  /** Peers that are known to have the tree in force. */
  private informed = new Set<string>();
  private informedOf: TreeStamp = NO_TREE;

  constructor(private readonly options: PusherOptions) {}

  /** Notes that a peer has a tree. */
  note(peerId: string, stamp: TreeStamp): void {
    if (!sameTree(stamp, this.informedOf)) {
      if (stamp.version <= this.informedOf.version) return;
      this.informedOf = stamp;
      this.informed = new Set();
    }
    this.informed.add(peerId);
  }

  /** Starts the rounds for a tree that has just taken effect. */
  spread(applied: AppliedTree, signal: AbortSignal): void {
    const { stamp } = applied.tree;
    const payload = this.announcement(applied);
    if (!sameTree(this.informedOf, stamp)) this.informed = new Set();
    this.informedOf = stamp;
    const round = (roundsLeft: number): void => {
      if (signal.aborted || roundsLeft === 0 || !sameTree(this.options.holder.stamp(), stamp)) return;
      this.pushOnce(payload);
      const pauseMs = jitter(PUSH_ROUND_INTERVAL_MS, PAUSE_SPREAD, this.options.random);
      this.options.clock.schedule(pauseMs, () => round(roundsLeft - 1));
    };
    round(PUSH_ROUNDS);
  }

  /** Tells one peer of the tree in force, with the way to it from `have` when that is known and fits. */
  announceTo(endpoint: Endpoint, have: TreeStamp): void {
    const stamp = this.options.holder.stamp();
    const changes = have.version > 0 ? this.options.holder.log.changesSince(have) : undefined;
    const bare = { announcement: { stamp: encodeStamp(stamp) } };
    if (!changes) {
      this.options.messenger.send(endpoint, bare);
      return;
    }
    const delta = encodeNodeSet(changes);
    const full = { announcement: { stamp: encodeStamp(stamp), base: encodeStamp(have), delta } };
    const payload = this.options.messenger.encode(full) ?? this.options.messenger.encode(bare);
    if (payload) this.options.messenger.sendPayload(endpoint, payload);
  }

  private announcement(applied: AppliedTree): Uint8Array {
    const stamp = encodeStamp(applied.tree.stamp);
    const bare = this.options.messenger.encode({ announcement: { stamp } }) as Uint8Array;
    if (applied.base.version === 0) return bare;
    const delta = encodeNodeSet(applied.changes);
    const base = encodeStamp(applied.base);
    return this.options.messenger.encode({ announcement: { stamp, base, delta } }) ?? bare;
  }

  private pushOnce(payload: Uint8Array): void {
    const ignorant = livePeers(this.options.membership).filter((peer) => !this.informed.has(peer.id));
    for (const peer of sample(ignorant, PUSH_FANOUT, this.options.random)) {
      if (this.options.messenger.sendPayload(peer.control, payload)) this.informed.add(peer.id);
    }
  }
}
