/**
 * Token bucket for the control bytes a daemon sends.
 *
 * Under pressure the kinds wait in this order, first to wait first: status, health, dissemination, handover; then
 * replication and membership last of all. A kind may draw from the shared bucket only while more than its floor is left in it. Besides,
 * each kind has a small bucket of its own (MINIMUM_SHARE of the rate) that no other kind can empty, so that none starves;
 * what a full own bucket cannot hold flows into the shared one. The sum never exceeds the rate.
 */
import type { Clock } from '../../common/clock.js';
import { CONTROL_KINDS, type ControlKind } from './types.js';

/** Share of the shared bucket that must remain after a message of the kind was sent from it. */
const SHARED_FLOOR: Readonly<Record<ControlKind, number>> = {
  membership: 0,
  replication: 0,
  handover: 0.15,
  dissemination: 0.3,
  health: 0.45,
  status: 0.6,
};

/** Share of the rate that each kind has for itself, so that none starves. Not measured; six kinds take 24% of the rate. */
export const MINIMUM_SHARE = 0.04;

/** Time whose budget the shared bucket can hold. */
const BURST_MS = 1_000;

/** Smallest capacity of a kind's own bucket: one full datagram. */
const MIN_OWN_CAPACITY_BYTES = 1_472;

/** Decides, message by message, what may be sent now. */
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
    const floorBytes = SHARED_FLOOR[kind] * this.sharedCapacity;
    if (this.sharedBytes - bytes >= floorBytes) {
      this.sharedBytes -= bytes;
      return true;
    }
    const own = this.ownBytes.get(kind) as number;
    if (own < bytes) return false;
    this.ownBytes.set(kind, own - bytes);
    return true;
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
