/** Counters of cookie forwarding since start. Each handler increments its own. */
import { LatencyHistogram } from '../../observability/latency-histogram.js';

/** Monotonic counters, exported by the metrics page and the stop event. */
export class CookieStatistics {
  /** Decoded packets from callers. */
  packets = 0;
  /** Packets sent to back ends. */
  forwarded = 0;
  /** New flows placed. */
  opened = 0;
  /** Retransmitted SYNs that were sent to a different back end than the first SYN. */
  placedAnew = 0;
  /** Open flows that were reset because their back end was dead. */
  resets = 0;
  /** Held openings that were discarded because their caller was about to send the next SYN or to give up. */
  heldTooLong = 0;
  /** Adopted flows: first seen after their opening, because a peer placed them or this daemon started later. */
  takenOver = 0;
  /** Milliseconds from the SYN to the caller's next packet. */
  readonly handshake = new LatencyHistogram();
  private readonly lookupCounts = new Map<string, number>();
  private readonly heldCounts = new Map<string, number>();
  private readonly dropCounts = new Map<string, number>();
  private readonly refusalCounts = new Map<string, number>();

  countLookup(outcome: string): void {
    this.lookupCounts.set(outcome, (this.lookupCounts.get(outcome) ?? 0) + 1);
  }

  countHeld(reason: string): void {
    this.heldCounts.set(reason, (this.heldCounts.get(reason) ?? 0) + 1);
  }

  countDrop(reason: string): void {
    this.dropCounts.set(reason, (this.dropCounts.get(reason) ?? 0) + 1);
  }

  countRefusal(reason: string): void {
    this.refusalCounts.set(reason, (this.refusalCounts.get(reason) ?? 0) + 1);
  }

  /** Ended lookups of openings at peers, by outcome. */
  get lookups(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.lookupCounts);
  }

  /** Openings held, by reason. */
  get held(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.heldCounts);
  }

  /** Packets dropped, by reason. */
  get drops(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.dropCounts);
  }

  /** Openings refused, by reason. */
  get refusals(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.refusalCounts);
  }
}
