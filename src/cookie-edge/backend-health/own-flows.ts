/** Counts this daemon's flows at one back end, the load that placement compares. Owns only the counts. */
import { DecayingRate } from '../../common/decaying-rate.js';
import { CLOSED_FLOW_COUNTS_MS } from './constants.js';

/** Flows of this daemon at one back end. Times are monotonic ms. */
export class OwnFlows {
  /** Open flows, openings in progress included. */
  open = 0;
  private readonly closed = new DecayingRate(CLOSED_FLOW_COUNTS_MS);

  /** Counts a flow that its caller closed. */
  recordClosed(nowMs: number): void {
    this.open -= 1;
    this.closed.count(nowMs);
  }

  /** Flows that are or were recently open. Rounded, so that daemons with similar knowledge see equal loads as equal. */
  countAt(nowMs: number): number {
    return this.open + Math.round(this.closed.recentAt(nowMs));
  }
}
