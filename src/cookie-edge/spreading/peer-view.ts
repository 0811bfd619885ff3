/**
 * The peers that this daemon knows (all of them in a small fleet, a random part in a large one) and the estimated fleet
 * size. Owns the turns of peers and draws random peers; `peer-choice.ts` decides which peers receive a push and which
 * daemons own a key. `GossipNode` records each peer that a message comes from or mentions.
 */
import { hashString } from '../../common/hash.js';
import { pick, type RandomSource } from '../../common/random.js';
import { formatEndpoint, type Endpoint } from '../../common/types.js';
import type { EventLog } from '../../observability/event.js';
import { ISOLATED_AFTER_MS, MAX_PEERS, PEER_TTL_MS, SKETCH_SIZE } from './constants.js';
import { SPREADING_EVENTS } from './events.js';
import { FleetSizeSketch, hashOfDaemon } from './fleet-size.js';
import { chooseNearestPeers, choosePushTargets, isAmongOwners, type PeerWithTurn } from './peer-choice.js';
import type { Peer } from './types.js';

interface PeerViewOptions {
  readonly self: Endpoint;
  readonly zone: string;
  readonly random: RandomSource;
  readonly events: EventLog;
}

/** A peer in the view. */
interface ListedPeer extends PeerWithTurn {
  /** `hashOfDaemon` of its address, used to assign owners to keys. */
  readonly hash: number;
}

/** Peers that one daemon knows. Times are monotonic ms. */
export class PeerView {
  private readonly peers = new Map<string, ListedPeer>();
  private turnCounter = 0;
  private lastDirectMessageMs = Number.NEGATIVE_INFINITY;
  private readonly selfKey: string;
  private readonly sketch: FleetSizeSketch;

  constructor(private readonly options: PeerViewOptions) {
    this.sketch = new FleetSizeSketch(options.self);
    this.selfKey = formatEndpoint(options.self);
  }

  get size(): number {
    return this.peers.size;
  }

  /** Records a message from a peer, or a mention of it by another peer, at `heardAtMs`. */
  record(endpoint: Endpoint, zone: string, heardAtMs: number): void {
    const key = formatEndpoint(endpoint);
    if (key === this.selfKey) return;
    this.sketch.record(endpoint, zone, heardAtMs);
    const known = this.peers.get(key);
    if (known?.zone === zone) {
      known.heardAtMs = Math.max(known.heardAtMs, heardAtMs);
      return;
    }
    if (!known && this.peers.size >= MAX_PEERS) this.evictRandomPeer();
    const turn = this.turnCounter + this.options.random();
    this.peers.set(key, { endpoint, zone, heardAtMs, turn, hash: hashOfDaemon(endpoint) });
    if (!known) this.options.events.emit(SPREADING_EVENTS.peerKnown, { peer: key, zone, peers: this.size });
  }

  /**
   * Estimated number of daemons that reach each other by gossip, including this one. It is 1 if no peer has sent a
   * message for `ISOLATED_AFTER_MS`, even if peers are still remembered.
   */
  reachableDaemons(nowMs: number): number {
    return nowMs - this.lastDirectMessageMs < ISOLATED_AFTER_MS ? this.fleetSize : 1;
  }

  /** Estimated number of daemons, including this one. */
  get fleetSize(): number {
    return Math.max(this.size + 1, this.sketch.estimate());
  }

  /**
   * Returns whether this daemon is one of the `count` owners that rendezvous hashing assigns to `key`. Daemons that
   * know the same peers agree: while a daemon knows all others, every daemon is a candidate. In a larger fleet only the
   * daemons in the sketch are candidates, since all daemons agree on the sketch.
   */
  isOwner(key: string, count: number): boolean {
    const candidates = this.size < MAX_PEERS ? this.peers.values() : this.sketch.otherSampleMembers;
    return isAmongOwners(hashString(key), this.sketch.selfHash, candidates, count);
  }

  /** Records a message that came from the peer itself. */
  recordDirectMessage(endpoint: Endpoint, zone: string, nowMs: number): void {
    this.lastDirectMessageMs = nowMs;
    this.record(endpoint, zone, nowMs);
  }

  /** Removes a peer that announced that it stops. */
  remove(endpoint: Endpoint): void {
    this.peers.delete(formatEndpoint(endpoint));
    this.sketch.remove(endpoint);
  }

  /** Removes each peer that no message came from or mentioned for `PEER_TTL_MS`. */
  prune(nowMs: number): void {
    this.sketch.prune(nowMs);
    for (const [key, { heardAtMs }] of this.peers) {
      if (nowMs - heardAtMs < PEER_TTL_MS) continue;
      this.peers.delete(key);
      this.options.events.emit(SPREADING_EVENTS.peerForgotten, { peer: key, peers: this.size });
    }
  }

  /** Returns the peers for the next push, chosen by `choosePushTargets`, and moves them to the end of the turns. */
  nextPushTargets(sameZoneCount: number, otherZonesCount: number): Peer[] {
    const chosen = choosePushTargets(this.peers.values(), this.options.zone, sameZoneCount, otherZonesCount);
    for (const peer of chosen) {
      this.turnCounter += 1;
      peer.turn = this.turnCounter + this.options.random();
    }
    return chosen;
  }

  /** Returns up to `count` peers, those of the own zone first. */
  nearestPeers(count: number): Peer[] {
    return chooseNearestPeers(this.peers.values(), this.options.zone, count);
  }

  /** Returns up to `count` random peers. */
  randomPeers(count: number): Peer[] {
    return this.drawRandom([...this.peers.values()], count);
  }

  /**
   * Returns the peers that a message advertises: up to `count` random ones, and one of the sketch, so that the sketches
   * of all daemons converge. The sketch entry is not needed while the sketch holds the whole fleet.
   */
  peersToAdvertise(count: number): Peer[] {
    const chosen = this.randomPeers(count);
    if (this.sketch.peers.length < SKETCH_SIZE) return chosen;
    const sampled = pick(this.sketch.peers, this.options.random);
    return [...chosen, sampled];
  }

  /** Moves up to `count` random entries to the front (Fisher-Yates) and returns them. */
  private drawRandom(peers: Peer[], count: number): Peer[] {
    const drawCount = Math.min(count, peers.length);
    for (let index = 0; index < drawCount; index += 1) {
      const swapIndex = index + Math.floor(this.options.random() * (peers.length - index));
      [peers[index], peers[swapIndex]] = [peers[swapIndex] as Peer, peers[index] as Peer];
    }
    return peers.slice(0, drawCount);
  }

  private evictRandomPeer(): void {
    const [evicted] = this.randomPeers(1);
    if (evicted) this.peers.delete(formatEndpoint(evicted.endpoint));
  }
}
