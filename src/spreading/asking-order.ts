/**
 * When a daemon asks the source, out of many that have the same reason to. What one of them learns spreads to all, so a few
 * begin, more follow while nobody has an answer, and beyond `FIRST_ASKERS` they follow at a steady rate: however large the
 * fleet, an outage is not answered by all asking at once.
 */
import { ASKS_A_SECOND, FIRST_ASKERS } from './constants.js';

const MS_A_SECOND = 1_000;

/**
 * Milliseconds after which it is this daemon's turn.
 *
 * @param turn its place among all, from 0 (first) to 1 (last)
 * @param daemons estimated number of daemons that have the same reason, itself included
 * @param spreadMs time within which the first ones take their turns
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
