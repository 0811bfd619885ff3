/**
 * Counts control bytes by kind and direction and averages them over the last RATE_WINDOW_MS.
 *
 * Owns the counts; decides nothing. The budget (`budget.ts`) limits what is sent, this module only reports it.
 */
import type { Clock } from '../../common/clock.js';
import { RATE_WINDOW_MS, RATE_WINDOW_SLOTS } from './constants.js';
import { CONTROL_KINDS, type ControlKind } from './types.js';

const SLOT_MS = RATE_WINDOW_MS / RATE_WINDOW_SLOTS;

/** Totals since start and rates, of one kind. Bytes include envelope, IP and UDP headers. */
interface KindMeter {
  readonly messagesOut: number;
  readonly messagesIn: number;
  readonly bytesOut: number;
  readonly bytesIn: number;
  /** Messages that the budget made wait. */
  readonly deferred: number;
  readonly bytesOutPerSecond: number;
  readonly bytesInPerSecond: number;
}

/** A snapshot of all kinds. */
export interface MeterSnapshot {
  readonly byKind: Readonly<Record<ControlKind, KindMeter>>;
  readonly bytesOutPerSecond: number;
  readonly bytesInPerSecond: number;
}

/** A sum over a sliding window of time slots. */
class SlidingSum {
  private readonly slots = new Float64Array(RATE_WINDOW_SLOTS);
  private currentSlot = 0;

  add(slot: number, amount: number): void {
    this.moveTo(slot);
    this.slots[slot % RATE_WINDOW_SLOTS]! += amount;
  }

  perSecond(slot: number): number {
    this.moveTo(slot);
    let sum = 0;
    for (const amount of this.slots) sum += amount;
    return (sum * 1_000) / RATE_WINDOW_MS;
  }

  private moveTo(slot: number): void {
    const steps = Math.min(slot - this.currentSlot, RATE_WINDOW_SLOTS);
    for (let step = 0; step < steps; step += 1) this.slots[(slot - step) % RATE_WINDOW_SLOTS] = 0;
    this.currentSlot = Math.max(this.currentSlot, slot);
  }
}

class KindCounters {
  messagesOut = 0;
  messagesIn = 0;
  bytesOut = 0;
  bytesIn = 0;
  deferred = 0;
  readonly outRate = new SlidingSum();
  readonly inRate = new SlidingSum();
}

/** The meter of one channel. */
export class ControlMeter {
  private readonly counters = new Map<ControlKind, KindCounters>(
    CONTROL_KINDS.map((kind) => [kind, new KindCounters()]),
  );

  constructor(private readonly clock: Clock) {}

  countOut(kind: ControlKind, bytes: number): void {
    const counters = this.of(kind);
    counters.messagesOut += 1;
    counters.bytesOut += bytes;
    counters.outRate.add(this.slot(), bytes);
  }

  countIn(kind: ControlKind, bytes: number): void {
    const counters = this.of(kind);
    counters.messagesIn += 1;
    counters.bytesIn += bytes;
    counters.inRate.add(this.slot(), bytes);
  }

  countDeferred(kind: ControlKind): void {
    this.of(kind).deferred += 1;
  }

  /** Bytes sent a second over the window, all kinds. */
  bytesOutPerSecond(): number {
    let sum = 0;
    for (const counters of this.counters.values()) sum += counters.outRate.perSecond(this.slot());
    return sum;
  }

  snapshot(): MeterSnapshot {
    const byKind = Object.fromEntries(
      CONTROL_KINDS.map((kind) => [kind, this.kindSnapshot(kind)]),
    ) as unknown as Record<ControlKind, KindMeter>;
    const meters = Object.values(byKind);
    return {
      byKind,
      bytesOutPerSecond: meters.reduce((sum, meter) => sum + meter.bytesOutPerSecond, 0),
      bytesInPerSecond: meters.reduce((sum, meter) => sum + meter.bytesInPerSecond, 0),
    };
  }

  private kindSnapshot(kind: ControlKind): KindMeter {
    const { messagesOut, messagesIn, bytesOut, bytesIn, deferred, outRate, inRate } = this.of(kind);
    return {
      messagesOut,
      messagesIn,
      bytesOut,
      bytesIn,
      deferred,
      bytesOutPerSecond: outRate.perSecond(this.slot()),
      bytesInPerSecond: inRate.perSecond(this.slot()),
    };
  }

  private slot(): number {
    return Math.floor(this.clock.now() / SLOT_MS);
  }

  private of(kind: ControlKind): KindCounters {
    return this.counters.get(kind) as KindCounters;
  }
}
