/**
 * Decides, message by message, which control bytes a daemon may send now.
 *
 * What the rule prevents: that the control channel exceeds the platform's bound
 * (`DEFAULT_BUDGET_BYTES_PER_SECOND`), that a burst of one kind delays membership, and that any kind starves.
 *
 * Two token buckets: one shared by all kinds, and a small one for each kind that no other kind can empty
 * (`MINIMUM_SHARE` of the rate). A kind draws from the shared bucket only while more than its floor is left there;
 * so under pressure the kinds wait in this order, first to wait first: status, health, dissemination, handover, and
 * last replication and membership together. What a full own bucket cannot hold flows into the shared one. The sum
 * never exceeds the rate.
 *
 * Owns the levels of the buckets. Relies on a monotonic clock; both levels are brought up to date at each message.
 */
import type { Clock } from '../../common/clock.js';
import { CONTROL_KINDS, type ControlKind } from './types.js';

/**
 * Share of the shared bucket that must remain after a message of the kind was sent from it. Evenly apart, so that the
 * order of the kinds holds.
 */
const SHARED_FLOOR: Readonly<Record<ControlKind, number>> = {
  membership: 0,
  replication: 0,
  handover: 0.15,
  dissemination: 0.3,
  health: 0.45,
  status: 0.6,
};

/** Share of the rate that each kind has for itself, so that none starves. Six kinds take 24% of the rate. */
export const MINIMUM_SHARE = 0.04;

/** Time in ms whose budget the shared bucket can hold. The rate is a bound per second. */
const BURST_MS = 1_000;

/** Smallest capacity of a kind's own bucket: one full datagram. */
const MIN_OWN_CAPACITY_BYTES = 1_472;

/** Bytes in the buckets that a message may draw from. */
interface BucketLevels {
  readonly sharedBytes: number;
  readonly sharedCapacityBytes: number;
  /** Own bucket of the message's kind. */
  readonly ownBytes: number;
}

/** Bucket that a message is paid from; `wait`: neither has enough. */
export type BudgetSource = 'shared' | 'own' | 'wait';

/**
 * Chooses the bucket for a message of `bytes`. The shared bucket comes first, so that the own one is still full
 * when others have emptied the shared one. Exactly the floor may remain in the shared bucket, and exactly nothing
 * in the own one.
 */
export function chooseBudgetSource(kind: ControlKind, bytes: number, levels: BucketLevels): BudgetSource {
  const floorBytes = SHARED_FLOOR[kind] * levels.sharedCapacityBytes;
  if (levels.sharedBytes - bytes >= floorBytes) return 'shared';
  return levels.ownBytes >= bytes ? 'own' : 'wait';
}

/** The buckets of one daemon. */
export class ControlBudget {
  private readonly sharedCapacity: number;
  private readonly ownCapacity: number;
  private sharedBytes: number;
  private readonly ownBytes = new Map<ControlKind, number>();
  private refilledAtMs: number;

  constructor(
    private readonly clock: Clock,
    /** Bytes a second, all kinds. */
    readonly bytesPerSecond: number,
  ) {
    this.sharedCapacity = (bytesPerSecond * BURST_MS) / 1_000;
    this.ownCapacity = Math.max(MIN_OWN_CAPACITY_BYTES, bytesPerSecond * MINIMUM_SHARE);
    this.sharedBytes = this.sharedCapacity;
    for (const kind of CONTROL_KINDS) this.ownBytes.set(kind, this.ownCapacity);
    this.refilledAtMs = clock.now();
  }

  /** Takes `bytes` for a message of `kind`; false when it has to wait. */
  take(kind: ControlKind, bytes: number): boolean {
    this.refill();
    const ownBytes = this.ownBytes.get(kind) as number;
    const { sharedBytes, sharedCapacity: sharedCapacityBytes } = this;
    const source = chooseBudgetSource(kind, bytes, { sharedBytes, sharedCapacityBytes, ownBytes });
    if (source === 'shared') this.sharedBytes -= bytes;
    if (source === 'own') this.ownBytes.set(kind, ownBytes - bytes);
    return source !== 'wait';
  }

  private refill(): void {
    const nowMs = this.clock.now();
    const earned = ((nowMs - this.refilledAtMs) * this.bytesPerSecond) / 1_000;
    this.refilledAtMs = nowMs;
    let forShared = earned;
    for (const kind of CONTROL_KINDS) {
      const own = this.ownBytes.get(kind) as number;
      const added = Math.min(earned * MINIMUM_SHARE, this.ownCapacity - own);
      this.ownBytes.set(kind, own + added);
      forShared -= added;
    }
    this.sharedBytes = Math.min(this.sharedCapacity, this.sharedBytes + forShared);
  }
}
