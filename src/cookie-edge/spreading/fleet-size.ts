/**
 * Estimates the number of daemons by a k-minimum-values sketch. A daemon remembers only some of its peers, but all
 * daemons can remember the same few: those whose addresses have the smallest hashes. The smaller the k-th smallest
 * hash, the more daemons there are. Owns the sketch; relies on `PeerView` to report whom it hears of.
 */
import { combine32, hashString } from '../../common/hash.js';
import { formatEndpoint, type Endpoint } from '../../common/types.js';
import { SIZE_SAMPLE, SIZE_SAMPLE_FORGET_MS } from './constants.js';
import type { Peer } from './types.js';

/**
 * Seed of a second round of hashing. Any number serves. Measured: one round spreads consecutive addresses too
 * unevenly (relative error of the estimate 0.20 instead of 0.16 over 200 sets of 600).
 */
const SECOND_ROUND = 0x5bd1e995;

/** Hashes are unsigned 32-bit integers. */
const HASHES = 2 ** 32;

/** A daemon of the sketch. */
interface SampledPeer extends Peer {
  readonly hash: number;
}

/** Sketch of the fleet as one daemon knows it. Times are monotonic ms. */
export class FleetSizeSketch {
  /** At most `SIZE_SAMPLE` daemons in ascending order of their hashes, this one apart. */
  private sample: SampledPeer[] = [];
  /** Hash of this daemon. */
  readonly selfHash: number;

  constructor(self: Endpoint) {
    this.selfHash = hashOfDaemon(self);
  }

  /** Daemons of the sketch, to introduce to others. */
  get peers(): readonly SampledPeer[] {
    return this.sample;
  }

  /**
   * The others among the `SIZE_SAMPLE` daemons with the smallest hashes, which all daemons agree on; undefined when
   * this daemon is not among them itself.
   */
  get othersOfSample(): readonly SampledPeer[] | undefined {
    const others = this.sample.slice(0, SIZE_SAMPLE - 1);
    const isAmongThem =
      others.length < SIZE_SAMPLE - 1 || this.selfHash < (this.sample[SIZE_SAMPLE - 1]?.hash ?? HASHES);
    return isAmongThem ? others : undefined;
  }

  /** Records that a daemon was heard of at `heardAtMs`. */
  record(endpoint: Endpoint, zone: string, heardAtMs: number): void {
    const hash = hashOfDaemon(endpoint);
    const largest = this.sample.at(-1)?.hash ?? HASHES;
    if (this.sample.length >= SIZE_SAMPLE && hash > largest) return;
    const known = this.sample.find((peer) => peer.hash === hash);
    if (known) {
      known.heardAtMs = Math.max(known.heardAtMs, heardAtMs);
      return;
    }
    const sample = [...this.sample, { endpoint, zone, heardAtMs, hash }];
    this.sample = sample.sort((left, right) => left.hash - right.hash).slice(0, SIZE_SAMPLE);
  }

  /** Removes a daemon that announced its stop. */
  remove(endpoint: Endpoint): void {
    const hash = hashOfDaemon(endpoint);
    this.sample = this.sample.filter((peer) => peer.hash !== hash);
  }

  /** Removes daemons that were not heard of for `SIZE_SAMPLE_FORGET_MS`. */
  prune(nowMs: number): void {
    const isHeard = ({ heardAtMs }: Peer): boolean => nowMs - heardAtMs < SIZE_SAMPLE_FORGET_MS;
    if (!this.sample.every(isHeard)) this.sample = this.sample.filter(isHeard);
  }

  /** Estimated number of daemons, this one included; exact up to `SIZE_SAMPLE`. */
  estimate(): number {
    const hashes = [this.selfHash, ...this.sample.map(({ hash }) => hash)].sort(
      (left, right) => left - right,
    );
    const limit = hashes[SIZE_SAMPLE - 1];
    if (limit === undefined) return hashes.length;
    return Math.max(hashes.length, Math.round((SIZE_SAMPLE - 1) / ((limit + 1) / HASHES)));
  }
}

/** 32-bit hash of a daemon's address. */
export function hashOfDaemon(endpoint: Endpoint): number {
  return combine32(hashString(formatEndpoint(endpoint)), SECOND_ROUND);
}
