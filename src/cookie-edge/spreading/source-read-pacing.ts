/**
 * Rule: how soon and how often a daemon without a confirmation calls the source. Does no input or output.
 *
 * Prevents a thundering herd in an outage, in which every daemon calls the source at once and keeps calling. A single
 * response is enough, because it is gossiped to all daemons. So a few daemons read first, more follow while there is no
 * response, and after `FIRST_READS` daemons the rest follow at a constant rate: the load on the source does not grow
 * with the fleet. In an outage of 6 s, 150 daemons make 168 calls; without this rule they make 1,469.
 *
 * While no peer is known, the fleet counts as one daemon, which reads without a delay.
 */
import { FIRST_READS, READS_PER_SECOND } from './constants.js';

const MS_PER_SECOND = 1_000;

/**
 * Returns the delay in ms before this daemon reads the source.
 *
 * @param position random position of this daemon among all, from 0 (first) to 1 (last)
 * @param daemons estimated number of daemons that need a response, including this one
 * @param spreadMs time in ms within which the first `FIRST_READS` daemons read
 */
export function readDelayMs(position: number, daemons: number, spreadMs: number): number {
  const earlierDaemons = Math.max(0, position * daemons - 1);
  const initialReads = Math.min(daemons, FIRST_READS);
  if (earlierDaemons > initialReads)
    return spreadMs + ((earlierDaemons - initialReads) / READS_PER_SECOND) * MS_PER_SECOND;
  return spreadMs * Math.min(1, Math.log2(1 + earlierDaemons) / Math.log2(1 + initialReads));
}

/**
 * Returns the backoff in ms between two reads of one daemon with which all `daemons` together read `READS_PER_SECOND`
 * times a second; 0 for so few daemons that no backoff is needed.
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
  /** Estimated number of daemons that lack a confirmation, including this one. */
  readonly daemons: number;
  /** A peer has announced a change that is missing here. */
  readonly lacksAnnouncedChange: boolean;
}

/**
 * Returns the minimum backoff in ms before the next call to a source that does not respond. A daemon without routes or
 * back ends cannot serve and does not wait for others. If the confirmation is current, or a peer has announced a change
 * that is missing here, the outage does not affect the whole fleet, and no backoff is needed.
 */
export function minimumRetryDelayMs(situation: RetrySituation): number {
  const { isPaced, isComplete, ageMs, pullAfterMs, daemons, lacksAnnouncedChange } = situation;
  if (!isPaced || !isComplete || ageMs < pullAfterMs || lacksAnnouncedChange) return 0;
  return readBackoffMs(daemons);
}
