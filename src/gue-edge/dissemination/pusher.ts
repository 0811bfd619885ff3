/** Eager gossip: a member that has just applied a version tells a few random peers, in a few rounds. */
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

export class Pusher {
  /** Peers that are known to have the tree in force. */
  private informed = new Set<string>();
  private informedOf: TreeStamp = NO_TREE;

  constructor(
    private readonly holder: TreeHolder,
    private readonly messenger: Messenger,
    private readonly membership: MembershipFeed,
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

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
      if (signal.aborted || roundsLeft === 0 || !sameTree(this.holder.stamp(), stamp)) return;
      this.pushOnce(payload);
      const pauseMs = jitter(PUSH_ROUND_INTERVAL_MS, PAUSE_SPREAD, this.random);
      this.clock.schedule(pauseMs, () => round(roundsLeft - 1));
    };
    round(PUSH_ROUNDS);
  }

  /** Tells one peer of the tree in force, with the way to it from `have` when that is known and fits. */
  announceTo(endpoint: Endpoint, have: TreeStamp): void {
    const stamp = this.holder.stamp();
    const changes = have.version > 0 ? this.holder.log.changesSince(have) : undefined;
    const bare = { announcement: { stamp: encodeStamp(stamp) } };
    if (!changes) {
      this.messenger.send(endpoint, bare);
      return;
    }
    const delta = encodeNodeSet(changes);
    const full = { announcement: { stamp: encodeStamp(stamp), base: encodeStamp(have), delta } };
    const payload = this.messenger.encode(full) ?? this.messenger.encode(bare);
    if (payload) this.messenger.sendPayload(endpoint, payload);
  }

  private announcement(applied: AppliedTree): Uint8Array {
    const stamp = encodeStamp(applied.tree.stamp);
    const bare = this.messenger.encode({ announcement: { stamp } }) as Uint8Array;
    if (applied.base.version === 0) return bare;
    const delta = encodeNodeSet(applied.changes);
    const base = encodeStamp(applied.base);
    return this.messenger.encode({ announcement: { stamp, base, delta } }) ?? bare;
  }

  private pushOnce(payload: Uint8Array): void {
    const ignorant = livePeers(this.membership).filter((peer) => !this.informed.has(peer.id));
    for (const peer of sample(ignorant, PUSH_FANOUT, this.random)) {
      if (this.messenger.sendPayload(peer.control, payload)) this.informed.add(peer.id);
    }
  }
}
