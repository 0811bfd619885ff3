/**
 * Rule: how soon, and how often, a daemon without a confirmation calls the source. Does no input or output.
 *
 * Prevents an outage in which every daemon calls the source at once and keeps calling it. One response is enough,
 * because it is gossiped to all. So a few daemons read first, more follow while there is no response, and after
 * `FIRST_READS` the rest follow at a constant rate: the load on the source in an outage does not grow with the fleet.
 * Measured: in an outage of 6 s 150 simulated daemons made 1,469 calls without this rule and 168 with it.
 *
 * Without knowledge of peers the fleet counts as one daemon, which reads without a delay.
 */
import { FIRST_READS, READS_PER_SECOND } from './constants.js';

const MS_PER_SECOND = 1_000;

/**
 * Delay in ms before this daemon reads the source.
 *
 * @param position its random position among all, from 0 (first) to 1 (last)
 * @param daemons estimated number of daemons that need a response, this one included
 * @param spreadMs time in ms within which the first `FIRST_READS` read
 */
export function readDelayMs(position: number, daemons: number, spreadMs: number): number {
  const earlier = Math.max(0, position * daemons - 1);
  const paced = Math.min(daemons, FIRST_READS);
  if (earlier > paced) return spreadMs + ((earlier - paced) / READS_PER_SECOND) * MS_PER_SECOND;
  return spreadMs * Math.min(1, Math.log2(1 + earlier) / Math.log2(1 + paced));
}

/**
 * Backoff between two reads of one daemon, in ms, at which all `daemons` together read `READS_PER_SECOND` times a
 * second; 0 where they are too few to read more often than that.
 */
export function readBackoffMs(daemons: number): number {
  return daemons <= READS_PER_SECOND ? 0 : (daemons / READS_PER_SECOND) * MS_PER_SECOND;
}

/** Inputs of the minimum retry delay; times in ms. */
interface RetrySituation {
  /** The mechanism `asking-turns` is on. */
  readonly isPaced: boolean;
  /** Routes and back ends are known. */
  readonly isComplete: boolean;
  /** Time since the last freshness confirmation. */
  readonly ageMs: number;
  /** Age from which a confirmation is overdue. */
  readonly pullAfterMs: number;
  /** Estimated number of daemons that lack a confirmation as this one does. */
  readonly daemons: number;
}

/**
 * Shortest backoff before the next call to a source that does not respond, in ms. A daemon without routes or back
 * ends cannot serve and does not wait for others; one with a current confirmation is not part of an outage of the
 * whole fleet.
 */
export function minimumRetryDelayMs(situation: RetrySituation): number {
  const { isPaced, isComplete, ageMs, pullAfterMs, daemons } = situation;
  if (!isPaced || !isComplete || ageMs < pullAfterMs) return 0;
  return readBackoffMs(daemons);
}
