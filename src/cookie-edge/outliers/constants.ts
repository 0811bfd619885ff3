/** Durations and limits of outlier detection. */
import type { OutlierOptions } from './types.js';

/**
 * With answer times that spread as work of a log-normal length does (sigma 0.5), 1 of 360 answers takes four times the
 * median, and two thirds of those of a back end that has become five times slower.
 */
const SLOW_FACTOR = 4;

/**
 * One bad answer is chance and two may be: 790 requests a second at 84 back ends give each of them 0.08 slow ones in
 * `REPORT_VALID_MS` by chance. Three then meet at some back end every two or three minutes, and it is avoided for
 * seconds without need, which costs no caller anything.
 */
const QUORUM = 3;

/**
 * Without a third of its back ends a service that is half busy is three quarters busy. More slow ones are rather a
 * service that is overloaded as a whole, where avoiding some would make the others slower.
 */
const MAX_AVOIDED_SHARE = 1 / 3;

export const DEFAULT_OUTLIER_OPTIONS: OutlierOptions = {
  slowFactor: SLOW_FACTOR,
  quorum: QUORUM,
  maxAvoidedShare: MAX_AVOIDED_SHARE,
};

/** Lifetime of a report in ms. About 28 requests of an average back end at 790 requests a second to 84 back ends. */
export const REPORT_VALID_MS = 3_000;

/** Reports kept of one back end. One above `QUORUM`; more would only be gossiped, and change no decision. */
export const MAX_REPORTS = 4;

/**
 * A back end is an outlier only with this many times the mean number of bad answers of its service's back ends. With
 * `MAX_REPORTS` for each, a third of a service has 3 times the mean, so that up to a third can be distinguished.
 */
export const OUTLIER_FACTOR = 3;

/**
 * Reports of a daemon that reports more than this share of a service's back ends within `REPORT_VALID_MS` do not count:
 * the daemon or its links are at fault. Above the largest share that may be avoided.
 */
export const MAX_REPORTED_SHARE = 0.4;

/**
 * A daemon ignores bad answers that it notices itself for this long after its start, in ms. While daemons come up
 * together, routers keep moving flows between them, and a request whose answer is acknowledged through another daemon
 * looks unanswered here: after a loss of power of all 32 daemons, 26 of 77 back ends were avoided without a reason.
 */
export const SETTLE_MS = 4_000;

/** Fewest back ends of a service with outliers. 2 + 1, since of two it is unknown which one differs. */
export const MIN_BACKENDS = 3;

/**
 * A back end is avoided for at least this long, in ms, and as long as bad answers on flows that callers keep are
 * reported; the time doubles with each relapse up to the longest. A trial of a back end that is still slow costs some
 * late requests.
 */
export const AVOID_MIN_MS = 2_000;
export const AVOID_MAX_MS = 8_000;

/**
 * Reports of a back end that is avoided for longer than this, in ms, are neither counted nor gossiped further. Without
 * that a day of 172 daemons with 32 bad back ends took 160 instead of 114 s of processor time.
 */
export const RENEWAL_MS = 1_000;

/** Length of an outlier trial in ms; one bad answer ends it. */
export const OUTLIER_TRIAL_MS = 2_000;

/** In an outlier trial, one in this many of the flows for which it is among the candidates may go there. */
export const OUTLIER_TRIAL_ONE_IN = 8;

/** Without a relapse for this long after an outlier trial, in ms, the next avoidance starts from the shortest. */
export const FORGIVE_MS = 10_000;

/**
 * The estimate of a route's median time moves by this share towards each answer's time. 1.03^24 is 2, so that it
 * follows a doubling of all times within 24 answers. One slow back end in five leaves it where it is.
 */
export const MEDIAN_STEP = 0.03;

/** The first answers move the median further, so that a bad first guess is corrected within about this many. */
export const FIRST_ANSWERS = 8;

/** Answers seen on a route before any counts as slow. Twice `FIRST_ANSWERS`. */
export const MIN_ANSWERS = 16;

/** No answer below this is slow, in ms. A lost and retransmitted packet takes 200 ms longer. */
export const SLOW_MIN_MS = 100;

/** Answers seen on a route before any counts as short. The least of so many is near the least of all. */
export const MIN_ANSWERS_FOR_LENGTH = 64;

/**
 * An answer with less than this share of the least usual bytes is short. Errors have about half of
 * the bytes of the shortest usual answers.
 */
export const SHORT_SHARE = 0.6;

/**
 * The least usual length rises by this share with each usual answer. 1 / 0.001, so that a single short answer is
 * forgotten after about a thousand.
 */
export const LENGTH_RISE = 0.001;

/**
 * The least usual length falls by this share with each short answer. 1 / 0.003, so that short answers become the usual
 * ones of a route after some 300.
 */
export const SHORT_FALL = 0.003;

/** Routes with a usual time kept at once; beyond, the oldest is forgotten. Bounds memory. */
export const MAX_ROUTES = 4_096;

/** Requests followed at once; further ones are not followed. Bounds memory. */
export const MAX_OUTSTANDING = 16_384;
