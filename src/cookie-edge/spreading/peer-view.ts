/**
 * The peers that this daemon knows: all of them in a small fleet, a random part in a large one, and the estimated size
 * of the fleet. Owns the turns of peers and the random draws; `peer-choice.ts` decides who gets a push and who owns a
 * key. Relies on `Spreader` to report whom it hears of.
 */
import { hashString } from '../../common/hash.js';
import { pick, type RandomSource } from '../../common/random.js';
import { formatEndpoint, type Endpoint } from '../../common/types.js';
import type { EventLog } from '../../observability/event.js';
import { ALONE_AFTER_MS, MAX_PEERS, PEER_FORGET_MS, SIZE_SAMPLE } from './constants.js';
import { SPREADING_EVENTS } from './events.js';
import { FleetSizeSketch, hashOfDaemon } from './fleet-size.js';
import { choosePeersOfPush, isAmongOwners, type PeerWithTurn } from './peer-choice.js';
import type { Peer } from './types.js';

/** Collaborators of a view. */
interface PeerViewOptions {
  readonly self: Endpoint;
  readonly zone: string;
  readonly random: RandomSource;
  readonly events: EventLog;
}

/** A peer as the view keeps it. */
interface ListedPeer extends PeerWithTurn {
  /** `hashOfDaemon` of its address, by which keys get their owners. */
  readonly hash: number;
}

/** Peers of one daemon. */
export class PeerView {
  private readonly peers = new Map<string, ListedPeer>();
  private turns = 0;
  private heardDirectlyMs = Number.NEGATIVE_INFINITY;
  private readonly selfText: string;
  private readonly sketch: FleetSizeSketch;

  constructor(private readonly options: PeerViewOptions) {
    this.sketch = new FleetSizeSketch(options.self);
    this.selfText = formatEndpoint(options.self);
  }

  get size(): number {
    return this.peers.size;
  }

  /** Records that a peer was heard of at `heardAtMs`, directly or through another. */
  record(endpoint: Endpoint, zone: string, heardAtMs: number): void {
    const key = formatEndpoint(endpoint);
    if (key === this.selfText) return;
    this.sketch.record(endpoint, zone, heardAtMs);
    const known = this.peers.get(key);
    if (known?.zone === zone) {
      known.heardAtMs = Math.max(known.heardAtMs, heardAtMs);
      return;
    }
    if (!known && this.peers.size >= MAX_PEERS) this.makeRoom();
    const turn = this.turns + this.options.random();
    this.peers.set(key, { endpoint, zone, heardAtMs, turn, hash: hashOfDaemon(endpoint) });
    if (!known) this.options.events.emit(SPREADING_EVENTS.peerKnown, { peer: key, zone, peers: this.size });
  }

  /**
   * Estimated number of daemons that reach each other by gossip, this one included: one when no peer has sent
   * anything for `ALONE_AFTER_MS`, however many are remembered.
   */
  reachableDaemons(nowMs: number): number {
    return nowMs - this.heardDirectlyMs < ALONE_AFTER_MS ? this.fleetSize : 1;
  }

  /** Estimated number of daemons, this one included. */
  get fleetSize(): number {
    return Math.max(this.size + 1, this.sketch.estimate());
  }

  /**
   * True when this daemon is among the `count` that rendezvous hashing assigns to `key`. Daemons that know the same
   * peers agree: the owners come from all daemons while each knows them all, and otherwise from the sample that each
   * remembers.
   */
  isOwner(key: string, count: number): boolean {
    const candidates = this.size < MAX_PEERS ? this.peers.values() : this.sketch.othersOfSample;
    return isAmongOwners(hashString(key), this.sketch.selfHash, candidates, count);
  }

  /** Records that a peer itself sent a message. */
  recordDirect(endpoint: Endpoint, zone: string, nowMs: number): void {
    this.heardDirectlyMs = nowMs;
    this.record(endpoint, zone, nowMs);
  }

  /** Removes a peer that announced its stop. */
  remove(endpoint: Endpoint): void {
    this.peers.delete(formatEndpoint(endpoint));
    this.sketch.remove(endpoint);
  }

  /** Removes peers that were not heard of for `PEER_FORGET_MS`. */
  prune(nowMs: number): void {
    this.sketch.prune(nowMs);
    for (const [key, { heardAtMs }] of this.peers) {
      if (nowMs - heardAtMs < PEER_FORGET_MS) continue;
      this.peers.delete(key);
      this.options.events.emit(SPREADING_EVENTS.peerForgotten, { peer: key, peers: this.size });
    }
  }

  /** The peers of the next push, as `choosePeersOfPush` decides; each of them gets the last turn. */
  choose(inZone: number, elsewhere: number): Peer[] {
    const chosen = choosePeersOfPush(this.peers.values(), this.options.zone, inZone, elsewhere);
    for (const peer of chosen) {
      this.turns += 1;
      peer.turn = this.turns + this.options.random();
    }
    return chosen;
  }

  /** Up to `count` random peers. */
  sample(count: number): Peer[] {
    return this.draw([...this.peers.values()], count);
  }

  /**
   * Up to `count` random peers to include in a message, and one of the sketch, so that all daemons keep the same
   * sketch. While the sketch holds the whole fleet, the random peers suffice.
   */
  introduce(count: number): Peer[] {
    const chosen = this.sample(count);
    if (this.sketch.peers.length < SIZE_SAMPLE) return chosen;
    const sampled = pick(this.sketch.peers, this.options.random);
    return [...chosen, sampled];
  }

  /** Moves up to `count` random entries to the front and returns them. */
  private draw(peers: Peer[], count: number): Peer[] {
    const taken = Math.min(count, peers.length);
    for (let index = 0; index < taken; index += 1) {
      const other = index + Math.floor(this.options.random() * (peers.length - index));
      [peers[index], peers[other]] = [peers[other] as Peer, peers[index] as Peer];
    }
    return peers.slice(0, taken);
  }

  private makeRoom(): void {
    const [victim] = this.sample(1);
    if (victim) this.peers.delete(formatEndpoint(victim.endpoint));
  }
}
