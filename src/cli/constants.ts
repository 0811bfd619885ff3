/** Numbers that several commands share. */

/** Options and outputs count seconds, clocks milliseconds. */
export const MS_PER_SECOND = 1_000;

/** Largest seed that a command draws for its random choices; any would do. */
export const MAX_SEED = 0x7fff_ffff;

/**
 * Interval of a timer that keeps the process alive until its command is done, ms: the timers of the store client do
 * not. Any interval keeps it alive.
 */
export const KEEP_ALIVE_MS = 1_000;
