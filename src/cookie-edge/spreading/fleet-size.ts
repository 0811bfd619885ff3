/**
 * Estimates the number of daemons with a k-minimum-values sketch. A daemon remembers only some of its peers, but all
 * daemons can remember the same few: those whose addresses have the smallest hashes. The smaller the k-th smallest
 * hash, the more daemons there are. Owns the sketch; `PeerView` records the daemons in it.
 */
import { combine32, hashString } from '../../common/hash.js';
import { formatEndpoint, type Endpoint } from '../../common/types.js';
import { SKETCH_SIZE, SKETCH_ENTRY_TTL_MS } from './constants.js';
import type { Peer } from './types.js';

/**
 * Seed of a second round of hashing; any value works. A single round distributes consecutive addresses too unevenly:
 * for 600 daemons the relative error of the estimate is 0.20 instead of 0.16 (over 200 sets of addresses).
 */
const SECOND_ROUND_SEED = 0x5bd1e995;

/** Number of hash values: hashes are unsigned 32-bit integers. */
const HASH_SPACE = 2 ** 32;

/** A daemon in the sketch. */
interface SampledPeer extends Peer {
  readonly hash: number;
}

/** The sketch that one daemon maintains. Times are monotonic ms. */
export class FleetSizeSketch {
  /** At most `SKETCH_SIZE` other daemons, in ascending order of their hashes. */
  private sample: SampledPeer[] = [];
  /** Hash of this daemon. */
  readonly selfHash: number;

  constructor(self: Endpoint) {
    this.selfHash = hashOfDaemon(self);
  }

  /** Daemons in the sketch, which messages advertise to peers. */
  get peers(): readonly SampledPeer[] {
    return this.sample;
  }

  /**
   * The `SKETCH_SIZE` daemons with the smallest hashes, on which all daemons agree, without this daemon; undefined when
   * this daemon is not one of them.
   */
  get otherSampleMembers(): readonly SampledPeer[] | undefined {
    const others = this.sample.slice(0, SKETCH_SIZE - 1);
    const isSelfInSample =
      others.length < SKETCH_SIZE - 1 || this.selfHash < (this.sample[SKETCH_SIZE - 1]?.hash ?? HASH_SPACE);
    return isSelfInSample ? others : undefined;
  }

  /** Records a message from a daemon, or a mention of it by another one, at `heardAtMs`. */
  record(endpoint: Endpoint, zone: string, heardAtMs: number): void {
    const hash = hashOfDaemon(endpoint);
    const largest = this.sample.at(-1)?.hash ?? HASH_SPACE;
    if (this.sample.length >= SKETCH_SIZE && hash > largest) return;
    const known = this.sample.find((peer) => peer.hash === hash);
    if (known) {
      known.heardAtMs = Math.max(known.heardAtMs, heardAtMs);
      return;
    }
    const sample = [...this.sample, { endpoint, zone, heardAtMs, hash }];
    this.sample = sample.sort((left, right) => left.hash - right.hash).slice(0, SKETCH_SIZE);
  }

  /** Removes a daemon that announced that it stops. */
  remove(endpoint: Endpoint): void {
    const hash = hashOfDaemon(endpoint);
    this.sample = this.sample.filter((peer) => peer.hash !== hash);
  }

  /** Removes each daemon that no message came from or mentioned for `SKETCH_ENTRY_TTL_MS`. */
  prune(nowMs: number): void {
    const isFresh = ({ heardAtMs }: Peer): boolean => nowMs - heardAtMs < SKETCH_ENTRY_TTL_MS;
    if (!this.sample.every(isFresh)) this.sample = this.sample.filter(isFresh);
  }

  /** Estimated number of daemons, this one included; exact up to `SKETCH_SIZE`. */
  estimate(): number {
    const hashes = [this.selfHash, ...this.sample.map(({ hash }) => hash)].sort(
      (left, right) => left - right,
    );
    const kthSmallestHash = hashes[SKETCH_SIZE - 1];
    if (kthSmallestHash === undefined) return hashes.length;
    return Math.max(hashes.length, Math.round((SKETCH_SIZE - 1) / ((kthSmallestHash + 1) / HASH_SPACE)));
  }
}

/** 32-bit hash of a daemon's address. */
export function hashOfDaemon(endpoint: Endpoint): number {
  return combine32(hashString(formatEndpoint(endpoint)), SECOND_ROUND_SEED);
}
