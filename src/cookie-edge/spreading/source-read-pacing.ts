/**
 * Paces calls to the source when many daemons need an answer at the same time. One answer is enough, because it is gossiped to
 * all. So a few daemons ask first, more follow while there is no answer, and after `FIRST_ASKERS` the rest follow at a
 * constant rate: the load on the source in an outage does not grow with the fleet.
 */
import { ASKS_A_SECOND, FIRST_ASKERS } from './constants.js';

const MS_A_SECOND = 1_000;

/**
 * Delay in ms before this daemon asks.
 *
 * @param turn its random position among all, from 0 (first) to 1 (last)
 * @param daemons estimated number of daemons that need an answer, this one included
 * @param spreadMs time within which the first `FIRST_ASKERS` ask
 */
export function askDelayMs(turn: number, daemons: number, spreadMs: number): number {
  const before = Math.max(0, turn * daemons - 1);
  const first = Math.min(daemons, FIRST_ASKERS);
  if (before > first) return spreadMs + ((before - first) / ASKS_A_SECOND) * MS_A_SECOND;
  return spreadMs * Math.min(1, Math.log2(1 + before) / Math.log2(1 + first));
}

/**
 * Time between two asks of one daemon, in ms, for which all `daemons` together ask `ASKS_A_SECOND` times a second; 0 where
 * they are too few to ask more often than that.
 */
export function askIntervalMs(daemons: number): number {
  return daemons <= ASKS_A_SECOND ? 0 : (daemons / ASKS_A_SECOND) * MS_A_SECOND;
}
