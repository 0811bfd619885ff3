/**
 * Remembers openings that this daemon leaves to a peer: it told the peer that it had not placed them. An earlier copy
 * of their SYN may still be on its way to this daemon, and would open the flow at a second back end.
 */
import { MAX_YIELDED_OPENINGS } from './constants.js';
import { flowKey } from './flow-key.js';
import type { FlowAddresses, OpeningQuery } from './types.js';

/** An opening that a peer decides. */
interface YieldedOpening {
  /** Retransmission count of the SYN that the peer has received. */
  readonly retransmissionCount: number;
  /** Monotonic ms at which the caller's attempt has ended. */
  readonly expiresAtMs: number;
}

/** Openings left to peers, oldest first. Times are monotonic ms. */
export class YieldedOpenings {
  private readonly openings = new Map<string, YieldedOpening>();

  /** Remembers an opening until `expiresAtMs`. */
  add(query: OpeningQuery, nowMs: number, expiresAtMs: number): void {
    const key = flowKey(query);
    this.openings.delete(key);
    this.openings.set(key, { retransmissionCount: query.retransmissionCount, expiresAtMs });
    this.removeOldest(nowMs);
  }

  /** Returns true if a peer has received a later copy of this SYN and decides on it. */
  hasYielded(flow: FlowAddresses, retransmissionCount: number, nowMs: number): boolean {
    if (this.openings.size === 0) return false;
    const opening = this.openings.get(flowKey(flow));
    return (
      opening !== undefined &&
      nowMs < opening.expiresAtMs &&
      retransmissionCount < opening.retransmissionCount
    );
  }

  /** Removes expired openings, and the oldest one if there are too many. */
  private removeOldest(nowMs: number): void {
    for (const [key, { expiresAtMs }] of this.openings) {
      if (nowMs < expiresAtMs && this.openings.size <= MAX_YIELDED_OPENINGS) return;
      this.openings.delete(key);
    }
  }
}
