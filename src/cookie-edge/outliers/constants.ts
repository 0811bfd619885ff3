/** Times and limits of outlier detection. */
import type { OutlierOptions } from './types.js';

/**
 * With answer times that spread as work of a log-normal length does (sigma 0.5), 1 of 360 answers takes four times the median,
 * and two thirds of those of a back end that has become five times slower. In a trace of 3,400 requests at 84 back ends at 30% load
 * the longest took 3.9 times the median.
 */
const SLOW_FACTOR = 4;

/**
 * One bad answer is chance and two may be: 790 requests a second at 84 back ends give each of them 0.08 slow ones in
 * `REPORT_VALID_MS` by chance. Three then meet at some back end every two or three minutes, by reckoning, and it is avoided for seconds
 * without need, which costs nobody anything.
 */
const QUORUM = 3;

/**
 * Without a third of its back ends a service that is half busy is three quarters busy. More slow ones are rather a service that is
 * overloaded as a whole, where avoiding some would make the others slower.
 */
const MAX_AVOIDED_SHARE = 1 / 3;

export const DEFAULT_OUTLIER_OPTIONS: OutlierOptions = {
  slowFactor: SLOW_FACTOR,
  quorum: QUORUM,
  maxAvoidedShare: MAX_AVOIDED_SHARE,
};

/** A bad answer speaks against its back end for this long, in ms: about 28 requests of an average back end at today's load. */
export const REPORT_VALID_MS = 3_000;

/** Bad answers kept of one back end; more would only be told on, and change no verdict. */
export const MAX_REPORTS = 4;

/**
 * A back end is an outlier only with this many times the mean number of bad answers of its service's back ends. With `MAX_REPORTS` for
 * each of them, up to a third of a service can be told from the rest.
 */
export const OUTLIER_FACTOR = 3;

/**
 * A daemon that reports more than this share of a service's back ends within `REPORT_VALID_MS` tells of itself or of its links; what it
 * says of the service does not count. Our choice: above the largest share that may be avoided.
 */
export const MAX_REPORTED_SHARE = 0.4;

/**
 * A daemon says nothing of bad answers for this long after its start, in ms. While daemons come up together, routers keep moving flows
 * between them, and a request whose answer is acknowledged through another daemon looks unanswered here: after a loss of power of all
 * 32 daemons, 26 of 77 back ends were avoided without a reason.
 */
export const SETTLE_MS = 4_000;

/** A service needs this many back ends before one of them can be told from the others. */
export const MIN_BACKENDS = 3;

/**
 * A back end is avoided for at least this long, in ms, and as long as bad answers on flows that callers keep are reported; the time
 * doubles with each relapse up to the longest. Our choice: a trial of a back end that is still slow costs some late requests.
 */
export const AVOID_MIN_MS = 2_000;
export const AVOID_MAX_MS = 8_000;

/**
 * Reports of a back end that is avoided for longer than this, in ms, are neither counted nor told on. Without that a day of 172 daemons
 * with 32 bad back ends took 160 in place of 114 s of processor time.
 */
export const RENEWAL_MS = 1_000;

/** Then it gets trial flows for this long, in ms; one bad answer ends the trial. Our choice, as is the share below. */
export const TRIAL_MS = 2_000;

/** In a trial, one in this many of the flows for which it is among the candidates may go there. */
export const TRIAL_FLOW_SHARE = 8;

/** Without a relapse for this long after a trial, in ms, the next time starts from the shortest. Our choice. */
export const FORGIVE_MS = 10_000;

/**
 * The usual time of a route moves by this share towards each answer's side. It is then a running median: it follows a doubling of
 * all times within 24 answers, and one slow back end in five leaves it where it is.
 */
export const MEDIAN_STEP = 0.03;

/** The first answers move it further, so that a bad first guess is corrected within this many. */
export const FIRST_ANSWERS = 8;

/** Answers that must have been seen on a route before any is called slow. */
export const MIN_ANSWERS = 16;

/** No answer below this is called slow, in ms: a packet that is lost and repeated takes 200 ms longer. */
export const SLOW_MIN_MS = 100;

/** Answers that must have been seen on a route before any is called short: the least of so many is near the least of all. */
export const MIN_ANSWERS_FOR_LENGTH = 64;

/**
 * An answer with less than this share of the least usual bytes is short. In a trace errors had 204 to 209 bytes, where the usual
 * answers had at least 493 (the least of a hundred) and 827 on two routes.
 */
export const SHORT_SHARE = 0.6;

/** The least usual length rises by this share with each usual answer, so that a single short one is forgotten after a thousand or so. */
export const LENGTH_RISE = 0.001;

/** It falls by this share with each short one: a route whose answers have all become short is as usual again after some 300. */
export const SHORT_FALL = 0.003;

/** Routes with a usual time kept at once; beyond, the oldest goes. */
export const MAX_ROUTES = 4_096;

/** Requests followed at once; of more nothing is known. */
export const MAX_OUTSTANDING = 16_384;
