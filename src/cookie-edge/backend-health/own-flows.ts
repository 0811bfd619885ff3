/** Counts this daemon's flows at one back end. Placement compares these counts as load. Owns only the counts. */
import { DecayingRate } from '../../common/decaying-rate.js';
import { CLOSED_FLOW_DECAY_MS } from './constants.js';

/** Flows of this daemon at one back end. Times are monotonic ms. */
export class OwnFlows {
  /** Open flows, including openings in progress. */
  open = 0;
  private readonly recentlyClosed = new DecayingRate(CLOSED_FLOW_DECAY_MS);

  /** Moves a flow that its caller closed from the open to the recently closed ones. */
  recordClosed(nowMs: number): void {
    this.open -= 1;
    this.recentlyClosed.count(nowMs);
  }

  /** Open and recently closed flows. Rounded, so that daemons with similar counts treat the same loads as equal. */
  recentCountAt(nowMs: number): number {
    return this.open + Math.round(this.recentlyClosed.recentAt(nowMs));
  }
}
