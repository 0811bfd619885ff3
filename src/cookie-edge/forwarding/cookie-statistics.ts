/** Counters of cookie forwarding since start. Owns the numbers; each handler counts what it does. */
import { LatencyHistogram } from '../../observability/latency-histogram.js';

/** Counters that never decrease, read by the metrics page and the stop event. */
export class CookieStatistics {
  /** Packets from callers that could be decoded. */
  packets = 0;
  /** Packets sent to back ends. */
  forwarded = 0;
  /** New flows placed. */
  opened = 0;
  /** Retransmitted SYNs that were sent to another back end than the first. */
  placedAnew = 0;
  /** Open flows that were reset because their back end was dead. */
  resets = 0;
  /** Held openings that were given up, because their caller sends the next copy or has given up itself. */
  heldTooLong = 0;
  /** Flows first seen after their opening: placed by another balancer, or before this one started. */
  takenOver = 0;
  /** Milliseconds from the SYN to the caller's next packet. */
  readonly handshake = new LatencyHistogram();
  private readonly heldCounts = new Map<string, number>();
  private readonly dropCounts = new Map<string, number>();
  private readonly refusalCounts = new Map<string, number>();

  countHeld(reason: string): void {
    this.heldCounts.set(reason, (this.heldCounts.get(reason) ?? 0) + 1);
  }

  countDrop(reason: string): void {
    this.dropCounts.set(reason, (this.dropCounts.get(reason) ?? 0) + 1);
  }

  countRefusal(reason: string): void {
    this.refusalCounts.set(reason, (this.refusalCounts.get(reason) ?? 0) + 1);
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
