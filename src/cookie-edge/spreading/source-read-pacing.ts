/**
 * Paces calls to the source when many daemons need an answer at the same time. One answer is enough, because it is gossiped to
 * all. So a few daemons ask first, more follow while there is no answer, and after `FIRST_READS` the rest follow at a
 * constant rate: the load on the source in an outage does not grow with the fleet.
 */
import { READS_PER_SECOND, FIRST_READS } from './constants.js';

const MS_A_SECOND = 1_000;

/**
 * Delay in ms before this daemon asks.
 *
 * @param turn its random position among all, from 0 (first) to 1 (last)
 * @param daemons estimated number of daemons that need an answer, this one included
 * @param spreadMs time within which the first `FIRST_READS` ask
 */
export function readDelayMs(turn: number, daemons: number, spreadMs: number): number {
  const before = Math.max(0, turn * daemons - 1);
  const first = Math.min(daemons, FIRST_READS);
  if (before > first) return spreadMs + ((before - first) / READS_PER_SECOND) * MS_A_SECOND;
  return spreadMs * Math.min(1, Math.log2(1 + before) / Math.log2(1 + first));
}

/**
 * Time between two asks of one daemon, in ms, for which all `daemons` together ask `READS_PER_SECOND` times a second; 0 where
 * they are too few to ask more often than that.
 */
export function readBackoffMs(daemons: number): number {
  return daemons <= READS_PER_SECOND ? 0 : (daemons / READS_PER_SECOND) * MS_A_SECOND;
}
